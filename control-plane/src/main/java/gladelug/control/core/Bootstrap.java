package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Agreement of the bootstrap members on the first member set of a fleet. It is reached at most
 * once, even if a member loses its disk meanwhile. The class does no I/O: it receives what the
 * other members announced, and returns which set to store and when a set is agreed. The first
 * member by name proposes the set of names and disk ids once it has heard from all members. Every
 * bootstrap member stores that set, and it is agreed once all members in it have stored it. A
 * member that reports another disk than the set lists has lost that disk and can no longer store
 * the set, so the members that stored it continue without it if they are a majority. A member that
 * restarted with an empty disk and sends a join request stores no set either, since it does not
 * know that it took part in the bootstrap: its new disk may be listed in a set, where it counts as
 * lost, and the next member by name that still bootstraps proposes in its place.
 *
 * <p>Why no two sets are ever agreed: a member replaces its stored set only if that set can never
 * be agreed. This is the case when the set's proposer returned with another disk and a member of
 * the set that still has its disk stored a different set, because that member never returns to the
 * first one. A proposer with a new disk proposes no set while any member it heard from has stored
 * one. A member that proposes in place of one that restarted with an empty disk has stored nothing
 * before, keeps its own set permanently and is listed in every set that the former proposer can
 * have made, so none of those can be agreed. A fleet is therefore bootstrapped once, unless all its
 * members are started on empty disks again.
 */
final class Bootstrap {
  private final String self;

  /** The bootstrap members by name; their disk ids are not known yet. */
  private final MemberSet members;

  /** The id of the disk that each member was last heard with, this one included. */
  private final Map<String, String> disksByName = new HashMap<>();

  /**
   * Bootstrap members that restarted with an empty disk and only send join requests, by disk id.
   */
  private final Map<String, MemberSet.Member> joiningByDisk = new HashMap<>();

  /**
   * Ids of disks announced for bootstrap. The sets they stored count even if their members send
   * join requests later.
   */
  private final Set<String> bootstrapDisks = new HashSet<>();

  /** By member name: the set that it was last known to have stored. */
  private final Map<String, MemberSet> storedSets = new HashMap<>();

  private MemberSet storedSet = MemberSet.NONE;

  Bootstrap(String self, String disk, List<MemberSet.Member> members) {
    this.self = self;
    this.members = new MemberSet(1, members);
    disksByName.put(self, disk);
  }

  MemberSet members() {
    return members;
  }

  /**
   * Returns the set on this member's disk, or {@link MemberSet#NONE}. A set is announced to the
   * other members only once it is on disk.
   */
  MemberSet storedSet() {
    return storedSet;
  }

  /** Records that the set is on this member's disk. */
  void onSetStored(MemberSet set) {
    storedSet = set;
    storedSets.put(self, set);
  }

  /** Records the disk and the stored set that a bootstrap member announced. */
  void onAnnouncement(String name, String memberDisk, MemberSet stored) {
    if (name.equals(self) || members.find(name) == null) return;
    bootstrapDisks.add(memberDisk);
    disksByName.put(name, memberDisk);
    storedSets.put(name, stored);
  }

  /**
   * Records a join request. A bootstrap member that sends one from a disk it did not announce has
   * lost its former disk.
   */
  void onJoinRequest(MemberSet.Member candidate) {
    if (candidate.name().equals(self)
        || members.find(candidate.name()) == null
        || bootstrapDisks.contains(candidate.diskId())) return;
    joiningByDisk.put(candidate.diskId(), candidate);
    disksByName.put(candidate.name(), candidate.diskId());
    storedSets.put(candidate.name(), MemberSet.NONE);
  }

  private boolean hasSameDisk(MemberSet set, String name) {
    MemberSet.Member member = set.find(name);
    return member != null && member.diskId().equals(disksByName.get(name));
  }

  private boolean isAcceptable(MemberSet set) {
    return set.generation() == 1
        && set.all().size() == members.all().size()
        && set.all().stream().allMatch(member -> members.find(member.name()) != null)
        && hasSameDisk(set, self);
  }

  /** Returns the first member by name that can have stored a set. */
  private String proposerOf(MemberSet set) {
    for (MemberSet.Member member : set.all())
      if (!joiningByDisk.containsKey(member.diskId())) return member.name();
    return set.all().get(0).name();
  }

  /**
   * Returns the first bootstrap member by name that is not known to have restarted with an empty
   * disk.
   */
  private String nextProposer() {
    for (MemberSet.Member member : members.all())
      if (!joiningByDisk.containsKey(disksByName.getOrDefault(member.name(), "")))
        return member.name();
    return self;
  }

  private MemberSet proposedSet() {
    List<MemberSet.Member> proposed = new ArrayList<>();
    for (MemberSet.Member member : members.all()) {
      String disk = disksByName.get(member.name());
      MemberSet.Member bootstrapping =
          new MemberSet.Member(
              member.name(), disk, member.recordsAddress(), member.operatorAddress());
      proposed.add(joiningByDisk.getOrDefault(disk, bootstrapping));
    }
    return new MemberSet(1, proposed);
  }

  /**
   * Returns the set that this member has to store now, or null for none.
   *
   * @param mayPropose whether this member may propose a set if it is the proposer
   */
  MemberSet nextSetToStore(boolean mayPropose) {
    if (members.find(self) == null) return null;
    List<MemberSet> candidates = new ArrayList<>();
    boolean nothingStored = true;
    for (MemberSet.Member member : members.all()) {
      MemberSet stored =
          member.name().equals(self)
              ? MemberSet.NONE
              : storedSets.getOrDefault(member.name(), MemberSet.NONE);
      nothingStored &= stored.generation() == 0;
      if (stored.generation() == 0 || !isAcceptable(stored) || !hasSameDisk(stored, member.name()))
        continue;
      if (hasSameDisk(stored, proposerOf(stored))) candidates.add(0, stored);
      else candidates.add(stored);
    }
    if (storedSet.generation() == 0) {
      if (!candidates.isEmpty()) return candidates.get(0);
      if (!mayPropose
          || !nothingStored
          || !self.equals(nextProposer())
          || disksByName.size() < members.all().size()) return null;
      return proposedSet();
    }
    if (!disksByName.containsKey(proposerOf(storedSet))
        || hasSameDisk(storedSet, proposerOf(storedSet))) return null;
    for (MemberSet.Member member : members.all()) {
      MemberSet stored = storedSets.getOrDefault(member.name(), MemberSet.NONE);
      if (stored.generation() > 0
          && !stored.equals(storedSet)
          && hasSameDisk(storedSet, member.name())
          && isAcceptable(stored)
          && hasSameDisk(stored, proposerOf(stored))) return stored;
    }
    return null;
  }

  /** Returns the agreed first members, or null while no set is agreed. */
  MemberSet agreedSet() {
    if (storedSet.generation() == 0) return null;
    int storedCount = 0, lostCount = 0;
    for (MemberSet.Member member : storedSet.all()) {
      if (!disksByName.containsKey(member.name())) continue;
      if (joiningByDisk.containsKey(member.diskId()) || !hasSameDisk(storedSet, member.name()))
        lostCount++;
      else if (storedSet.equals(this.storedSets.get(member.name()))) storedCount++;
    }
    return storedCount + lostCount == storedSet.all().size()
            && storedCount >= storedSet.majoritySize()
        ? storedSet
        : null;
  }
}
