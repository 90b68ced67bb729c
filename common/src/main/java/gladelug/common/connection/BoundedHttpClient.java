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
 * HTTP client that buffers complete responses within bounds. Each response has a maximum size and a
 * time-out for its end, and its bytes are reserved in a memory budget before they are kept. A call
 * whose response is too large, late, out of budget or incomplete fails, and its connection is
 * closed. All calls run on one event loop.
 */
public final class BoundedHttpClient implements AutoCloseable {
  private final Vertx vertx;
  private final Context context;
  private final HttpClient client;
  private final MemoryBudget budget;

  /**
   * Creates a client with its own connection pool.
   *
   * @param budget budget for the bytes of all responses in memory
   */
  public BoundedHttpClient(Vertx vertx, HttpClientOptions options, MemoryBudget budget) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.client = vertx.createHttpClient(options);
    client.connectionHandler(OrderlyCloseDetector::install);
    this.budget = budget;
  }

  /**
   * Sends a request without a body.
   *
   * @param maxBytes maximum size of the response's body
   * @param timeoutMs time within which the response must be complete
   * @return the response, which the caller must close; fails with a {@link HttpCallException}
   */
  public Uni<BufferedHttpResponse> send(RequestOptions target, long maxBytes, long timeoutMs) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Call call = new Call(maxBytes);
              call.promise
                  .future()
                  .onSuccess(emitter::complete)
                  .onFailure(failure -> emitter.fail(failure));
              context.runOnContext(ignored -> call.start(target, timeoutMs));
            });
  }

  @Override
  public void close() {
    client.close();
  }

  /** A call, from its request to the end of its response. */
  private final class Call {
    final Promise<BufferedHttpResponse> promise = Promise.promise();
    private final long maxBytes;
    private final Buffer body = Buffer.buffer();
    private long timer;
    private HttpClientRequest request;
    private boolean finished;

    Call(long maxBytes) {
      this.maxBytes = maxBytes;
    }

    void start(RequestOptions target, long timeoutMs) {
      timer =
          vertx.setTimer(
              timeoutMs, id -> fail(Reason.TIMED_OUT, "the response was not complete in time"));
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

    private void onResponse(AsyncResult<HttpClientResponse> received) {
      if (finished) return;
      if (received.failed()) {
        fail(Reason.BROKEN, received.cause().toString());
        return;
      }
      HttpClientResponse response = received.result();
      BodyFraming framing = BodyFraming.of(response);
      response.handler(this::onChunk);
      response.exceptionHandler(failure -> fail(Reason.BROKEN, failure.toString()));
      response.endHandler(ignored -> onEnd(response, framing.incompleteReason(response)));
    }

    private void onChunk(Buffer bytes) {
      if (finished) return;
      if (body.length() + bytes.length() > maxBytes)
        fail(Reason.TOO_LARGE, "the response is larger than " + maxBytes + " bytes");
      else if (!budget.reserve(bytes.length()))
        fail(Reason.NO_MEMORY, "the memory budget for responses is exhausted");
      else body.appendBuffer(bytes);
    }

    private void onEnd(HttpClientResponse response, String incompleteReason) {
      if (!incompleteReason.isEmpty()) fail(Reason.BROKEN, incompleteReason);
      if (!finish()) return;
      int length = body.length();
      promise.complete(
          new BufferedHttpResponse(
              response.statusCode(), response.headers(), body, () -> budget.release(length)));
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
