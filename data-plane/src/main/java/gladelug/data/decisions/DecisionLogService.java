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
 * Decision records that outlive their relay. Twice a second a relay sends what has ended, and what
 * it has at replicas just now, to two peers on other machines, the first with an open connection in
 * an order agreed by name; every data-plane process stores what it receives, within a bound. Off
 * the request's path, on a worker of its own, best effort: a batch that finds no peer, or no room
 * in the queue, is counted and dropped.
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

  public DecisionLogService(Vertx vertx, Clock clock, String name, String host, long mostBytes) {
    this(vertx, clock, name, host, "", mostBytes);
  }

  /**
   * near: the zone whose processes are handed records first, where links between zones are narrow;
   * empty for none.
   */
  public DecisionLogService(
      Vertx vertx, Clock clock, String name, String host, String near, long mostBytes) {
    this.preferredZone = near;
    this.vertx = vertx;
    this.name = name;
    this.host = host;
    this.receivedRecords = new DecisionLog(mostBytes);
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
                DecisionRecords.Batch b =
                    (DecisionRecords.Batch) WireRecord.decode(record, DecisionRecords::read);
                if (!b.relay().equals(hello.name()))
                  throw new IOException("reasons of " + b.relay() + " from " + hello.name());
                worker.offer(
                    () -> {
                      if (!receivedRecords.add(b))
                        Log.warn("reasons-turned-away", "relay", b.relay(), "batch", b.sequence());
                    });
              }
            });
  }

  /** Whoever will hand records on has its connections open before it needs them. */
  public void keepPeersConnected() {
    worker.scheduleEvery(SEND_INTERVAL_MS, this::updatePeers);
  }

  /** From the request thread: what has ended since the last time, and what is at replicas now. */
  public void submit(List<Decision> ds, String run) {
    if (ds.isEmpty()) return;
    if (!worker.offer(() -> send(ds, run))) skippedRecords += ds.size();
  }

  private void send(List<Decision> ds, String run) {
    List<byte[]> lines = new ArrayList<>();
    long low = Long.MAX_VALUE, high = 0;
    int size = 0;
    for (Decision decision : ds) {
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
            name, run, ++batchSequence, low, high, skippedRecords, DecisionLog.pack(lines));
    int sent = 0;
    for (Address address : updatePeers())
      if (sent < PEERS_PER_BATCH && connections.get(address).send(batch)) sent++;
    if (sent == 0) skippedRecords += lines.size();
  }

  /**
   * Those of other machines, in an order that only the names decide; one more connection is held
   * than is used.
   */
  private List<Address> updatePeers() {
    List<Address> l =
        partialView.all().stream()
            .filter(d -> d.role().equals("relay") || d.role().equals("index"))
            .filter(d -> !Address.of(d.recordsAddress()).host().equals(host))
            .sorted(
                Comparator.comparing(
                        (Shuffle.Descriptor d) ->
                            !preferredZone.isEmpty() && !preferredZone.equals(d.zone()))
                    .thenComparingInt(d -> (name + ">" + d.name()).hashCode()))
            .map(d -> Address.of(d.recordsAddress()))
            .distinct()
            .toList();
    List<Address> use = new ArrayList<>();
    int open = 0;
    for (Address a : l) {
      if (open >= PEERS_PER_BATCH + SPARE_CONNECTIONS) break;
      use.add(a);
      PersistentConnection h =
          connections.computeIfAbsent(
              a,
              x ->
                  new PersistentConnection(
                      vertx,
                      acceptor,
                      x,
                      Hello.DECISION_RECORDS,
                      (y, record) -> {
                        throw new IOException("an answer where none is due");
                      },
                      y -> {}));
      if (h.isOpen()) open++;
    }
    connections
        .entrySet()
        .removeIf(
            e -> {
              if (use.contains(e.getKey())) return false;
              e.getValue().close();
              return true;
            });
    return use;
  }

  public void addRoutes(Router r) {
    r.get("/operator/reasons/:id")
        .handler(
            context -> {
              JsonObject json = receivedRecords.find(context.pathParam("id"));
              if (json == null)
                StatusEndpoint.sendJson(
                    context,
                    404,
                    Json.object().add("reason", "no record of such an order is kept here"));
              else StatusEndpoint.sendJson(context, 200, json);
            });
    r.get("/operator/reasons")
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
