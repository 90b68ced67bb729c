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
 * One order to a replica over HTTP: first the connection, then the command lease, then the bytes.
 * What was decided before the connection was up may no longer hold when it is: the process may have
 * been frozen, or the connection slow. An order is given up after a time that the lease must still
 * cover when it leaves, and its socket is then closed so that the kernel sends nothing more of it:
 * no order arrives after its sender's lease has ended (rule ONE).
 */
public final class ReplicaCommandCall {
  /** How long an answer is waited for; the command lease must last as long when it leaves. */
  public static final int ANSWER_TIMEOUT_MS = 400;

  private static final int CONNECT_TIMEOUT_MS = 600;

  /** A closed socket sends nothing more of what it holds. */
  private static final int CLOSE_LINGER_S = 0;

  private final HttpClient http;

  /**
   * Each order has a connection of its own, on which no answer to an earlier one can be waiting.
   *
   * @param local the address that connections are opened from
   */
  public ReplicaCommandCall(Vertx vertx, BindAddress local) {
    http =
        vertx.createHttpClient(
            local.withLocalAddress(
                new HttpClientOptions()
                    .setConnectTimeout(CONNECT_TIMEOUT_MS)
                    .setKeepAlive(false)
                    .setSoLinger(CLOSE_LINGER_S)));
  }

  /**
   * Posts the order; its HTTP status comes, or nothing where it did not leave.
   *
   * @param permit asked once the connection is up: the fence to command under, empty where nothing
   *     may leave; completes on the calling context, immediately before the bytes leave
   * @param body what is posted under that fence
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
            answer -> {
              // the status says all; whatever else comes of the answer is nobody's
              request.connection().closeAndForget();
              return OptionalInt.of(answer.statusCode());
            });
  }
}
