package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How bootstrap members agree on a fleet's first members, once, though one may lose its disk
 * meanwhile. Pure: it is given what the others announced and returns what to store and when the set
 * is agreed. The first by name proposes the set of names and disks when it has heard from all;
 * every bootstrap member stores it; it is in force when all in it have stored it. A member seen
 * with another disk has lost the one in the set, so it can't store it any more, and a majority of
 * the set that did store it goes on without it. A member that came back empty and asks to be let in
 * stores no set either, as it doesn't know that it bootstrapped: its new disk may be in a set,
 * counts as lost there, and the next by name that does bootstrap proposes in its place.
 *
 * <p>Why no two sets come into force: a member stores another set only when it knows that the one
 * it stored never will be in force. That is so when the set's proposer came back with another disk
 * and a member in the set, whose disk it still has, stored another one instead; it never goes back
 * to the first. A proposer with a new disk proposes no set while anybody it heard from has stored
 * one. Who proposes in place of one that came back empty has stored nothing, keeps its own set for
 * good and is in every set that the former proposer can have made, so none of those comes into
 * force. So a fleet is bootstrapped once, as long as its members are not all started on empty disks
 * again.
 */
final class Bootstrap {
  private final String self;

  /** By name, with no disk yet. */
  private final MemberSet members;

  private final Map<String, String> disksByName = new HashMap<>();

  /** Disks of bootstrap members that came back empty and only ask to be let in, by disk. */
  private final Map<String, MemberSet.Member> joiningByDisk = new HashMap<>();

  /** Disks that announced themselves for bootstrap; what they stored counts whatever they ask. */
  private final Set<String> bootstrapDisks = new HashSet<>();

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

  /** The set on this member's disk, or none; announced to the others only from then on. */
  MemberSet storedSet() {
    return storedSet;
  }

  /** The set is on disk now. */
  void onSetStored(MemberSet set) {
    storedSet = set;
    storedSets.put(self, set);
  }

  /** A bootstrap member announced which disk it has and which set it stored. */
  void onAnnouncement(String name, String memberDisk, MemberSet stored) {
    if (name.equals(self) || members.find(name) == null) return;
    bootstrapDisks.add(memberDisk);
    disksByName.put(name, memberDisk);
    storedSets.put(name, stored);
  }

  /** A machine asks to be let in; if it is a bootstrap member by name, it lost the disk it had. */
  void onJoinRequest(MemberSet.Member joining) {
    if (joining.name().equals(self)
        || members.find(joining.name()) == null
        || bootstrapDisks.contains(joining.diskId())) return;
    joiningByDisk.put(joining.diskId(), joining);
    disksByName.put(joining.name(), joining.diskId());
    storedSets.put(joining.name(), MemberSet.NONE);
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

  /** The first by name, of those that can have stored anything. */
  private String proposerOf(MemberSet set) {
    for (MemberSet.Member member : set.all())
      if (!joiningByDisk.containsKey(member.diskId())) return member.name();
    return set.all().get(0).name();
  }

  /** The first by name, as far as it isn't known to have come back empty. */
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
   * The set to store now, or null.
   *
   * @param mayPropose whether it is time to propose a set, if that is this member's part
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

  /** The first members, once they are in force; or null. */
  MemberSet agreedSet() {
    if (storedSet.generation() == 0) return null;
    int stored = 0, lost = 0;
    for (MemberSet.Member member : storedSet.all()) {
      if (!disksByName.containsKey(member.name())) continue;
      if (joiningByDisk.containsKey(member.diskId()) || !hasSameDisk(storedSet, member.name()))
        lost++;
      else if (storedSet.equals(this.storedSets.get(member.name()))) stored++;
    }
    return stored + lost == storedSet.all().size() && stored >= storedSet.majoritySize()
        ? storedSet
        : null;
  }
}
