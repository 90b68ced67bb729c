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
 * The service of the index process: the Cuckoo Summary of all holders, updated by one feed per
 * holder and queried by relays.
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
   * Creates a service that always follows the holders.
   *
   * @param fingerprintBits width of a fingerprint
   * @param maxHolders maximum number of holders at a time
   * @param feedFactory creates the feeds for the protocol by which holders are followed
   */
  public IndexService(
      Clock clock, int fingerprintBits, int maxHolders, HolderFeeds.Factory feedFactory) {
    this(clock, fingerprintBits, maxHolders, feedFactory, () -> false);
  }

  /**
   * Creates a service that stands by while another index does the work.
   *
   * @param standbyCondition evaluated once a second; while it holds, no holder is followed
   */
  public IndexService(
      Clock clock,
      int fingerprintBits,
      int maxHolders,
      HolderFeeds.Factory feedFactory,
      BooleanSupplier standbyCondition) {
    this.standbyCondition = standbyCondition;
    this.clock = clock;
    this.worker = new SingleThreadWorker("summary", 65536, clock);
    this.fingerprintBits = fingerprintBits;
    this.maxHolders = maxHolders;
    this.feedFactory = feedFactory;
  }

  @Override
  public void start(ServiceRegistry registry) {
    StateSubscriptionService stateSubscription =
        registry.find("news", StateSubscriptionService.class);
    feeds = feedFactory.open(registry, worker, clock);
    summary = new FleetSummary(fingerprintBits, maxHolders, feeds::policy);
    stateSubscription.addListener(snapshot -> worker.offer(() -> applySnapshot(snapshot)));
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
                    if (lookup instanceof Lookup.Placement placement) {
                      worker.offer(() -> summary.recordPlacement(placement, clock.now()));
                      return;
                    }
                    if (!(lookup instanceof Lookup.Query question))
                      throw new IOException("answer received without a question");
                    if (!worker.offer(() -> connection.send(summary.answer(question, clock.now()))))
                      connection.send(new Lookup.Response(question.sequence(), false, List.of()));
                  }
                });
  }

  private void checkStandby() {
    boolean standsBy = standbyCondition.getAsBoolean();
    if (standsBy == standby) return;
    standby = standsBy;
    Log.event(standsBy ? "index-stands-by" : "index-follows");
    applySnapshot(latestSnapshot);
  }

  private void applySnapshot(ControlStateSnapshot snapshot) {
    latestSnapshot = snapshot;
    summary.updateHolders(standby ? ControlStateSnapshot.NONE : snapshot, clock.now());
    subscriptions
        .entrySet()
        .removeIf(
            entry -> {
              if (summary.isFollowed(entry.getKey())) return false;
              entry.getValue().close();
              return true;
            });
    for (Holder holder : summary.allHolders())
      if (!subscriptions.containsKey(holder)) {
        HolderFeeds.Subscription subscription =
            feeds.follow(holder, new HolderSink(holder, summary, worker::offer, clock));
        holder.setListRequester(subscription::requestList);
        subscriptions.put(holder, subscription);
      }
  }

  /** Returns the status for operators, computed on the worker thread. */
  public Uni<JsonObject> status() {
    return Uni.createFrom()
        .emitter(emitter -> worker.offer(() -> emitter.complete(summary.toJson(clock.now()))));
  }

  @Override
  public void stop() {
    worker.close();
    if (feeds != null) feeds.close();
  }
}
