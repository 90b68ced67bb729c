package gladelug.control.core.register;

import gladelug.common.Finding;
import gladelug.common.Log;
import gladelug.control.core.config.MemberSet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The names under which a member keeps its state on disk, and the check of what is found there
 * before the member begins.
 */
public final class DurableState {
  /** The entry that holds the members of the generation this member takes part in. */
  public static final String ACTIVE_MEMBERS = "members";

  /** The entry that holds the next members, for which this member has sealed its generation. */
  public static final String SEALED_FOR = "sealed";

  /** The entry that holds the members of the first generation while it is being agreed on. */
  public static final String BOOTSTRAP_SET = "pinned";

  /** Before a key's name: the member's register for it, whole. */
  public static final String REGISTER_PREFIX = "cell/";

  /** Before a key's name: the epochs of its register, where they rose after it was written. */
  public static final String EPOCHS_PREFIX = "epochs/";

  private DurableState() {}

  /**
   * What can't be used of a member's state, each with the name under which it is kept; name and
   * disk are the member's. A name that this release doesn't know is reported and kept as it is.
   */
  public static List<Finding> validate(Map<String, byte[]> durable, String name, String disk) {
    List<Finding> findings = new ArrayList<>();
    new TreeMap<>(durable)
        .forEach(
            (key, bytes) -> {
              String problem = findProblem(key, bytes, name, disk);
              if (!problem.isEmpty()) findings.add(new Finding(key, problem));
            });
    return findings;
  }

  private static String findProblem(String key, byte[] bytes, String name, String disk) {
    try {
      if (key.startsWith(REGISTER_PREFIX)) Register.parse(bytes);
      else if (key.startsWith(EPOCHS_PREFIX)) RegisterStore.validateEpochs(bytes);
      else if (key.equals(ACTIVE_MEMBERS))
        return findDiskMismatch(MemberSet.parse(bytes), name, disk);
      else if (key.equals(SEALED_FOR) || key.equals(BOOTSTRAP_SET)) MemberSet.parse(bytes);
      else Log.warn("unknown-state-kept", "key", key, "bytes", bytes.length);
      return "";
    } catch (IOException e) {
      return "cannot be read: " + (e.getMessage() == null ? e.toString() : e.getMessage());
    }
  }

  /** A member is only ever let in with the disk it has; another's state was copied here. */
  private static String findDiskMismatch(MemberSet members, String name, String disk) {
    MemberSet.Member self = members.find(name);
    return self == null || self.diskId().equals(disk)
        ? ""
        : "is that of disk " + self.diskId() + ", not of this one, " + disk;
  }
}
