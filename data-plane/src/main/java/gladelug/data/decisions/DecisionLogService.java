package gladelug.data.decisions;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.connection.Connection;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.PersistentConnection;
import gladelug.common.message.DecisionRecords;
import gladelug.common.message.Hello;
import gladelug.common.message.Shuffle;
import gladelug.common.message.WireRecord;
import gladelug.common.view.PartialViewService;
import gladelug.data.StatusEndpoint;
import gladelug.data.request.Decision;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Replicates decision records so that they outlive their relay. Twice a second a relay sends the
 * records of requests that ended, and of those at replicas at that moment, to two peers on other
 * machines: the first two with an open connection, in an order derived from the names. Every
 * data-plane process stores what it receives, within a bound. Runs on its own worker, off the
 * request path, and is best effort: a batch that finds no peer or no room in the queue is counted
 * and dropped.
 */
public final class DecisionLogService implements ServiceRegistry.Service {
  public static final long SEND_INTERVAL_MS = 500;
  private static final int PEERS_PER_BATCH = 2, SPARE_CONNECTIONS = 1, MAX_UNPACKED_BYTES = 1 << 20;
  private final Vertx vertx;
  private final SingleThreadWorker worker;
  private final String name;
  private final String host;
  private final String preferredZone;
  private final DecisionLog receivedRecords;
  private final Map<Address, PersistentConnection> connections = new HashMap<>();
  private ConnectionAcceptor acceptor;
  private PartialViewService partialView;
  private long batchSequence;
  private volatile long skippedRecords;

  public DecisionLogService(Vertx vertx, Clock clock, String name, String host, long maxBytes) {
    this(vertx, clock, name, host, "", maxBytes);
  }

  /**
   * Creates a service.
   *
   * @param preferredZone the zone whose processes are preferred as peers, for narrow links between
   *     zones; empty for none
   * @param maxBytes bound on the stored records of other relays
   */
  public DecisionLogService(
      Vertx vertx, Clock clock, String name, String host, String preferredZone, long maxBytes) {
    this.preferredZone = preferredZone;
    this.vertx = vertx;
    this.name = name;
    this.host = host;
    this.receivedRecords = new DecisionLog(maxBytes);
    this.worker = new SingleThreadWorker("reasons", 256, clock);
  }

  @Override
  public void start(ServiceRegistry registry) {
    acceptor = registry.find("doors", ConnectionAcceptor.class);
    partialView = registry.find("views", PartialViewService.class);
    acceptor.register(
        Hello.DECISION_RECORDS,
        (hello, connection) ->
            new Connection.Receiver() {
              @Override
              public void record(byte[] record) throws IOException {
                DecisionRecords.Batch batch =
                    (DecisionRecords.Batch) WireRecord.decode(record, DecisionRecords::read);
                if (!batch.relay().equals(hello.name()))
                  throw new IOException(
                      "decision records of " + batch.relay() + " received from " + hello.name());
                worker.offer(
                    () -> {
                      if (!receivedRecords.add(batch))
                        Log.warn(
                            "reasons-turned-away",
                            "relay",
                            batch.relay(),
                            "batch",
                            batch.sequence());
                    });
              }
            });
  }

  /**
   * Opens and maintains the connections to peers in advance; called by processes that will send
   * records.
   */
  public void keepPeersConnected() {
    worker.scheduleEvery(SEND_INTERVAL_MS, this::updatePeers);
  }

  /**
   * Sends the records of requests that ended since the last call and of those at replicas now.
   * Called on the request thread.
   */
  public void submit(List<Decision> decisions, String runId) {
    if (decisions.isEmpty()) return;
    if (!worker.offer(() -> send(decisions, runId))) skippedRecords += decisions.size();
  }

  private void send(List<Decision> decisions, String runId) {
    List<byte[]> lines = new ArrayList<>();
    long low = Long.MAX_VALUE, high = 0;
    int size = 0;
    for (Decision decision : decisions) {
      byte[] bytes = decision.toBytes();
      if (size + bytes.length > MAX_UNPACKED_BYTES) {
        skippedRecords++;
        continue;
      }
      size += bytes.length;
      lines.add(bytes);
      low = Math.min(low, decision.number);
      high = Math.max(high, decision.number);
    }
    if (lines.isEmpty()) return;
    DecisionRecords.Batch batch =
        new DecisionRecords.Batch(
            name, runId, ++batchSequence, low, high, skippedRecords, DecisionLog.pack(lines));
    int sent = 0;
    for (Address address : updatePeers())
      if (sent < PEERS_PER_BATCH && connections.get(address).send(batch)) sent++;
    if (sent == 0) skippedRecords += lines.size();
  }

  /**
   * Updates the connections to peers on other machines, in an order derived from the names only,
   * and returns their addresses. One spare connection is held.
   */
  private List<Address> updatePeers() {
    List<Address> candidates =
        partialView.all().stream()
            .filter(
                descriptor ->
                    descriptor.role().equals("relay") || descriptor.role().equals("index"))
            .filter(descriptor -> !Address.of(descriptor.recordsAddress()).host().equals(host))
            .sorted(
                Comparator.comparing(
                        (Shuffle.Descriptor descriptor) ->
                            !preferredZone.isEmpty() && !preferredZone.equals(descriptor.zone()))
                    .thenComparingInt(descriptor -> (name + ">" + descriptor.name()).hashCode()))
            .map(descriptor -> Address.of(descriptor.recordsAddress()))
            .distinct()
            .toList();
    List<Address> chosen = new ArrayList<>();
    int open = 0;
    for (Address address : candidates) {
      if (open >= PEERS_PER_BATCH + SPARE_CONNECTIONS) break;
      chosen.add(address);
      PersistentConnection connection =
          connections.computeIfAbsent(
              address,
              target ->
                  new PersistentConnection(
                      vertx,
                      acceptor,
                      target,
                      Hello.DECISION_RECORDS,
                      (unused, record) -> {
                        throw new IOException("unexpected record on a one-way connection");
                      },
                      unused -> {}));
      if (connection.isOpen()) open++;
    }
    connections
        .entrySet()
        .removeIf(
            entry -> {
              if (chosen.contains(entry.getKey())) return false;
              entry.getValue().close();
              return true;
            });
    return chosen;
  }

  /** Adds the routes by which operators read the stored records. */
  public void addRoutes(Router router) {
    router
        .get("/operator/reasons/:id")
        .handler(
            context -> {
              JsonObject json = receivedRecords.find(context.pathParam("id"));
              if (json == null)
                StatusEndpoint.sendJson(
                    context,
                    404,
                    Json.object()
                        .add("reason", "no decision record of this request is stored here"));
              else StatusEndpoint.sendJson(context, 200, json);
            });
    router
        .get("/operator/reasons")
        .handler(
            context ->
                StatusEndpoint.sendJson(
                    context, 200, receivedRecords.toJson().add("skippedHere", skippedRecords)));
  }

  @Override
  public void stop() {
    worker.close();
    for (PersistentConnection connection : connections.values()) connection.close();
  }
}
