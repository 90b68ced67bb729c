package gladelug.control.core;

import gladelug.control.core.message.CoreMessage.PrepareResponse;
import gladelug.control.core.register.VersionedValue;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The responses of the members to one candidate for a key under one epoch: which members promised
 * the epoch and with which accepted value, which declined, and which accepted the rewritten newest
 * value. It only counts responses; {@link KeyOwner} decides what is a majority.
 */
final class Election {
  private final Map<String, PrepareResponse> promises = new HashMap<>();
  private final Set<String> declinedBy = new HashSet<>();
  private final Set<String> acceptedBy = new HashSet<>();

  /**
   * Records a member's promise of the epoch.
   *
   * @return whether it is the member's first promise
   */
  boolean onPromise(String member, PrepareResponse response) {
    return promises.put(member, response) == null;
  }

  boolean isPromisedBy(String member) {
    return promises.containsKey(member);
  }

  int promiseCount() {
    return promises.size();
  }

  /** Records that a member declined to promise because it knows of a working owner. */
  void onDeclined(String member) {
    declinedBy.add(member);
  }

  int declinedCount() {
    return declinedBy.size();
  }

  /** Records that a member accepted the newest value under the new epoch. */
  void onAccepted(String member) {
    acceptedBy.add(member);
  }

  int acceptedCount() {
    return acceptedBy.size();
  }

  /**
   * Returns, of the values received with the promises, the one accepted under the highest epoch; of
   * several under that epoch, the one with the highest number. At least one member must have
   * promised.
   */
  VersionedValue newestValue() {
    PrepareResponse newest = null;
    for (PrepareResponse candidate : promises.values())
      if (newest == null
          || candidate.acceptedEpoch() > newest.acceptedEpoch()
          || candidate.acceptedEpoch() == newest.acceptedEpoch()
              && candidate.value().number() > newest.value().number()) newest = candidate;
    return newest.value();
  }
}
