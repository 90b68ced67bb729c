package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.StateDecoder;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import gladelug.control.core.message.CoreMessage.BootstrapBallot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which disks may still be lost. The core guarantees to tolerate the loss of a minority of
 * the disks of every member set that counts: the newest set that a majority of its own members has
 * on disk, and those proposed to follow it. The checker never causes losses beyond that.
 */
final class FaultBudget {
  /** Time for which an owner may choose a candidate that it has heard of, plus a margin, in ms. */
  private static final long STANDBY_MEMORY_MS = 6000;

  private final CheckedWorld world;
  private final Set<MemberSet> memberSets = new LinkedHashSet<>();
  private final Set<String> wipedFounders = new HashSet<>();
  private final Set<String> foundedAgain = new HashSet<>();

  /** Standbys whose disks were lost; an owner may still choose them for a while. */
  private final List<LostStandby> lostStandbys = new ArrayList<>();

  private boolean majorityOfFoundersKept = true;

  /** clockReadings: the clocks at the time of the loss, by machine and process. */
  private record LostStandby(Map<String, Long> clockReadings) {}

  FaultBudget(CheckedWorld world) {
    this.world = world;
  }

  /** Records the member set that a message proposes, if any. */
  void onSent(CoreMessage message) {
    if (message instanceof AcceptRequest accept && accept.key().equals(StateKeys.CORE)) {
      byte[] body = StateDecoder.decodeValue(accept).body();
      if (body.length > 0) addMemberSet(StateDecoder.decodeMembers(body));
    }
    // without witnesses the founders are the first members, and their losses are counted as such
    if (message instanceof BootstrapBallot announcement && world.setup.witnessCount() > 0)
      onFirstMembersProposed(announcement.vote().accepted());
  }

  /** A first set of which a majority was lost before it was proposed cannot come to life. */
  private void onFirstMembersProposed(MemberSet first) {
    if (first.generation() == 0 || memberSets.contains(first)) return;
    addMemberSet(first);
    majorityOfFoundersKept &= countLost(first, null) <= (first.all().size() - 1) / 2;
  }

  private int countLost(MemberSet members, CheckedMachine losing) {
    int lostCount = 0;
    for (MemberSet.Member member : members.all()) {
      CheckedMachine machine = world.machine(member.name());
      if (machine == losing || !machine.disk.id.equals(member.diskId())) lostCount++;
    }
    return lostCount;
  }

  /**
   * Returns the number of member sets that were proposed and not yet adopted by a majority of their
   * own members.
   */
  long proposedSetCount() {
    long established = establishedGeneration();
    return memberSets.stream()
        .filter(members -> members.generation() > established && established > 0)
        .count();
  }

  /** Records a member set that a machine knows. */
  void addMemberSet(MemberSet members) {
    if (members.generation() > 0) memberSets.add(members);
  }

  /** Returns whether the disk of this machine may be lost now. */
  boolean mayWipe(CheckedMachine machine, boolean bootstrapsAgain) {
    if (bootstrapsAgain
        && (world.setup.witnessCount() > 0 || coverAllFounders(foundedAgain, machine)))
      return false;
    if (establishedGeneration() == 0 && coverAllFounders(wipedFounders, machine)) return false;
    long established = establishedGeneration();
    for (MemberSet members : memberSets)
      if (members.generation() >= established && !toleratesLossOf(members, machine)) return false;
    return true;
  }

  /** Returns whether the core must recover once all machines run and reach each other. */
  boolean mustRecover() {
    return majorityOfFoundersKept;
  }

  /** Records that a disk is about to be lost. */
  void onWipe(CheckedMachine machine, boolean bootstrapsAgain) {
    if (isMember(machine)) lostStandbys.removeIf(this::isForgotten);
    else lostStandbys.add(new LostStandby(readClocks()));
    if (world.isFounder(machine)) recordFounderLoss(machine);
    if (bootstrapsAgain) foundedAgain.add(machine.name);
  }

  /** Returns whether this founder without a disk may lose what it stored now. */
  boolean mayForget(CheckedMachine witness) {
    return establishedGeneration() > 0 || !coverAllFounders(wipedFounders, witness);
  }

  /** Records that a founder without a disk is about to lose what it stored. */
  void onForgotten(CheckedMachine witness) {
    recordFounderLoss(witness);
  }

  private void recordFounderLoss(CheckedMachine founder) {
    if (establishedGeneration() == 0)
      majorityOfFoundersKept &= (wipedFounders.size() + 1) * 2 < world.setup.memberCount();
    wipedFounders.add(founder.name);
  }

  /** Returns whether the machine's disk belongs to a member set that counts. */
  private boolean isMember(CheckedMachine machine) {
    long established = establishedGeneration();
    return memberSets.stream()
        .filter(members -> members.generation() >= established)
        .anyMatch(
            members ->
                members.all().stream().anyMatch(member -> member.diskId().equals(machine.disk.id)));
  }

  private Map<String, Long> readClocks() {
    Map<String, Long> reading = new HashMap<>();
    for (CheckedMachine machine : world.machines())
      if (machine.isRunning())
        reading.put(machine.name + " " + machine.processNumber, machine.nowMs());
    return reading;
  }

  /** Returns whether STANDBY_MEMORY_MS have passed for every process that ran at the time. */
  private boolean isForgotten(LostStandby lost) {
    Map<String, Long> clocksNow = readClocks();
    return lost.clockReadings.entrySet().stream()
        .allMatch(
            entry ->
                clocksNow.getOrDefault(entry.getKey(), Long.MAX_VALUE) - entry.getValue()
                    > STANDBY_MEMORY_MS);
  }

  /** Returns whether the named machines and this one include all founders. */
  private boolean coverAllFounders(Set<String> names, CheckedMachine machine) {
    for (MemberSet.Member founder : world.founders())
      if (!names.contains(founder.name()) && !founder.name().equals(machine.name)) return false;
    return true;
  }

  /** Returns the newest generation that a majority of its own members has on disk. */
  private long establishedGeneration() {
    long newestGeneration = 0;
    for (MemberSet members : memberSets)
      if (members.generation() > newestGeneration && isTakenByMajority(members))
        newestGeneration = members.generation();
    return newestGeneration;
  }

  private boolean isTakenByMajority(MemberSet members) {
    int takenCount = 0;
    for (MemberSet.Member member : members.all()) {
      CheckedMachine machine = world.machine(member.name());
      if (!machine.disk.id.equals(member.diskId())) continue;
      MemberSet onDisk = StateDecoder.decodeMembers(machine.disk.entry(StateDecoder.MEMBERS_ENTRY));
      if (onDisk.generation() >= members.generation()) takenCount++;
    }
    return takenCount > members.all().size() / 2;
  }

  private boolean toleratesLossOf(MemberSet members, CheckedMachine losing) {
    int lostCount = (int) lostStandbys.stream().filter(standby -> !isForgotten(standby)).count();
    if (!isMember(losing)) lostCount++;
    lostCount += countLost(members, losing);
    return lostCount <= (members.all().size() - 1) / 2;
  }
}
