package gladelug.control.core.register;

import gladelug.common.Finding;
import gladelug.common.Log;
import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The names of the entries that hold a member's state on disk, and the validation of these entries
 * before the member starts.
 */
public final class DurableState {
  /** The entry that holds the member set of the generation that this member takes part in. */
  public static final String ACTIVE_MEMBERS = "members";

  /** The entry that holds the next member set, for which this member has sealed its generation. */
  public static final String SEALED_FOR = "sealed";

  /** The entry in which an earlier release held the proposed first member set. */
  public static final String BOOTSTRAP_SET = "pinned";

  /** The entry that holds this member's vote on the first member set. */
  public static final String BOOTSTRAP_VOTE = "bootstrap-vote";

  /** Prefix of the entry that holds a key's complete register; the key's name follows. */
  public static final String REGISTER_PREFIX = "cell/";

  /**
   * Prefix of the entry that holds a key's epochs if they rose after its register was written; the
   * key's name follows.
   */
  public static final String EPOCHS_PREFIX = "epochs/";

  private DurableState() {}

  /**
   * Returns a finding for each entry that cannot be used, under the entry's name. An entry with an
   * unknown name is logged and kept.
   *
   * @param entries the content of all entries on disk, by name
   * @param memberName the name of the member that starts
   * @param diskId the id of its disk
   */
  public static List<Finding> validate(
      Map<String, byte[]> entries, String memberName, String diskId) {
    List<Finding> findings = new ArrayList<>();
    new TreeMap<>(entries)
        .forEach(
            (key, bytes) -> {
              String problem = findProblem(key, bytes, memberName, diskId);
              if (!problem.isEmpty()) findings.add(new Finding(key, problem));
            });
    return findings;
  }

  private static String findProblem(String key, byte[] bytes, String memberName, String diskId) {
    try {
      if (key.startsWith(REGISTER_PREFIX)) Register.parse(bytes);
      else if (key.startsWith(EPOCHS_PREFIX)) RegisterStore.validateEpochs(bytes);
      else if (key.equals(ACTIVE_MEMBERS))
        return findDiskMismatch(MemberSet.parse(bytes), memberName, diskId);
      else if (key.equals(BOOTSTRAP_VOTE)) BootstrapVote.parse(bytes);
      else if (key.equals(SEALED_FOR) || key.equals(BOOTSTRAP_SET)) MemberSet.parse(bytes);
      else Log.warn("unknown-state-kept", "key", key, "bytes", bytes.length);
      return "";
    } catch (IOException e) {
      return "cannot be read: " + (e.getMessage() == null ? e.toString() : e.getMessage());
    }
  }

  /**
   * Detects state that was copied from another disk: a member is only admitted together with the id
   * of its own disk.
   */
  private static String findDiskMismatch(MemberSet members, String memberName, String diskId) {
    MemberSet.Member self = members.find(memberName);
    return self == null || self.diskId().equals(diskId)
        ? ""
        : "belongs to disk " + self.diskId() + ", not to this one, " + diskId;
  }
}
