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
 * Changes that were forwarded to the key's owner at another member, until it answers, dies or takes
 * too long; and the ids of those forwarded to this member, so that none is applied twice. Only the
 * core's thread calls it; times are of the host's monotonic clock, in ms.
 */
final class ForwardedChanges {
  /** So many ids of changes forwarded to this member are remembered. */
  private static final int MAX_DELIVERED_IDS = 4096;

  private record ForwardedChange(
      String owner, long expectedNumber, long sentAtMs, Consumer<ChangeResult> onResult) {}

  private final long responseTimeoutMs;
  private final Map<Long, ForwardedChange> pending = new HashMap<>();
  private final Set<Long> deliveredIds = new LinkedHashSet<>();

  /**
   * @param responseTimeoutMs after this the result is unknown to whoever asked
   */
  ForwardedChanges(long responseTimeoutMs) {
    this.responseTimeoutMs = responseTimeoutMs;
  }

  /**
   * A change is about to be sent on.
   *
   * @param expectedNumber the number the key has if the change is applied, to ask about later
   */
  void onForwarded(
      long requestId,
      String owner,
      long expectedNumber,
      long now,
      Consumer<ChangeResult> onResult) {
    pending.put(requestId, new ForwardedChange(owner, expectedNumber, now, onResult));
  }

  /** The owner answered; late answers are dropped. */
  void onResponse(long requestId, ChangeResult result) {
    ForwardedChange change = pending.remove(requestId);
    if (change != null) change.onResult.accept(result);
  }

  /**
   * What was forwarded and nobody will answer any more is answered here, with the number to ask
   * about.
   */
  void tick(long now, Predicate<String> alive) {
    for (Map.Entry<Long, ForwardedChange> entry : new ArrayList<>(pending.entrySet())) {
      ForwardedChange change = entry.getValue();
      if (now - change.sentAtMs < responseTimeoutMs && alive.test(change.owner)) continue;
      pending.remove(entry.getKey());
      change.onResult.accept(new ChangeResult.Unknown(change.expectedNumber));
    }
  }

  /** A change that comes a second time must not be applied after its first coming was answered. */
  boolean isFirstDelivery(long requestId) {
    if (!deliveredIds.add(requestId)) return false;
    if (deliveredIds.size() > MAX_DELIVERED_IDS)
      deliveredIds.remove(deliveredIds.iterator().next());
    return true;
  }
}
