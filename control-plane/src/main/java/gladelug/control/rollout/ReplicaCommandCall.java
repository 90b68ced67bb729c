package gladelug.control.rollout;

import gladelug.common.connection.BindAddress;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.core.http.HttpClientRequest;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Sends one order to a replica over HTTP: opens the connection, checks the command lease, then
 * sends the request. A lease checked before the connection was established may have expired since,
 * because the process was paused or the connection was slow. An order is abandoned after a timeout
 * that the lease must still cover at the time of sending. Its socket is then closed so that the
 * kernel sends no more of it. Thus no order arrives after its sender's lease has ended (rule ONE:
 * at most one process commands a replica at any time).
 */
public final class ReplicaCommandCall {
  /**
   * How long to wait for the answer, in ms; the command lease must last at least as long when the
   * order is sent.
   */
  public static final int ANSWER_TIMEOUT_MS = 400;

  private static final int CONNECT_TIMEOUT_MS = 600;

  /** With 0, closing a socket discards the data not sent yet. */
  private static final int CLOSE_LINGER_S = 0;

  private final HttpClient http;

  /**
   * Creates the client. Each order uses its own connection, so that it never waits behind the
   * answer to an earlier order.
   *
   * @param bindAddress the local address that connections are opened from
   */
  public ReplicaCommandCall(Vertx vertx, BindAddress bindAddress) {
    http =
        vertx.createHttpClient(
            bindAddress.withLocalAddress(
                new HttpClientOptions()
                    .setConnectTimeout(CONNECT_TIMEOUT_MS)
                    .setKeepAlive(false)
                    .setSoLinger(CLOSE_LINGER_S)));
  }

  /**
   * Posts the order and returns its HTTP status, or empty if the order was not sent.
   *
   * @param permit queried once the connection is established, immediately before sending: the fence
   *     (epoch) to command under, or empty if the order must not be sent; completes on the calling
   *     context
   * @param body builds the request body for that fence
   */
  public Uni<OptionalInt> post(
      RequestOptions target, Supplier<Uni<OptionalLong>> permit, LongFunction<JsonObject> body) {
    return http.request(target.setMethod(HttpMethod.POST).setFollowRedirects(false))
        .flatMap(request -> writeIfPermitted(request, permit, body));
  }

  private static Uni<OptionalInt> writeIfPermitted(
      HttpClientRequest request,
      Supplier<Uni<OptionalLong>> permit,
      LongFunction<JsonObject> body) {
    return permit
        .get()
        .onFailure()
        .invoke(() -> request.connection().closeAndForget())
        .flatMap(
            fence -> {
              if (fence.isPresent()) return write(request, body.apply(fence.getAsLong()));
              request.connection().closeAndForget();
              return Uni.createFrom().item(OptionalInt.empty());
            });
  }

  private static Uni<OptionalInt> write(HttpClientRequest request, JsonObject body) {
    request.idleTimeout(ANSWER_TIMEOUT_MS);
    request.putHeader("Content-Type", "application/json");
    return request
        .send(Buffer.buffer(body.encode()))
        .map(
            response -> {
              // only the status matters; the rest of the response is not read
              request.connection().closeAndForget();
              return OptionalInt.of(response.statusCode());
            });
  }
}
