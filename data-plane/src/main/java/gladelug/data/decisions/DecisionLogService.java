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
  public static final long PERIOD = 500;
  private static final int FELLOWS = 2, SPARE = 1, MOST_PLAIN = 1 << 20;
  private final Vertx vertx;
  private final SingleThreadWorker duty;
  private final String name;
  private final String host;
  private final String near;
  private final DecisionLog kept;
  private final Map<Address, PersistentConnection> held = new HashMap<>();
  private ConnectionAcceptor doors;
  private PartialViewService views;
  private long nr;
  private volatile long skipped;

  public DecisionLogService(Vertx vertx, Clock clock, String name, String host, long mostBytes) {
    this(vertx, clock, name, host, "", mostBytes);
  }

  /**
   * near: the zone whose processes are handed records first, where links between zones are narrow;
   * empty for none.
   */
  public DecisionLogService(
      Vertx vertx, Clock clock, String name, String host, String near, long mostBytes) {
    this.near = near;
    this.vertx = vertx;
    this.name = name;
    this.host = host;
    this.kept = new DecisionLog(mostBytes);
    this.duty = new SingleThreadWorker("reasons", 256, clock);
  }

  @Override
  public void start(ServiceRegistry registry) {
    doors = registry.find("doors", ConnectionAcceptor.class);
    views = registry.find("views", PartialViewService.class);
    doors.register(
        Hello.DECISION_RECORDS,
        (hello, connection) ->
            new Connection.Receiver() {
              @Override
              public void record(byte[] record) throws IOException {
                DecisionRecords.Batch b =
                    (DecisionRecords.Batch) WireRecord.decode(record, DecisionRecords::read);
                if (!b.relay().equals(hello.name()))
                  throw new IOException("reasons of " + b.relay() + " from " + hello.name());
                duty.offer(
                    () -> {
                      if (!kept.add(b))
                        Log.warn("reasons-turned-away", "relay", b.relay(), "batch", b.sequence());
                    });
              }
            });
  }

  /** Whoever will hand records on has its connections open before it needs them. */
  public void prepare() {
    duty.scheduleEvery(PERIOD, this::peers);
  }

  /** From the request thread: what has ended since the last time, and what is at replicas now. */
  public void hand(List<Decision> ds, String run) {
    if (ds.isEmpty()) return;
    if (!duty.offer(() -> send(ds, run))) skipped += ds.size();
  }

  private void send(List<Decision> ds, String run) {
    List<byte[]> lines = new ArrayList<>();
    long low = Long.MAX_VALUE, high = 0;
    int size = 0;
    for (Decision decision : ds) {
      byte[] bytes = decision.bytes();
      if (size + bytes.length > MOST_PLAIN) {
        skipped++;
        continue;
      }
      size += bytes.length;
      lines.add(bytes);
      low = Math.min(low, decision.nr);
      high = Math.max(high, decision.nr);
    }
    if (lines.isEmpty()) return;
    DecisionRecords.Batch batch =
        new DecisionRecords.Batch(name, run, ++nr, low, high, skipped, DecisionLog.packed(lines));
    int sent = 0;
    for (Address address : peers()) if (sent < FELLOWS && held.get(address).send(batch)) sent++;
    if (sent == 0) skipped += lines.size();
  }

  /**
   * Those of other machines, in an order that only the names decide; one more connection is held
   * than is used.
   */
  private List<Address> peers() {
    List<Address> l =
        views.all().stream()
            .filter(d -> d.role().equals("relay") || d.role().equals("index"))
            .filter(d -> !Address.of(d.recordsAddress()).host().equals(host))
            .sorted(
                Comparator.comparing(
                        (Shuffle.Descriptor d) -> !near.isEmpty() && !near.equals(d.zone()))
                    .thenComparingInt(d -> (name + ">" + d.name()).hashCode()))
            .map(d -> Address.of(d.recordsAddress()))
            .distinct()
            .toList();
    List<Address> use = new ArrayList<>();
    int open = 0;
    for (Address a : l) {
      if (open >= FELLOWS + SPARE) break;
      use.add(a);
      PersistentConnection h =
          held.computeIfAbsent(
              a,
              x ->
                  new PersistentConnection(
                      vertx,
                      doors,
                      x,
                      Hello.DECISION_RECORDS,
                      (y, record) -> {
                        throw new IOException("an answer where none is due");
                      },
                      y -> {}));
      if (h.isOpen()) open++;
    }
    held.entrySet()
        .removeIf(
            e -> {
              if (use.contains(e.getKey())) return false;
              e.getValue().close();
              return true;
            });
    return use;
  }

  public void routes(Router r) {
    r.get("/operator/reasons/:id")
        .handler(
            context -> {
              JsonObject json = kept.find(context.pathParam("id"));
              if (json == null)
                StatusEndpoint.say(
                    context,
                    404,
                    Json.object().add("reason", "no record of such an order is kept here"));
              else StatusEndpoint.say(context, 200, json);
            });
    r.get("/operator/reasons")
        .handler(
            context -> StatusEndpoint.say(context, 200, kept.json().add("skippedHere", skipped)));
  }

  @Override
  public void stop() {
    duty.close();
    for (PersistentConnection connection : held.values()) connection.close();
  }
}
