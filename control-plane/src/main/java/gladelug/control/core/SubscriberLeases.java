package gladelug.control.core;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The leases that one key's owner granted to data-plane processes. A process may use a value it
 * holds until its lease lapses, so a change is acknowledged only after every process with a lease
 * has the change, or has none any more; mode CONTACT doesn't wait for silent or slow ones.
 */
final class SubscriberLeases {
  private static final class SubscriberLease {
    long expiresAtMs;
    long acknowledgedNumber;
    long lastRequestAtMs;
  }

  /**
   * How far a change has come among the leases.
   *
   * @param complete no lease has to be waited for any more; the counts of this look are whole
   * @param acknowledged how many hold the change or a newer one
   * @param lapsed how many lapsed since the last look; also where it is not complete
   * @param notAwaited how many neither hold it nor are waited for
   */
  record Acknowledgements(boolean complete, int acknowledged, int lapsed, int notAwaited) {}

  private final QuorumConfig config;
  private final Map<String, SubscriberLease> leases = new HashMap<>();

  SubscriberLeases(QuorumConfig config) {
    this.config = config;
  }

  /** How many have not lapsed. */
  int active(long nowMs) {
    int count = 0;
    for (SubscriberLease lease : leases.values()) if (lease.expiresAtMs >= nowMs) count++;
    return count;
  }

  void clear() {
    leases.clear();
  }

  /** A subscriber asked and holds this number; one without a lease is passed over. */
  void onRequest(String subscriber, long number, long nowMs) {
    SubscriberLease lease = leases.get(subscriber);
    if (lease == null) return;
    lease.acknowledgedNumber = Math.max(lease.acknowledgedNumber, number);
    lease.lastRequestAtMs = nowMs;
  }

  /** Grants or extends the lease of a subscriber that holds this number; it never gets shorter. */
  void grant(String subscriber, long number, long expiresAtMs, long nowMs) {
    SubscriberLease lease = leases.computeIfAbsent(subscriber, name -> new SubscriberLease());
    lease.expiresAtMs = Math.max(lease.expiresAtMs, expiresAtMs);
    lease.acknowledgedNumber = number;
    lease.lastRequestAtMs = nowMs;
  }

  /**
   * Looks who has a change, up to the first lease that has to be waited for; lapsed ones are
   * removed.
   *
   * @param committedAtMs when the change was on a majority
   */
  Acknowledgements acknowledgements(long number, long committedAtMs, long nowMs) {
    int acknowledged = 0;
    int lapsed = 0;
    int notAwaited = 0;
    for (Iterator<SubscriberLease> remaining = leases.values().iterator(); remaining.hasNext(); ) {
      SubscriberLease lease = remaining.next();
      if (lease.acknowledgedNumber >= number) acknowledged++;
      else if (lease.expiresAtMs < nowMs) {
        remaining.remove();
        lapsed++;
      } else if (isAwaited(lease, committedAtMs, nowMs))
        return new Acknowledgements(false, acknowledged, lapsed, notAwaited);
      else notAwaited++;
    }
    return new Acknowledgements(true, acknowledged, lapsed, notAwaited);
  }

  private boolean isAwaited(SubscriberLease lease, long committedAtMs, long nowMs) {
    return config.acknowledgementMode() == QuorumConfig.AcknowledgementMode.STRICT
        || nowMs - lease.lastRequestAtMs < config.subscriberContactMs()
            && nowMs - committedAtMs < config.acknowledgementTimeoutMs();
  }
}
