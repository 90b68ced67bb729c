package gladelug.control.core;

import gladelug.control.core.message.CoreMessage;
import java.util.HashMap;
import java.util.Map;

/**
 * How old the values of keys are, as their owners' heartbeats told; a member that takes a key over
 * goes on from there. Only the core's thread calls it; ages and times are in ms.
 */
final class ValueAges {
  /** The age of a key that no owner told of. */
  private static final long UNKNOWN_AGE_MS = Integer.MAX_VALUE;

  private record ValueAge(long number, long receivedAtMs, long ageMs) {}

  private final Map<String, ValueAge> ages = new HashMap<>();

  /** Notes an owner's word on the age of a value, unless of one older than known. */
  void onClaim(CoreMessage.OwnershipClaim claim, long now) {
    ValueAge known = ages.get(claim.key());
    if (known == null || claim.number() >= known.number)
      ages.put(claim.key(), new ValueAge(claim.number(), now, claim.valueAgeMs()));
  }

  /**
   * The most the value of this number may be old by what its owners told, ms; a number never told
   * of began after the last telling.
   */
  long ageMs(String key, long number, long now) {
    ValueAge known = ages.get(key);
    if (known == null) return UNKNOWN_AGE_MS;
    return known.number == number
        ? known.ageMs + now - known.receivedAtMs
        : now - known.receivedAtMs;
  }
}
