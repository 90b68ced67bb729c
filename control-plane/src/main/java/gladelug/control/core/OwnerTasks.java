package gladelug.control.core;

import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.register.VersionedValue;
import java.util.List;
import java.util.Map;

/** What a member does beside keeping state, where it owns the key for it, on the core's thread. */
public interface OwnerTasks {
  /**
   * What each relay may use of each service's capacity; asked of the owner of the key shares a few
   * times a second.
   *
   * @param epoch the owner's epoch
   * @param relays those that asked lately
   * @param configuration the configuration as last stored here
   * @return grants by the relay's name
   */
  default Map<String, List<StateUpdate.CapacityGrant>> allocateCapacity(
      long epoch, List<SubscriberStatus> relays, byte[] configuration) {
    return Map.of();
  }

  /**
   * Which cached prefixes tenants share once a body follows a value, which the value of a
   * configuration records; other keys' values record nothing.
   */
  default PrefixSharing prefixSharing(String key, VersionedValue previous, byte[] nextBody) {
    return PrefixSharing.UNRECORDED;
  }

  /** What a change of a key is, in a few words, for people. */
  default String summarizeChange(String key, byte[] oldBody, byte[] newBody) {
    return "";
  }
}
