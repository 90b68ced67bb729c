package gladelug.control.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Requests to one key's owner that wait until a majority confirms the owner in a round begun after
 * they arrived. Only then may an answer that depends on the newest value be given. Exactly one of
 * the two callbacks of a request runs, on the core's thread.
 */
final class PendingConfirmations {
  /**
   * @param latestRoundAtRequest number of the newest round when the request arrived; only a later
   *     round confirms it
   * @param requestedAtMs when the request arrived
   */
  private record PendingConfirmation(
      long latestRoundAtRequest, long requestedAtMs, Runnable onConfirmed, Runnable onAbandoned) {}

  private final int capacity;
  private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();

  /**
   * @param capacity how many requests may wait at a time
   */
  PendingConfirmations(int capacity) {
    this.capacity = capacity;
  }

  boolean isEmpty() {
    return pendingConfirmations.isEmpty();
  }

  /**
   * Adds a request that waits for a round after the given one.
   *
   * @return false if the capacity is reached; then neither callback runs
   */
  boolean add(long latestRoundNumber, long nowMs, Runnable onConfirmed, Runnable onAbandoned) {
    if (pendingConfirmations.size() >= capacity) return false;
    pendingConfirmations.add(
        new PendingConfirmation(latestRoundNumber, nowMs, onConfirmed, onAbandoned));
    return true;
  }

  /** Confirms the requests that waited for this round or an earlier one. */
  void onRoundConfirmed(long round) {
    removeMatching(confirmation -> confirmation.latestRoundAtRequest < round)
        .forEach(confirmation -> confirmation.onConfirmed.run());
  }

  /** Abandons the requests that arrived at this time or before. */
  void abandonRequestedUntil(long timeMs) {
    removeMatching(confirmation -> confirmation.requestedAtMs <= timeMs)
        .forEach(confirmation -> confirmation.onAbandoned.run());
  }

  void abandonAll() {
    removeMatching(confirmation -> true).forEach(confirmation -> confirmation.onAbandoned.run());
  }

  /**
   * Removes and returns the requests that match, before any callback runs, since a callback may add
   * another request.
   */
  private List<PendingConfirmation> removeMatching(Predicate<PendingConfirmation> condition) {
    if (pendingConfirmations.isEmpty()) return List.of();
    List<PendingConfirmation> removed = pendingConfirmations.stream().filter(condition).toList();
    pendingConfirmations.removeIf(condition);
    return removed;
  }
}
