package gladelug.control.core;

import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.register.VersionedValue;
import java.util.List;
import java.util.Map;

/** Tasks besides replication that the owner of a key runs, called on the core's thread. */
public interface OwnerTasks {
  /**
   * Allocates the capacity of each service to the relays. Called a few times per second at the
   * owner of the key shares.
   *
   * @param epoch the owner's epoch
   * @param relays the relays that recently sent requests
   * @param configuration the configuration as last stored at this member
   * @return the capacity grants by relay name
   */
  default Map<String, List<StateUpdate.CapacityGrant>> allocateCapacity(
      long epoch, List<SubscriberStatus> relays, byte[] configuration) {
    return Map.of();
  }

  /**
   * Returns which cached prefixes tenants share after {@code nextBody} replaces a value. Only
   * values of the configuration record it.
   */
  default PrefixSharing prefixSharing(String key, VersionedValue previous, byte[] nextBody) {
    return PrefixSharing.UNRECORDED;
  }

  /** Returns a short description of a change, for people. */
  default String summarizeChange(String key, byte[] oldBody, byte[] newBody) {
    return "";
  }
}
