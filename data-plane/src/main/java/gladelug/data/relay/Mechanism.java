package gladelug.data.relay;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Mechanisms of the data plane that can be switched off individually to measure their effect. For
 * experiments only; a deployment runs with all of them.
 */
public enum Mechanism {
  /** Using lookups at the Cuckoo Summary. */
  INDEX_HINTS,
  /** Treating blocks recently sent to a replica as cached there. */
  RECENT_PLACEMENTS,
  /** Pulling kept blocks from another replica instead of computing them. */
  REPLICA_FETCH,
  /** Pulling kept blocks from a store. */
  STORE_FETCH,
  /** Having replicas save what they computed to a store. */
  STORE_SAVE,
  /** Estimating waits from the work this relay sent to a replica. */
  LOAD_ESTIMATES,
  /** Estimating waits from the work all relays sent to a replica, as reported by the index. */
  FLEET_LOADS,
  /** Learning the speed of prefill from answers. */
  LEARNED_SPEED,
  /** Adding the cost of evicting other blocks from scarce memory. */
  DISPLACEMENT_COST,
  /** Adding the cost of waiting for a replica's memory. */
  MEMORY_ESTIMATES,
  /** Treating a replica that leaves requests unanswered as slow. */
  SILENCE_ESTIMATES,
  /** Preferring replicas in the relay's own zone slightly. */
  ZONE_PREFERENCE,
  /** Adding the delay that prompts and streams at a replica cause each other. */
  STREAM_INTERFERENCE,
  /** Avoiding a replica that is about to load other weights. */
  ROLLOUT_AVOIDANCE,
  /** Avoiding a replica for a moment after it failed or refused a request. */
  OUTLIER_EJECTION,
  /** Retrying a request that did not run or broke off. */
  RETRIES,
  /** Refusing requests at once that would miss their deadline. */
  EARLY_REFUSAL,
  /** Sending the urgency of tenant and route to the replica. */
  PRIORITY;

  /** Returns the name used in settings: lower case with hyphens. */
  public String settingName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns all names, for a command's help text. */
  public static List<String> names() {
    return Arrays.stream(values()).map(Mechanism::settingName).toList();
  }

  /**
   * Returns the mechanisms of the given names.
   *
   * @throws IllegalArgumentException if a name is unknown or given twice
   */
  public static Set<Mechanism> parse(List<String> names) {
    Set<Mechanism> mechanisms = EnumSet.noneOf(Mechanism.class);
    for (String name : names)
      if (!mechanisms.add(byName(name)))
        throw new IllegalArgumentException("mechanism " + name + " is given twice");
    return mechanisms;
  }

  private static Mechanism byName(String name) {
    for (Mechanism mechanism : values()) if (mechanism.settingName().equals(name)) return mechanism;
    throw new IllegalArgumentException(
        "unknown mechanism " + name + "; known mechanisms: " + names());
  }
}
