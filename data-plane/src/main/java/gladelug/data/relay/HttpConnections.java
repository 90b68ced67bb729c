package gladelug.data.relay;

import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.connection.BindAddress;
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
 * Connections to replicas by HTTP/1.1: no pipelining, no redirects, no retries of the library's
 * own. The identity found at the other end is remembered with the connection.
 */
public final class HttpConnections implements ReplicaConnections {
  private static final int MAX_LINE_BYTES = 1 << 20;
  private final HttpClient http;
  private final Map<HttpConnection, String> verifiedIdentities = new WeakHashMap<>();

  public HttpConnections(Vertx vertx, BindAddress local) {
    http =
        vertx
            .getDelegate()
            .createHttpClient(
                local.withLocalAddress(
                    new HttpClientOptions()
                        .setConnectTimeout(500)
                        .setKeepAlive(true)
                        .setKeepAliveTimeout(20)
                        .setPipelining(false)
                        .setMaxPoolSize(256)
                        .setMaxWaitQueueSize(64)
                        .setDecompressionSupported(false)
                        .setMaxRedirects(0)));
  }

  @Override
  public void open(Replica to, Consumer<Connection> opened, Consumer<String> failure) {
    http.request(
            new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(to.address().host())
                .setPort(to.address().port())
                .setURI("/orders")
                .setFollowRedirects(false))
        .onComplete(
            a -> {
              if (a.failed()) failure.accept(a.cause().toString());
              else opened.accept(new OpenConnection(a.result()));
            });
  }

  private final class OpenConnection implements Connection {
    private final HttpClientRequest request;
    private HttpClientResponse response;
    private boolean ended;

    OpenConnection(HttpClientRequest request) {
      this.request = request;
    }

    @Override
    public String verifiedIdentity() {
      return verifiedIdentities.getOrDefault(request.connection(), "");
    }

    @Override
    public void identify(Consumer<String> who) {
      HttpConnection c = request.connection();
      request.setMethod(HttpMethod.GET).setURI("/identity");
      request.setTimeout(1000);
      request
          .send()
          .compose(
              response ->
                  response.statusCode() == 200
                      ? response.body()
                      : Future.failedFuture("status " + response.statusCode()))
          .onComplete(
              a -> {
                String is = "";
                if (a.succeeded()) {
                  try {
                    JsonObject json = a.result().toJsonObject();
                    is = json.getString("service") + "/" + json.getString("instance");
                  } catch (RuntimeException malformed) {
                    is = "";
                  }
                }
                if (!is.isEmpty()) verifiedIdentities.put(c, is);
                who.accept(is);
              });
    }

    @Override
    public void send(String json, Answer to) {
      request.putHeader("Content-Type", "application/json");
      request
          .send(Buffer.buffer(json))
          .onComplete(
              a -> {
                if (a.failed()) {
                  to.closed("the circuit broke");
                  return;
                }
                response = a.result();
                if (response.statusCode() == 200) {
                  readLines(to);
                  return;
                }
                response
                    .body()
                    .onComplete(
                        b ->
                            to.refused(
                                response.statusCode(), b.succeeded() ? b.result().toString() : ""));
              });
    }

    private void readLines(Answer to) {
      RecordParser lines =
          RecordParser.newDelimited(
              "\n",
              buffer -> {
                if (!ended) to.line(buffer.toString());
              });
      lines.maxRecordSize(MAX_LINE_BYTES);
      lines.exceptionHandler(failure -> end(to, "an endless piece"));
      response.handler(
          buffer -> {
            if (!ended) lines.handle(buffer);
            else request.reset();
          });
      response.exceptionHandler(failure -> end(to, "the answer broke off"));
      response.endHandler(v -> end(to, "the answer ended without saying so"));
    }

    private void end(Answer to, String why) {
      if (ended) return;
      ended = true;
      to.closed(why);
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
