package gladelug.control.rollout;

import gladelug.common.configuration.RolloutPlan;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/**
 * When a replica may begin to load newly named weights, so that some capacity always serves: the
 * replicas of a service, in order of instance, go in batches. A batch may start once everyone in
 * the batches before it runs the new weights or doesn't answer, or when its own time has come,
 * because a replica that never loads must not hold the rest until the cutoff. Pure, and the same at
 * every controller, so that those of different replicas need not talk. Any thread.
 */
final class RolloutBatches {
  /** How far a replica is with the new weights, as a controller knows it. */
  enum ReplicaProgress {
    /** It runs the new weights. */
    UPDATED,
    /** It answers, and runs other weights or is still loading. */
    OUTDATED,
    /** It doesn't answer. */
    UNRESPONSIVE
  }

  private RolloutBatches() {}

  /**
   * By the product's own plan of thirds, not strictly timed.
   *
   * @param progressByInstance all replicas of the service that take the weights
   * @param weightsAgeMs ms since the weights were named
   * @param cutoffMs ms that all thirds have
   */
  static boolean mayStart(
      String instance,
      SortedMap<String, ReplicaProgress> progressByInstance,
      long weightsAgeMs,
      long cutoffMs) {
    RolloutPlan plan = RolloutPlan.thirds(cutoffMs);
    return mayStart(instance, progressByInstance, weightsAgeMs, plan, false);
  }

  /**
   * Whether a replica may start to load the new weights.
   *
   * @param progressByInstance all replicas of the service that take the weights
   * @param weightsAgeMs ms since the weights were named
   * @param strictlyTimed at its batch's time and no sooner, so that others can reckon with it
   */
  static boolean mayStart(
      String instance,
      SortedMap<String, ReplicaProgress> progressByInstance,
      long weightsAgeMs,
      RolloutPlan plan,
      boolean strictlyTimed) {
    if (!progressByInstance.containsKey(instance)) return false;
    List<String> instances = new ArrayList<>(progressByInstance.keySet());
    int batch = plan.partOf(instance, instances);
    if (weightsAgeMs >= plan.dueMs(batch)) return true;
    if (strictlyTimed) return false;
    int replicasBefore = batch * plan.partSize(instances.size());
    return instances.subList(0, replicasBefore).stream()
        .noneMatch(earlier -> progressByInstance.get(earlier) == ReplicaProgress.OUTDATED);
  }
}
