package gladelug.data.state;

import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The leases of this process, one per leased key, as deadlines on its own monotonic clock. A grant
 * counts from the time when the subscription request was sent, less a margin for clock drift. It is
 * accepted only from an epoch not below the highest seen, and only for exactly the version number
 * held. Performs no I/O.
 */
public final class Leases {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private final AtomicLongArray deadlinesMs = new AtomicLongArray(StateKeys.LEASED.size());
  private final AtomicLongArray epochs = new AtomicLongArray(StateKeys.LEASED.size());
  private final AtomicLongArray requestedAtMs = new AtomicLongArray(StateKeys.LEASED.size());
  private volatile long cutoffAtMs = NEVER;

  public Leases() {
    for (int i = 0; i < deadlinesMs.length(); i++) {
      deadlinesMs.set(i, NEVER);
      requestedAtMs.set(i, NEVER);
    }
  }

  /** Returns the earliest expiry of all leases: the time until which requests may start. */
  public long validUntilMs() {
    long earliestMs = Long.MAX_VALUE;
    for (int i = 0; i < deadlinesMs.length(); i++)
      earliestMs = Math.min(earliestMs, deadlinesMs.get(i));
    return earliestMs;
  }

  /** Returns the expiry of the lease of a key. */
  public long validUntilMs(String key) {
    return deadlinesMs.get(StateKeys.LEASED.indexOf(key));
  }

  /** Returns whether all leases are valid. */
  public boolean isValid(long nowMs) {
    return nowMs < validUntilMs();
  }

  /**
   * Returns whether the newest grant of each lease answers a request sent at this time or later.
   */
  public boolean requestedSince(long ms) {
    for (int i = 0; i < requestedAtMs.length(); i++) if (requestedAtMs.get(i) < ms) return false;
    return true;
  }

  /** Returns the time from which no request may start on weights older than the newest. */
  public long cutoffAtMs() {
    return cutoffAtMs;
  }

  /** Records that a push under this epoch was accepted. */
  public void recordEpoch(String key, long epoch) {
    int keyIndex = StateKeys.LEASED.indexOf(key);
    if (keyIndex >= 0) epochs.set(keyIndex, Math.max(epochs.get(keyIndex), epoch));
  }

  /** Returns the highest epoch seen of a key; 0 if the key is not leased. */
  public long epoch(String key) {
    int keyIndex = StateKeys.LEASED.indexOf(key);
    return keyIndex < 0 ? 0 : epochs.get(keyIndex);
  }

  /** Applies a grant to the request sent at sentAtMs, if it is for the version number held. */
  public void applyGrant(StateUpdate.LeaseGrant grant, long sentAtMs, long heldNumber) {
    int keyIndex = StateKeys.LEASED.indexOf(grant.key());
    if (keyIndex < 0 || grant.epoch() < epochs.get(keyIndex) || grant.number() != heldNumber)
      return;
    epochs.set(keyIndex, grant.epoch());
    long marginMs = 10L + grant.remainingMs() / 50;
    deadlinesMs.set(
        keyIndex, Math.max(deadlinesMs.get(keyIndex), sentAtMs + grant.remainingMs() - marginMs));
    requestedAtMs.set(keyIndex, Math.max(requestedAtMs.get(keyIndex), sentAtMs));
    if (grant.key().equals(StateKeys.WEIGHTS)) cutoffAtMs = sentAtMs + grant.cutoffRemainingMs();
  }
}
