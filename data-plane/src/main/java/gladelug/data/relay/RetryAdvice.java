package gladelug.data.relay;

import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.state.ControlStateSnapshot;

/**
 * Estimates when a caller whose request was not served should retry, in ms from now: when what the
 * request lacked is likely to be available. Callers are told even if their own deadline passes
 * earlier, as their next request may need it. Used on the request thread.
 */
public final class RetryAdvice {
  /**
   * Time from a start of all processes until relays have the state of a newly elected core, in ms.
   */
  private static final long FLEET_STARTS_MS = 2000;

  private final Relay relay;

  RetryAdvice(Relay relay) {
    this.relay = relay;
  }

  /**
   * Returns the time until a replica is likely to have a slot for the request: until an ejected one
   * is tried again, and until the queued requests have had their slots. At most the longest time
   * that the route lets a request wait, as everything queued now has ended by then.
   */
  public long msUntilRoom(Request request) {
    if (request.service == null) return FilterResult.RETRY_AT_ONCE_MS;
    if (relay.backends.readyReplicas(request.service.name()).isEmpty()) return msUntilState();
    double roomMs = Math.max(msUntilUsable(request), relay.estimatedWaitMs(request));
    return Math.max(
        FilterResult.RETRY_AT_ONCE_MS, Math.min(request.route.deadlineMs(), Math.round(roomMs)));
  }

  private long msUntilUsable(Request request) {
    long nowMs = relay.clock.now();
    long soonestMs = Long.MAX_VALUE;
    for (Backend backend : relay.backends.readyReplicas(request.service.name()))
      soonestMs = Math.min(soonestMs, backend.msUntilUsable(nowMs));
    return soonestMs;
  }

  /**
   * Returns the time until this relay next receives state from the core: a lease, named weights or
   * a replica.
   */
  public long msUntilState() {
    return relay.settings.stateRenewalIntervalMs();
  }

  /**
   * Returns the time until an unready relay is likely to be ready. A relay without any state
   * receives callers only when the whole fleet restarts.
   */
  public long msUntilReady() {
    ControlStateSnapshot snapshot = relay.snapshot();
    boolean starts = snapshot.configurationNumber() == 0 || snapshot.replicasNumber() == 0;
    return starts ? FLEET_STARTS_MS : msUntilState();
  }
}
