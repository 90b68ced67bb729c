package gladelug.control.core;

import gladelug.control.core.message.ChangeResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Tracks changes that this member forwarded to the owner at another member until the owner answers,
 * is no longer alive or exceeds the time-out. It also remembers the ids of changes forwarded to
 * this member, so that none is applied twice. Called on the core's thread only; times are of the
 * host's monotonic clock, in ms.
 */
final class ForwardedChanges {
  /** How many ids of changes forwarded to this member are remembered. */
  private static final int MAX_DELIVERED_IDS = 4096;

  private record ForwardedChange(
      String owner, long expectedNumber, long sentAtMs, Consumer<ChangeResult> onResult) {}

  private final long responseTimeoutMs;
  private final Map<Long, ForwardedChange> pendingChanges = new HashMap<>();
  private final Set<Long> deliveredIds = new LinkedHashSet<>();

  /**
   * @param responseTimeoutMs time after which a forwarded change is answered with an unknown
   *     result, ms
   */
  ForwardedChanges(long responseTimeoutMs) {
    this.responseTimeoutMs = responseTimeoutMs;
  }

  /**
   * Records a change that is about to be forwarded.
   *
   * @param expectedNumber the version number of the key if the change is applied, by which its
   *     sender can query the outcome
   */
  void onForwarded(
      long requestId,
      String owner,
      long expectedNumber,
      long nowMs,
      Consumer<ChangeResult> onResult) {
    pendingChanges.put(requestId, new ForwardedChange(owner, expectedNumber, nowMs, onResult));
  }

  /** Passes on the owner's response; late responses are dropped. */
  void onResponse(long requestId, ChangeResult result) {
    ForwardedChange change = pendingChanges.remove(requestId);
    if (change != null) change.onResult.accept(result);
  }

  /**
   * Answers changes that no owner will answer any more with an unknown result and the number to
   * query.
   */
  void tick(long nowMs, Predicate<String> isAlive) {
    for (Map.Entry<Long, ForwardedChange> entry : new ArrayList<>(pendingChanges.entrySet())) {
      ForwardedChange change = entry.getValue();
      if (nowMs - change.sentAtMs < responseTimeoutMs && isAlive.test(change.owner)) continue;
      pendingChanges.remove(entry.getKey());
      change.onResult.accept(new ChangeResult.Unknown(change.expectedNumber));
    }
  }

  /**
   * Records a delivery and returns whether it is the first with this id. A duplicate must not be
   * applied after the first delivery was answered.
   */
  boolean isFirstDelivery(long requestId) {
    if (!deliveredIds.add(requestId)) return false;
    if (deliveredIds.size() > MAX_DELIVERED_IDS)
      deliveredIds.remove(deliveredIds.iterator().next());
    return true;
  }
}
