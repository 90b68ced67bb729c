package gladelug.control.rollout;

import gladelug.common.configuration.RolloutPlan;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/**
 * Decides when a replica may start to load newly named weights. The replicas of a service load in
 * batches, in order of instance id, so that some of them always serve. A batch may start once every
 * replica of the earlier batches runs the new weights or does not answer, or at its scheduled time,
 * because a replica that never loads must not block the others until the cutoff. Stateless and
 * deterministic, so that the controllers of different replicas reach the same decision without
 * communicating. Thread-safe.
 */
final class RolloutBatches {
  /** A replica's progress towards the new weights, as known to a controller. */
  enum ReplicaProgress {
    /** The replica runs the new weights. */
    UPDATED,
    /** The replica answers, and runs other weights or is still loading. */
    OUTDATED,
    /** The replica does not answer. */
    UNRESPONSIVE
  }

  private RolloutBatches() {}

  /**
   * Returns whether a replica may start under the default plan of three batches, not strictly
   * timed.
   *
   * @param progressByInstance the progress of all replicas of the service that are to load the
   *     weights, by instance id
   * @param weightsAgeMs time since the weights were named, in ms
   * @param cutoffMs time in which all batches must have started, in ms
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
   * Returns whether a replica may start to load the new weights.
   *
   * @param progressByInstance the progress of all replicas of the service that are to load the
   *     weights, by instance id
   * @param weightsAgeMs time since the weights were named, in ms
   * @param strictlyTimed whether a batch starts at its scheduled time and no sooner, so that other
   *     processes can predict it
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
    int earlierReplicaCount = batch * plan.partSize(instances.size());
    return instances.subList(0, earlierReplicaCount).stream()
        .noneMatch(
            earlierInstance -> progressByInstance.get(earlierInstance) == ReplicaProgress.OUTDATED);
  }
}
