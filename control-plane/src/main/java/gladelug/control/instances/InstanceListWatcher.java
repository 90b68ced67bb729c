package gladelug.control.instances;

import gladelug.common.Log;
import gladelug.common.Result;
import gladelug.common.ServiceRegistry;
import gladelug.common.configuration.Replicas;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.message.StateKeys;
import gladelug.control.core.CoreMember;
import gladelug.control.core.CoreService;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.instances.InstanceListPoll.StoredList;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The task of the owner of the key replicas: asks the platform for its list and, where it differs
 * from what is stored, proposes the new one. A platform that doesn't answer or makes no sense
 * changes nothing. Other members only offer what they observed as owners and nobody accepted.
 */
public final class InstanceListWatcher implements ServiceRegistry.Service {
  /** Longer than any poll takes with its change, so that only a lost answer ends here. */
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(12);

  private final Vertx vertx;
  private final Function<BindAddress, InstanceListSource> sourceFactory;
  private InstanceListSource source;
  private CoreService core;
  private final PendingObservation pendingObservation = new PendingObservation();
  private final InstanceListPoll.Store store = new CoreStore();
  private boolean isPolling;
  private boolean isPlatformFailing;
  private long timerId;

  /**
   * A watcher that begins with {@link #start}.
   *
   * @param sourceFactory makes the source for the address this process calls from
   */
  public InstanceListWatcher(Vertx vertx, Function<BindAddress, InstanceListSource> sourceFactory) {
    this.vertx = vertx;
    this.sourceFactory = sourceFactory;
  }

  @Override
  public void start(ServiceRegistry services) {
    core = services.find("core", CoreService.class);
    source = sourceFactory.apply(services.find("doors", ConnectionAcceptor.class).bindAddress);
    vertx
        .getOrCreateContext()
        .runOnContext(
            () -> timerId = vertx.setPeriodic(source.pollIntervalMs(), ignored -> poll()));
  }

  private void poll() {
    if (isPolling) return;
    isPolling = true;
    core.ask(InstanceListWatcher::storedListIfOwner)
        .flatMap(stored -> stored.isPresent() ? pollPlatform(stored.get()) : proposePending())
        .ifNoItem()
        .after(POLL_TIMEOUT)
        .fail()
        .subscribe()
        .with(ignored -> isPolling = false, this::onPollFailed);
  }

  /** The list as this member stores it, where it owns the key. On the core's thread. */
  private static Optional<StoredList> storedListIfOwner(CoreMember member) {
    if (!member.owns(StateKeys.REPLICAS)) return Optional.empty();
    Map.Entry<Long, byte[]> stored = member.storedValue(StateKeys.REPLICAS);
    return Optional.of(new StoredList(stored.getKey(), stored.getValue()));
  }

  private Uni<?> pollPlatform(StoredList stored) {
    return InstanceListPoll.poll(stored, store, source::fetchList)
        .invoke(this::onPolled)
        .onFailure()
        .call(failure -> proposePending());
  }

  /** Offers the owner of the key what this member observed and nobody accepted. */
  private Uni<?> proposePending() {
    Optional<PendingObservation.Proposal> offer = pendingObservation.findProposal(core.nowMs());
    if (offer.isEmpty()) return Uni.createFrom().nullItem();
    return core.change(StateKeys.REPLICAS, offer.get().baseNumber(), offer.get().value())
        .invoke(pendingObservation::onChangeResult);
  }

  private void onPolled(Result<Optional<ChangeResult>> outcome) {
    if (outcome instanceof Result.Bad<Optional<ChangeResult>> bad) {
      if (!isPlatformFailing) Log.warn("platform-list-refused", "findings", bad.toString());
      isPlatformFailing = true;
      return;
    }
    if (isPlatformFailing) Log.event("platform-back");
    isPlatformFailing = false;
  }

  /** A failure of any kind: the platform, or the core, is asked again at the next poll. */
  private void onPollFailed(Throwable failure) {
    isPolling = false;
    if (!isPlatformFailing) Log.warn("platform-silent", "what", failure.toString());
    isPlatformFailing = true;
  }

  private final class CoreStore implements InstanceListPoll.Store {
    @Override
    public void onListChanged(StoredList base, Replicas list) {
      byte[] narrowed = InstanceListPoll.retainListed(base.list(), list);
      pendingObservation.observe(base.number(), narrowed, core.nowMs());
    }

    @Override
    public Uni<ChangeResult> propose(long number, byte[] list) {
      return core.change(StateKeys.REPLICAS, number, list).invoke(this::onChangeResult);
    }

    private void onChangeResult(ChangeResult result) {
      pendingObservation.onChangeResult(result);
      if (result instanceof ChangeResult.Acknowledged acknowledged) logAcknowledged(acknowledged);
      else Log.event("replicas-not-listed", "answer", result);
    }

    private static void logAcknowledged(ChangeResult.Acknowledged acknowledged) {
      Log.event(
          "replicas-listed",
          "number",
          acknowledged.number(),
          "acks",
          acknowledged.acks(),
          "lapsed",
          acknowledged.lapsed(),
          "waited",
          acknowledged.waited());
    }
  }

  @Override
  public void stop() {
    vertx.cancelTimer(timerId);
  }
}
