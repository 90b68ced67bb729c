package gladelug.data.relay;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The mechanisms of the data plane that can be switched off one by one, to measure what callers get
 * by each. For experiments only: a deployment runs with all of them.
 */
public enum Mechanism {
  /** Lookups at the Cuckoo Summary. */
  INDEX_HINTS,
  /** What was sent to a replica a moment ago counts as kept there. */
  RECENT_PLACEMENTS,
  /** Pulling kept blocks from another replica instead of computing them. */
  REPLICA_FETCH,
  /** Pulling kept blocks from a store. */
  STORE_FETCH,
  /** Having replicas save what they computed to a store. */
  STORE_SAVE,
  /** Waits estimated from the work that this relay gave a replica. */
  LOAD_ESTIMATES,
  /** Waits as the index knows them from what all relays gave a replica. */
  FLEET_LOADS,
  /** The speed of prefill is learned from answers. */
  LEARNED_SPEED,
  /** What a copy would drive out of scarce memory counts in its cost. */
  DISPLACEMENT_COST,
  /** The room left in a replica's memory counts in its cost. */
  MEMORY_ESTIMATES,
  /** A replica that leaves requests unanswered counts as slow. */
  SILENCE_ESTIMATES,
  /** Replicas of the relay's own zone are a little cheaper. */
  ZONE_PREFERENCE,
  /** Long prompts and streams that run at the same replica hold each other up. */
  STREAM_INTERFERENCE,
  /** A replica about to load other weights is avoided. */
  ROLLOUT_AVOIDANCE,
  /** A replica that failed or refused is left alone for a moment. */
  OUTLIER_EJECTION,
  /** A second attempt after one that did not run or broke. */
  RETRIES,
  /** Requests that would begin too late are refused at once. */
  EARLY_REFUSAL,
  /** The urgency of tenant and route is sent to the replica. */
  PRIORITY;

  /** Its name in settings: small letters and hyphens. */
  public String settingName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** All names, for a command line's help. */
  public static List<String> names() {
    return Arrays.stream(values()).map(Mechanism::settingName).toList();
  }

  /** Those named; an IllegalArgumentException that says which name is unknown. */
  public static Set<Mechanism> parse(List<String> names) {
    Set<Mechanism> out = EnumSet.noneOf(Mechanism.class);
    for (String name : names)
      if (!out.add(byName(name)))
        throw new IllegalArgumentException("mechanism " + name + " is named twice");
    return out;
  }

  private static Mechanism byName(String name) {
    for (Mechanism mechanism : values()) if (mechanism.settingName().equals(name)) return mechanism;
    throw new IllegalArgumentException("no mechanism " + name + "; there are " + names());
  }
}
