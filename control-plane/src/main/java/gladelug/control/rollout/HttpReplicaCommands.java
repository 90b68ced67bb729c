package gladelug.control.rollout;

import gladelug.common.Log;
import gladelug.common.MemoryBudget;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.BoundedHttpClient;
import gladelug.common.connection.BufferedHttpResponse;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Supplier;

/** Asks and orders replicas by the product's own HTTP protocol. */
public final class HttpReplicaCommands implements ReplicaCommands {
  private static final int HTTP_OK = 200;
  private static final int CONNECT_TIMEOUT_MS = 700;
  private static final long STATE_TIMEOUT_MS = 1000;
  private static final int CONNECTIONS_PER_REPLICA = 2;

  /** What a replica says of itself is a few fields. */
  private static final int MAX_STATE_BYTES = 1 << 16;

  private final BoundedHttpClient calls;
  private final ReplicaCommandCall orderCall;

  /**
   * Opens no connection yet.
   *
   * @param local the address that connections are opened from
   */
  public HttpReplicaCommands(Vertx vertx, BindAddress local) {
    calls =
        new BoundedHttpClient(
            vertx.getDelegate(),
            local.withLocalAddress(
                new HttpClientOptions()
                    .setConnectTimeout(CONNECT_TIMEOUT_MS)
                    .setMaxPoolSize(CONNECTIONS_PER_REPLICA)),
            MemoryBudget.forResponses());
    orderCall = new ReplicaCommandCall(vertx, local);
  }

  @Override
  public boolean pollsEveryReplica() {
    return true;
  }

  @Override
  public Uni<ReportedState> fetchState(Replica replica) {
    RequestOptions target =
        new RequestOptions()
            .setHost(replica.address().host())
            .setPort(replica.address().port())
            .setURI("/identity");
    return calls
        .send(target, MAX_STATE_BYTES, STATE_TIMEOUT_MS)
        .map(answer -> parseState(replica, answer));
  }

  private static ReportedState parseState(Replica replica, BufferedHttpResponse answer) {
    try (answer) {
      return parseState(replica, answer.status() == HTTP_OK ? new JsonObject(answer.body()) : null);
    }
  }

  private static ReportedState parseState(Replica replica, JsonObject identity) {
    if (identity == null
        || !replica.instance().equals(identity.getString("instance"))
        || !replica.service().equals(identity.getString("service")))
      throw new IllegalStateException("not " + replica.instance());
    return new ReportedState(
        identity.getBoolean("loading", false),
        Map.of(replica.service(), identity.getString("weights", "")));
  }

  @Override
  public Uni<Outcome> sendOrder(
      Replica replica,
      String holder,
      Supplier<Uni<OptionalLong>> permit,
      String model,
      String weights) {
    RequestOptions target =
        new RequestOptions()
            .setHost(replica.address().host())
            .setPort(replica.address().port())
            .setURI("/steer");
    return orderCall
        .post(
            target,
            permit,
            fence ->
                new JsonObject()
                    .put("commander", holder)
                    .put("epoch", fence)
                    .put("instance", replica.instance())
                    .put("weights", weights))
        .map(status -> toOutcome(replica, status));
  }

  private static Outcome toOutcome(Replica replica, OptionalInt status) {
    if (status.isEmpty()) return Outcome.NOT_SENT;
    if (status.getAsInt() != HTTP_OK)
      Log.warn("steer-refused", "replica", replica.instance(), "status", status.getAsInt());
    return Outcome.ANSWERED;
  }
}
