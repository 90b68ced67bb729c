package gladelug.common.configuration;

import java.util.Collection;

/**
 * In which order a service's replicas take newly named weights, so that some capacity always
 * serves: by instance, in parts, each at its time after the naming. Pure and the same for
 * everybody: replica controllers follow it, and relays derive from it which replica is about to
 * load, without a message, and avoid it from a little before.
 *
 * <p>leadMs: from the naming to the first part's turn; rollMs: what all parts' turns take; parts:
 * how many there are.
 */
public record RolloutPlan(long delayMs, long durationMs, int parts) {
  /** The product's own: thirds, the first at once. */
  public static RolloutPlan thirds(long rollMs) {
    return new RolloutPlan(0, rollMs, 3);
  }

  /**
   * Of which part an instance is, from 0; all: the instances of the service that take the weights,
   * it among them.
   */
  public int partOf(String instance, Collection<String> all) {
    int before = 0;
    for (String x : all) if (x.compareTo(instance) < 0) before++;
    return before / partSize(all.size());
  }

  /** How many replicas go in one part. */
  public int partSize(int all) {
    return Math.max(1, (all + parts - 1) / parts);
  }

  /** When a part goes at the latest, in ms after the naming. */
  public long dueMs(int part) {
    return delayMs + part * durationMs / parts;
  }
}
