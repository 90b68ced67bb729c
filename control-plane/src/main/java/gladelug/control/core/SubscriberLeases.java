package gladelug.control.core;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The leases that the owner of one key granted to data-plane processes. A process may use the value
 * it holds until its lease expires, so a change is acknowledged only once every process with a
 * lease either has the change or has no lease any more. Mode CONTACT does not wait for silent or
 * slow processes.
 */
final class SubscriberLeases {
  private static final class SubscriberLease {
    long expiresAtMs;
    long acknowledgedNumber;
    long lastRequestAtMs;
  }

  /**
   * How many lease holders have a change.
   *
   * @param complete whether no lease has to be awaited any more; only then do the counts cover all
   *     leases
   * @param acknowledged how many holders have the change or a newer one
   * @param lapsed how many leases expired since the last call; counted even if not complete
   * @param notAwaited how many holders neither have the change nor are awaited
   */
  record Acknowledgements(boolean complete, int acknowledged, int lapsed, int notAwaited) {}

  private final QuorumConfig config;

  /** The first part of each lease that is awaited whether or not its holder is in contact, ms. */
  private final int awaitedMs;

  private final Map<String, SubscriberLease> leases = new HashMap<>();

  SubscriberLeases(QuorumConfig config, String key) {
    this.config = config;
    this.awaitedMs = config.awaitedLeaseMs(key);
  }

  /** Returns how many leases have not expired. */
  int active(long nowMs) {
    int count = 0;
    for (SubscriberLease lease : leases.values()) if (lease.expiresAtMs >= nowMs) count++;
    return count;
  }

  void clear() {
    leases.clear();
  }

  /**
   * Records that a subscriber asked and holds this number. A subscriber without a lease is ignored.
   */
  void onRequest(String subscriber, long number, long nowMs) {
    SubscriberLease lease = leases.get(subscriber);
    if (lease == null) return;
    lease.acknowledgedNumber = Math.max(lease.acknowledgedNumber, number);
    lease.lastRequestAtMs = nowMs;
  }

  /**
   * Grants or extends the lease of a subscriber that holds this number. A lease is never shortened.
   */
  void grant(String subscriber, long number, long expiresAtMs, long nowMs) {
    SubscriberLease lease = leases.computeIfAbsent(subscriber, name -> new SubscriberLease());
    lease.expiresAtMs = Math.max(lease.expiresAtMs, expiresAtMs);
    lease.acknowledgedNumber = number;
    lease.lastRequestAtMs = nowMs;
  }

  /**
   * Counts the lease holders that have a change, up to the first lease that has to be awaited.
   * Expired leases are removed.
   *
   * @param committedAtMs when the change was committed
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
    long unawaitedMs = (long) config.leaseMs() - awaitedMs;
    return awaitedMs > 0 && nowMs <= lease.expiresAtMs - unawaitedMs
        || nowMs - lease.lastRequestAtMs < config.subscriberContactMs()
            && nowMs - committedAtMs < config.acknowledgementTimeoutMs();
  }
}
