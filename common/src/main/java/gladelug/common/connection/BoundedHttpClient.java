package gladelug.common.connection;

import gladelug.common.MemoryBudget;
import gladelug.common.connection.HttpCallException.Reason;
import io.smallrye.mutiny.Uni;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;

/**
 * Calls whose answers are taken in whole, however they come: an answer has a greatest size and a
 * time by which it has ended, and its bytes are reserved before they are kept. One that is larger,
 * late or finds no memory is given up, and its connection is closed. All on one event loop.
 */
public final class BoundedHttpClient implements AutoCloseable {
  private final Vertx vertx;
  private final Context context;
  private final HttpClient client;
  private final MemoryBudget budget;

  /**
   * Calls with connections of their own.
   *
   * @param budget of the bytes of all answers that are held
   */
  public BoundedHttpClient(Vertx vertx, HttpClientOptions options, MemoryBudget budget) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.client = vertx.createHttpClient(options);
    this.budget = budget;
  }

  /**
   * Sends a request without a body.
   *
   * @param maxBytes of the answer's body
   * @param withinMs by when the answer has ended, from now
   * @return the answer, which is to be closed; fails with a {@link HttpCallException}
   */
  public Uni<BufferedHttpResponse> send(RequestOptions target, long mostBytes, long withinMs) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Call call = new Call(mostBytes);
              call.promise
                  .future()
                  .onSuccess(emitter::complete)
                  .onFailure(failure -> emitter.fail(failure));
              context.runOnContext(ignored -> call.start(target, withinMs));
            });
  }

  @Override
  public void close() {
    client.close();
  }

  /** One call, from its request to the end of its answer. */
  private final class Call {
    final Promise<BufferedHttpResponse> promise = Promise.promise();
    private final long maxBytes;
    private final Buffer body = Buffer.buffer();
    private long timer;
    private HttpClientRequest request;
    private boolean finished;

    Call(long mostBytes) {
      this.maxBytes = mostBytes;
    }

    void start(RequestOptions target, long withinMs) {
      timer = vertx.setTimer(withinMs, id -> fail(Reason.TIMED_OUT, "no whole answer in time"));
      client.request(target).onComplete(this::onConnection);
    }

    private void onConnection(AsyncResult<HttpClientRequest> connected) {
      if (connected.failed()) {
        fail(Reason.BROKEN, connected.cause().toString());
        return;
      }
      request = connected.result();
      if (finished) request.reset();
      else request.send().onComplete(this::onResponse);
    }

    private void onResponse(AsyncResult<HttpClientResponse> answered) {
      if (finished) return;
      if (answered.failed()) {
        fail(Reason.BROKEN, answered.cause().toString());
        return;
      }
      HttpClientResponse answer = answered.result();
      answer.handler(this::onChunk);
      answer.exceptionHandler(failure -> fail(Reason.BROKEN, failure.toString()));
      answer.endHandler(ignored -> onEnd(answer));
    }

    private void onChunk(Buffer bytes) {
      if (finished) return;
      if (body.length() + bytes.length() > maxBytes)
        fail(Reason.TOO_LARGE, "an answer of more than " + maxBytes + " bytes");
      else if (!budget.reserve(bytes.length()))
        fail(Reason.NO_MEMORY, "other answers take the memory");
      else body.appendBuffer(bytes);
    }

    private void onEnd(HttpClientResponse answer) {
      if (!finish()) return;
      int length = body.length();
      promise.complete(
          new BufferedHttpResponse(
              answer.statusCode(), answer.headers(), body, () -> budget.release(length)));
    }

    private void fail(Reason reason, String what) {
      if (!finish()) return;
      budget.release(body.length());
      if (request != null) request.reset();
      promise.fail(new HttpCallException(reason, what));
    }

    private boolean finish() {
      if (finished) return false;
      finished = true;
      vertx.cancelTimer(timer);
      return true;
    }
  }
}
