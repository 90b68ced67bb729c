package gladelug.control.core;

import gladelug.control.core.message.CoreMessage;
import java.util.HashMap;
import java.util.Map;

/**
 * The ages of the values of keys according to their owners' heartbeats. A member that takes over a
 * key continues from the known age. Called on the core's thread only; ages and times are in ms.
 */
final class ValueAges {
  /** The age of a value whose key no owner has reported. */
  private static final long UNKNOWN_AGE_MS = Integer.MAX_VALUE;

  private record ValueAge(long number, long receivedAtMs, long ageMs) {}

  private final Map<String, ValueAge> ages = new HashMap<>();

  /**
   * Records the age that an owner reported for a value, unless a higher version number is known.
   */
  void onClaim(CoreMessage.OwnershipClaim claim, long nowMs) {
    ValueAge latest = ages.get(claim.key());
    if (latest == null || claim.number() >= latest.number)
      ages.put(claim.key(), new ValueAge(claim.number(), nowMs, claim.valueAgeMs()));
  }

  /**
   * Returns the maximum age in ms of the value with this number. A value whose number was not the
   * last one reported was committed after that report.
   */
  long ageMs(String key, long number, long nowMs) {
    ValueAge latest = ages.get(key);
    if (latest == null) return UNKNOWN_AGE_MS;
    return latest.number == number
        ? latest.ageMs + nowMs - latest.receivedAtMs
        : nowMs - latest.receivedAtMs;
  }
}
