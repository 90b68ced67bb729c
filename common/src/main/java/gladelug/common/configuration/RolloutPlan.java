package gladelug.common.configuration;

import java.util.Collection;

/**
 * The order in which a service's replicas load newly assigned weights, so that some capacity always
 * remains in service: sorted by instance ID and divided into parts, each of which starts at a fixed
 * time after the assignment. The plan is a pure function, so replica controllers that follow it and
 * relays agree without messages: relays derive which replica is about to load and avoid it shortly
 * before.
 *
 * @param delayMs time from the assignment to the start of the first part
 * @param durationMs total time that the parts take
 * @param parts number of parts
 */
public record RolloutPlan(long delayMs, long durationMs, int parts) {
  /** Returns the default plan: three parts, of which the first starts at once. */
  public static RolloutPlan thirds(long durationMs) {
    return new RolloutPlan(0, durationMs, 3);
  }

  /**
   * Returns the part that an instance belongs to, from 0.
   *
   * @param instances all instances of the service that load the weights, including this one
   */
  public int partOf(String instance, Collection<String> instances) {
    int before = 0;
    for (String other : instances) if (other.compareTo(instance) < 0) before++;
    return before / partSize(instances.size());
  }

  /** Returns the number of replicas in each part. */
  public int partSize(int instanceCount) {
    return Math.max(1, (instanceCount + parts - 1) / parts);
  }

  /** Returns when a part starts at the latest, in ms after the assignment. */
  public long dueMs(int part) {
    return delayMs + part * durationMs / parts;
  }
}
