package gladelug.data.relay;

import gladelug.common.Log;
import gladelug.common.StandstillDetector;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.StateKeys;
import gladelug.data.request.CacheScope;
import gladelug.data.request.Request;
import gladelug.data.state.Leases;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides what a relay may do on the control state that it holds, which may have been replaced
 * while the relay, its connections or the core stood still.
 *
 * <ul>
 *   <li>No request starts without valid leases, nor after a standstill of this process on leases
 *       requested before it: they are requested anew, and only their answer shows that the state is
 *       still current. Requests that come in the meantime wait for it, but not for long.
 *   <li>Tenants share cached prefixes only in the first part of the lease on the configuration. The
 *       core acknowledges no change of the configuration earlier, unless this relay has it. Later
 *       in the lease every request has a {@link CacheScope} of its own, so it neither uses nor
 *       leaves prefixes of another one.
 * </ul>
 *
 * <p>A standstill too short to be detected is harmless: it ends within the first part of a lease,
 * hence before the acknowledgement of a change that it hid.
 */
public final class StateFreshness {
  /** A standstill is at most this part of the time in which a lease counts as fresh. */
  private static final int STANDSTILLS_PER_FRESH_TIME = 2;

  /** How long after a standstill requests wait for leases requested since, in ms. */
  static final long RENEWAL_TIMEOUT_MS = 500;

  private final Leases leases;
  private final StandstillDetector standstills;
  private final List<Runnable> awaitingRenewal = new ArrayList<>();

  /** Requests leases anew after a standstill. */
  private Runnable leaseRequester = () -> {};

  StateFreshness(Leases leases, long nowMs) {
    this.leases = leases;
    this.standstills = new StandstillDetector(nowMs, this::onStandstill);
  }

  /** Sets what requests leases anew; called on the thread that detects a standstill. */
  void setLeaseRequester(Runnable requester) {
    leaseRequester = requester;
  }

  private void onStandstill() {
    Log.event("standstill-ended");
    leaseRequester.run();
  }

  /** Returns whether requests may start on the control state that this relay holds. */
  public boolean mayStartRequests(RelaySettings settings, long nowMs) {
    long resumedAtMs = standstills.observe(nowMs, maxGapMs(settings));
    return leases.isValid(nowMs) && leases.requestedSince(resumedAtMs);
  }

  /**
   * Returns whether a standstill ended so recently that the leases requested since may be granted
   * at any moment. A request that comes meanwhile is better kept than refused.
   */
  boolean isRenewing(RelaySettings settings, long nowMs) {
    long resumedAtMs = standstills.observe(nowMs, maxGapMs(settings));
    return nowMs - resumedAtMs < RENEWAL_TIMEOUT_MS && !leases.requestedSince(resumedAtMs);
  }

  /** Runs the task at the first tick at which the leases are no longer being renewed. */
  void onRenewalEnded(Runnable task) {
    awaitingRenewal.add(task);
  }

  /** Reports that this process runs. */
  void onTick(RelaySettings settings, long nowMs) {
    if (isRenewing(settings, nowMs) || awaitingRenewal.isEmpty()) return;
    List<Runnable> due = List.copyOf(awaitingRenewal);
    awaitingRenewal.clear();
    due.forEach(Runnable::run);
  }

  private static long maxGapMs(RelaySettings settings) {
    return settings.freshMs() / STANDSTILLS_PER_FRESH_TIME;
  }

  /** Returns the scope in which a request may use cached prefixes now. */
  String cacheScope(
      Request request,
      Configuration.Tenant tenant,
      long sharingSince,
      RelaySettings settings,
      long nowMs) {
    long staleMs = settings.leaseMs() - settings.freshMs();
    boolean fresh = nowMs < leases.validUntilMs(StateKeys.CONFIGURATION) - staleMs;
    String unshared = CacheScope.ofOneRequest(request.id());
    // a request that got a scope of its own keeps it, as changing it costs another choice
    return fresh && !unshared.equals(request.cacheScope)
        ? CacheScope.of(tenant, sharingSince)
        : unshared;
  }
}
