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
  private final SingleThreadWorker duty;
  private final int fingerprintBits;
  private final int mostHolders;
  private final HolderFeeds.Factory factory;
  private final Map<Holder, HolderFeeds.Following> followed = new HashMap<>();
  private final BooleanSupplier standsBy;
  private ControlStateSnapshot newest = ControlStateSnapshot.NONE;
  private boolean stands;
  private HolderFeeds feeds;
  private FleetSummary summary;

  /**
   * @param fingerprintBits width f of a fingerprint
   * @param mostHolders how many holders there may be at a time
   * @param factory by which protocol holders are followed
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
    this.standsBy = standsBy;
    this.clock = clock;
    this.duty = new SingleThreadWorker("summary", 65536, clock);
    this.fingerprintBits = fingerprintBits;
    this.mostHolders = mostHolders;
    this.factory = factory;
  }

  @Override
  public void start(ServiceRegistry registry) {
    StateSubscriptionService news = registry.find("news", StateSubscriptionService.class);
    feeds = factory.open(registry, duty, clock);
    summary = new FleetSummary(fingerprintBits, mostHolders, feeds::policy);
    news.listen(snapshot -> duty.offer(() -> tables(snapshot)));
    stands = standsBy.getAsBoolean();
    duty.scheduleEvery(1000, this::turn);
    duty.scheduleEvery(100, () -> summary.tick(clock.now()));
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
                      duty.offer(() -> summary.placed(p, clock.now()));
                      return;
                    }
                    if (!(lookup instanceof Lookup.Query q))
                      throw new IOException("an answer nobody asked for");
                    if (!duty.offer(() -> connection.send(summary.answer(q, clock.now()))))
                      connection.send(new Lookup.Response(q.sequence(), false, List.of()));
                  }
                });
  }

  private void turn() {
    boolean now = standsBy.getAsBoolean();
    if (now == stands) return;
    stands = now;
    Log.event(now ? "index-stands-by" : "index-follows");
    tables(newest);
  }

  private void tables(ControlStateSnapshot snapshot) {
    newest = snapshot;
    summary.holders(stands ? ControlStateSnapshot.NONE : snapshot, clock.now());
    followed
        .entrySet()
        .removeIf(
            e -> {
              if (summary.has(e.getKey())) return false;
              e.getValue().close();
              return true;
            });
    for (Holder holder : summary.all())
      if (!followed.containsKey(holder)) {
        HolderFeeds.Following f =
            feeds.follow(holder, new HolderSink(holder, summary, duty::offer, clock));
        holder.lists(f::list);
        followed.put(holder, f);
      }
  }

  /** For operators, from the duty's own thread. */
  public Uni<JsonObject> status() {
    return Uni.createFrom().emitter(e -> duty.offer(() -> e.complete(summary.json(clock.now()))));
  }

  @Override
  public void stop() {
    duty.close();
    if (feeds != null) feeds.close();
  }
}
