package gladelug.data.relay;

import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.state.ControlStateSnapshot;

/**
 * When a caller whose request was not served should come back, in ms from now: when there is likely
 * to be what the request lacked. It is told also to callers whose own time ends before, as their
 * next request may need it. Used on the request thread.
 */
public final class RetryAdvice {
  /**
   * From the start of all processes at once until relays have the state of a newly elected core, in
   * ms.
   */
  private static final long FLEET_STARTS_MS = 2000;

  private final Relay relay;

  RetryAdvice(Relay relay) {
    this.relay = relay;
  }

  /**
   * Until a replica is likely to have a place for the request: until one that failed or refused is
   * asked again, and until what waits here has had its places. No later than the longest that its
   * route lets a request wait, as all that waits now has ended by then.
   */
  public long msUntilRoom(Request request) {
    if (request.service == null) return FilterResult.RETRY_AT_ONCE_MS;
    if (relay.backends.readyReplicas(request.service.name()).isEmpty()) return msUntilState();
    double roomMs = Math.max(msUntilUsable(request), relay.estimatedWaitMs(request));
    return Math.max(
        FilterResult.RETRY_AT_ONCE_MS, Math.min(request.route.deadlineMs(), Math.round(roomMs)));
  }

  private long msUntilUsable(Request request) {
    long now = relay.clock.now();
    long soonestMs = Long.MAX_VALUE;
    for (Backend backend : relay.backends.readyReplicas(request.service.name()))
      soonestMs = Math.min(soonestMs, backend.msUntilUsable(now));
    return soonestMs;
  }

  /** Until this relay hears from the core the next time: a lease, named weights, a replica. */
  public long msUntilState() {
    return relay.settings.stateRenewalIntervalMs();
  }

  /**
   * Until a relay that may start nothing now is likely to: one that knows no state yet gets callers
   * only where the fleet as a whole starts again.
   */
  public long msUntilReady() {
    ControlStateSnapshot snapshot = relay.snapshot();
    boolean starts = snapshot.configurationNumber() == 0 || snapshot.replicasNumber() == 0;
    return starts ? FLEET_STARTS_MS : msUntilState();
  }
}
