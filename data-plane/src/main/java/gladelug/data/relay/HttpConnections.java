package gladelug.data.relay;

import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.BodyFraming;
import gladelug.common.connection.OrderlyCloseDetector;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import io.vertx.mutiny.core.Vertx;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.function.Consumer;

/**
 * Connections to replicas over HTTP/1.1, without pipelining, redirects or automatic retries. The
 * verified identity of the other end is remembered per connection.
 */
public final class HttpConnections implements ReplicaConnections {
  private static final int MAX_LINE_BYTES = 1 << 20;
  private final HttpClient http;
  private final Map<HttpConnection, String> verifiedIdentities = new WeakHashMap<>();

  public HttpConnections(Vertx vertx, BindAddress localAddress) {
    http =
        vertx
            .getDelegate()
            .createHttpClient(
                localAddress.withLocalAddress(
                    new HttpClientOptions()
                        .setConnectTimeout(500)
                        .setKeepAlive(true)
                        .setKeepAliveTimeout(20)
                        .setPipelining(false)
                        .setMaxPoolSize(256)
                        .setMaxWaitQueueSize(64)
                        .setDecompressionSupported(false)
                        .setMaxRedirects(0)));
    http.connectionHandler(OrderlyCloseDetector::install);
  }

  @Override
  public void open(Replica replica, Consumer<Connection> onOpen, Consumer<String> onFailure) {
    http.request(
            new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(replica.address().host())
                .setPort(replica.address().port())
                .setURI("/orders")
                .setFollowRedirects(false))
        .onComplete(
            opening -> {
              if (opening.failed()) onFailure.accept(opening.cause().toString());
              else onOpen.accept(new OpenConnection(opening.result()));
            });
  }

  private final class OpenConnection implements Connection {
    private final HttpClientRequest request;
    private HttpClientResponse response;
    private boolean closed;

    OpenConnection(HttpClientRequest request) {
      this.request = request;
    }

    @Override
    public String verifiedIdentity() {
      return verifiedIdentities.getOrDefault(request.connection(), "");
    }

    @Override
    public void identify(Consumer<String> onIdentity) {
      HttpConnection connection = request.connection();
      request.setMethod(HttpMethod.GET).setURI("/identity");
      request.setTimeout(1000);
      request
          .send()
          .compose(
              reply ->
                  reply.statusCode() == 200
                      ? BodyFraming.readBody(reply)
                      : Future.failedFuture("status " + reply.statusCode()))
          .onComplete(
              result -> {
                String identity = "";
                if (result.succeeded()) {
                  try {
                    JsonObject json = result.result().toJsonObject();
                    identity = json.getString("service") + "/" + json.getString("instance");
                  } catch (RuntimeException malformed) {
                    identity = "";
                  }
                }
                if (!identity.isEmpty()) verifiedIdentities.put(connection, identity);
                onIdentity.accept(identity);
              });
    }

    @Override
    public void send(String json, Answer answer) {
      request.putHeader("Content-Type", "application/json");
      request
          .send(Buffer.buffer(json))
          .onComplete(
              result -> {
                if (result.failed()) {
                  answer.closed("the connection broke");
                  return;
                }
                response = result.result();
                if (response.statusCode() == 200) {
                  readLines(answer);
                  return;
                }
                BodyFraming.readBody(response)
                    .onComplete(
                        body ->
                            answer.refused(
                                response.statusCode(),
                                body.succeeded() ? body.result().toString() : ""));
              });
    }

    private void readLines(Answer answer) {
      RecordParser lines =
          RecordParser.newDelimited(
              "\n",
              buffer -> {
                if (!closed) answer.line(buffer.toString());
              });
      lines.maxRecordSize(MAX_LINE_BYTES);
      lines.exceptionHandler(failure -> close(answer, "a line exceeds the maximum length"));
      response.handler(
          buffer -> {
            if (!closed) lines.handle(buffer);
            else request.reset();
          });
      response.exceptionHandler(failure -> close(answer, "the answer broke off"));
      response.endHandler(ended -> close(answer, "the answer ended without an end line"));
    }

    private void close(Answer answer, String why) {
      if (closed) return;
      closed = true;
      answer.closed(why);
    }

    @Override
    public void reset() {
      request.reset();
    }

    @Override
    public void close() {
      request.connection().close();
    }

    @Override
    public void pause() {
      response.pause();
    }

    @Override
    public void resume() {
      response.resume();
    }
  }
}
