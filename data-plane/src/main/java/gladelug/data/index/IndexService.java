package gladelug.data.index;

import com.eclipsesource.json.JsonObject;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.connection.Connection;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.message.Hello;
import gladelug.common.message.Lookup;
import gladelug.common.message.WireRecord;
import gladelug.data.state.ControlStateSnapshot;
import gladelug.data.state.StateSubscriptionService;
import io.smallrye.mutiny.Uni;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The index process's one duty: the Cuckoo Summary of all holders, fed by one feed a holder and
 * asked by relays.
 */
public final class IndexService implements ServiceRegistry.Service {
  private final Clock clock;
  private final SingleThreadWorker worker;
  private final int fingerprintBits;
  private final int maxHolders;
  private final HolderFeeds.Factory feedFactory;
  private final Map<Holder, HolderFeeds.Subscription> subscriptions = new HashMap<>();
  private final BooleanSupplier standbyCondition;
  private ControlStateSnapshot latestSnapshot = ControlStateSnapshot.NONE;
  private boolean standby;
  private HolderFeeds feeds;
  private FleetSummary summary;

  /**
   * @param fingerprintBits width f of a fingerprint
   * @param maxHolders how many holders there may be at a time
   * @param feedFactory by which protocol holders are followed
   */
  public IndexService(
      Clock clock, int fingerprintBits, int mostHolders, HolderFeeds.Factory factory) {
    this(clock, fingerprintBits, mostHolders, factory, () -> false);
  }

  /**
   * standsBy: asked once a second; while it holds, another index does the work and no holder is
   * followed.
   */
  public IndexService(
      Clock clock,
      int fingerprintBits,
      int mostHolders,
      HolderFeeds.Factory factory,
      BooleanSupplier standsBy) {
    this.standbyCondition = standsBy;
    this.clock = clock;
    this.worker = new SingleThreadWorker("summary", 65536, clock);
    this.fingerprintBits = fingerprintBits;
    this.maxHolders = mostHolders;
    this.feedFactory = factory;
  }

  @Override
  public void start(ServiceRegistry registry) {
    StateSubscriptionService news = registry.find("news", StateSubscriptionService.class);
    feeds = feedFactory.open(registry, worker, clock);
    summary = new FleetSummary(fingerprintBits, maxHolders, feeds::policy);
    news.addListener(snapshot -> worker.offer(() -> applySnapshot(snapshot)));
    standby = standbyCondition.getAsBoolean();
    worker.scheduleEvery(1000, this::checkStandby);
    worker.scheduleEvery(100, () -> summary.tick(clock.now()));
    registry
        .find("doors", ConnectionAcceptor.class)
        .register(
            Hello.LOOKUP,
            (hello, connection) ->
                new Connection.Receiver() {
                  @Override
                  public void record(byte[] record) throws IOException {
                    Lookup lookup = WireRecord.decode(record, Lookup::read);
                    if (lookup instanceof Lookup.Placement p) {
                      worker.offer(() -> summary.recordPlacement(p, clock.now()));
                      return;
                    }
                    if (!(lookup instanceof Lookup.Query q))
                      throw new IOException("an answer nobody asked for");
                    if (!worker.offer(() -> connection.send(summary.answer(q, clock.now()))))
                      connection.send(new Lookup.Response(q.sequence(), false, List.of()));
                  }
                });
  }

  private void checkStandby() {
    boolean now = standbyCondition.getAsBoolean();
    if (now == standby) return;
    standby = now;
    Log.event(now ? "index-stands-by" : "index-follows");
    applySnapshot(latestSnapshot);
  }

  private void applySnapshot(ControlStateSnapshot snapshot) {
    latestSnapshot = snapshot;
    summary.updateHolders(standby ? ControlStateSnapshot.NONE : snapshot, clock.now());
    subscriptions
        .entrySet()
        .removeIf(
            e -> {
              if (summary.isFollowed(e.getKey())) return false;
              e.getValue().close();
              return true;
            });
    for (Holder holder : summary.allHolders())
      if (!subscriptions.containsKey(holder)) {
        HolderFeeds.Subscription f =
            feeds.follow(holder, new HolderSink(holder, summary, worker::offer, clock));
        holder.setListRequester(f::requestList);
        subscriptions.put(holder, f);
      }
  }

  /** For operators, from the duty's own thread. */
  public Uni<JsonObject> status() {
    return Uni.createFrom()
        .emitter(e -> worker.offer(() -> e.complete(summary.toJson(clock.now()))));
  }

  @Override
  public void stop() {
    worker.close();
    if (feeds != null) feeds.close();
  }
}
