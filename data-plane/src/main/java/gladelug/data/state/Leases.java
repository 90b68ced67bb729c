package gladelug.data.state;

import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The leases of this process, one per leased key, as deadlines in its own monotonic time. A grant
 * counts from when the subscription request was sent, less a margin for clocks that drift, and is
 * accepted only from an epoch not below the highest seen and for exactly the number at hand. No
 * I/O.
 */
public final class Leases {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private final AtomicLongArray deadlinesMs = new AtomicLongArray(StateKeys.LEASED.size());
  private final AtomicLongArray epochs = new AtomicLongArray(StateKeys.LEASED.size());
  private volatile long cutoffAtMs = NEVER;

  public Leases() {
    for (int i = 0; i < deadlinesMs.length(); i++) deadlinesMs.set(i, NEVER);
  }

  /** When the last of the leases ran out or will: the moment up to which requests may start. */
  public long validUntilMs() {
    long t = Long.MAX_VALUE;
    for (int i = 0; i < deadlinesMs.length(); i++) t = Math.min(t, deadlinesMs.get(i));
    return t;
  }

  public long validUntilMs(String key) {
    return deadlinesMs.get(StateKeys.LEASED.indexOf(key));
  }

  public boolean isValid(long now) {
    return now < validUntilMs();
  }

  /** From this moment nothing starts on weights named before the newest. */
  public long cutoffAtMs() {
    return cutoffAtMs;
  }

  /** A push under this epoch was taken. */
  public void recordEpoch(String key, long e) {
    int k = StateKeys.LEASED.indexOf(key);
    if (k >= 0) epochs.set(k, Math.max(epochs.get(k), e));
  }

  public long epoch(String key) {
    int k = StateKeys.LEASED.indexOf(key);
    return k < 0 ? 0 : epochs.get(k);
  }

  public void applyGrant(StateUpdate.LeaseGrant g, long asked, long held) {
    int k = StateKeys.LEASED.indexOf(g.key());
    if (k < 0 || g.epoch() < epochs.get(k) || g.number() != held) return;
    epochs.set(k, g.epoch());
    long margin = 10L + g.remainingMs() / 50;
    deadlinesMs.set(k, Math.max(deadlinesMs.get(k), asked + g.remainingMs() - margin));
    if (g.key().equals(StateKeys.WEIGHTS)) cutoffAtMs = asked + g.cutoffRemainingMs();
  }
}
