package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.List;

/**
 * The voters that agree on the first members of a fleet, as this process knows them at its first
 * start; see {@link Bootstrap}.
 *
 * @param members the voters ordered by name, one to nine
 * @param firstStartKnown whether the deployment starts a process as a voter at most once on the
 *     same machine, unless the machine kept its disk
 * @param witness whether this process has no disk, so that it votes but never is a member
 */
public record BootstrapMembers(
    List<MemberSet.Member> members, boolean firstStartKnown, boolean witness) {
  /** Creates the voters of a fleet whose operator may start a member with an empty disk again. */
  public BootstrapMembers(List<MemberSet.Member> members) {
    this(members, false, false);
  }

  /** Returns the voters of a fleet whose deployment tells the first start from later ones. */
  public static BootstrapMembers ofKnownFirstStart(List<MemberSet.Member> members) {
    return new BootstrapMembers(members, true, false);
  }

  /** Returns the same voters for a process without a disk. */
  public static BootstrapMembers ofWitness(List<MemberSet.Member> members) {
    return new BootstrapMembers(members, true, true);
  }
}
