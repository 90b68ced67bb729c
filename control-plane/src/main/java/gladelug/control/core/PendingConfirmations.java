package gladelug.control.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Answers of one key's owner that wait until a majority confirms the owner in a round begun after
 * they were asked for: only then may anything be said that rests on the newest value. Each runs
 * exactly one of its two callbacks, on the protocol's thread.
 */
final class PendingConfirmations {
  /**
   * @param latestRoundAtRequest number of the newest round when it was asked for; only a later one
   *     counts
   * @param requestedAtMs when it was asked for
   */
  private record PendingConfirmation(
      long latestRoundAtRequest, long requestedAtMs, Runnable onConfirmed, Runnable onAbandoned) {}

  private final int capacity;
  private final List<PendingConfirmation> pending = new ArrayList<>();

  /**
   * @param capacity how many may wait at a time
   */
  PendingConfirmations(int capacity) {
    this.capacity = capacity;
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /**
   * Has one wait for a round after the given one.
   *
   * @return false where as many wait already as may; then neither callback runs
   */
  boolean add(long lastRound, long now, Runnable onConfirmed, Runnable onAbandoned) {
    if (pending.size() >= capacity) return false;
    pending.add(new PendingConfirmation(lastRound, now, onConfirmed, onAbandoned));
    return true;
  }

  /** A majority confirmed the owner in this round: what waited for it or an earlier one goes on. */
  void onRoundConfirmed(long round) {
    removeMatching(confirmation -> confirmation.latestRoundAtRequest < round)
        .forEach(confirmation -> confirmation.onConfirmed.run());
  }

  /** Gives up what was asked for at this time or before. */
  void abandonRequestedUntil(long timeMs) {
    removeMatching(confirmation -> confirmation.requestedAtMs <= timeMs)
        .forEach(confirmation -> confirmation.onAbandoned.run());
  }

  void abandonAll() {
    removeMatching(confirmation -> true).forEach(confirmation -> confirmation.onAbandoned.run());
  }

  /** Takes these out before any callback runs, as a callback may add another. */
  private List<PendingConfirmation> removeMatching(Predicate<PendingConfirmation> condition) {
    if (pending.isEmpty()) return List.of();
    List<PendingConfirmation> removed = pending.stream().filter(condition).toList();
    pending.removeAll(removed);
    return removed;
  }
}
