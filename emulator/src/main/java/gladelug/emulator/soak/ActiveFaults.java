package gladelug.emulator.soak;

import java.util.EnumMap;
import java.util.Map;

/**
 * The faults that are active in a stand-in at the moment, with the time at which each ends.
 * Thread-safe.
 */
final class ActiveFaults {
  private final Map<EventKind, Long> endNsByKind = new EnumMap<>(EventKind.class);

  synchronized void activate(EventKind kind, int durationMs) {
    endNsByKind.put(kind, System.nanoTime() + durationMs * 1_000_000L);
  }

  synchronized boolean isActive(EventKind kind) {
    Long until = endNsByKind.get(kind);
    return until != null && System.nanoTime() < until;
  }

  /**
   * Returns the active fault for the answer to this request, or null; about half of the requests
   * are hit.
   */
  EventKind faultFor(String requestId) {
    if ((requestId.hashCode() & 1) == 0) return null;
    for (EventKind kind :
        new EventKind[] {
          EventKind.ANSWER_ENDLESS,
          EventKind.ANSWER_CUT,
          EventKind.ANSWER_SURPLUS,
          EventKind.ANSWER_HUGE,
          EventKind.REPLICA_RESET
        }) if (isActive(kind)) return kind;
    return null;
  }

  synchronized void clear() {
    endNsByKind.clear();
  }
}
