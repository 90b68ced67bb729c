package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.StateDecoder;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which disks may still be lost. The core promises to bear the loss of a minority of the disks of
 * every set of members that counts: the newest that a majority of its own members has on disk, and
 * those proposed to follow it. Losses beyond that are never brought about.
 *
 * <p>Keeps the losses of disks within what the core promises to bear.
 */
final class FaultBudget {
  /** For how long an owner may choose a machine that it heard of, and some time more, ms. */
  private static final long REMEMBERED = 6000;

  private final World world;
  private final Set<MemberSet> sets = new LinkedHashSet<>();
  private final Set<String> wipedFounders = new HashSet<>();
  private final Set<String> foundedAgain = new HashSet<>();

  /**
   * Machines that stood by when their disks were lost: an owner may choose them a moment longer.
   */
  private final List<LostStandby> lostStandbys = new ArrayList<>();

  private boolean foundingHolds = true;

  /** reading: what clocks showed then, by machine and life. */
  private record LostStandby(Map<String, Long> reading) {}

  FaultBudget(World world) {
    this.world = world;
  }

  /** Notes the sets of members that are proposed. */
  void sent(CoreMessage message) {
    if (message instanceof AcceptRequest a && a.key().equals(StateKeys.CORE)) {
      byte[] body = StateDecoder.decodeValue(a).body();
      if (body.length > 0) counts(StateDecoder.decodeMembers(body));
    }
  }

  /** How many sets are proposed and not taken by a majority of their own yet. */
  long proposed() {
    long established = established();
    return sets.stream()
        .filter(members -> members.generation() > established && established > 0)
        .count();
  }

  /** Notes a set of members that a machine knows. */
  void counts(MemberSet members) {
    if (members.generation() > 0) sets.add(members);
  }

  /** Whether the disk of this machine may be lost now. */
  boolean mayWipe(CheckedMachine m, boolean foundingAgain) {
    if (foundingAgain && allFounders(foundedAgain, m)) return false;
    if (established() == 0 && allFounders(wipedFounders, m)) return false;
    long established = established();
    for (MemberSet members : sets)
      if (members.generation() >= established && !bears(members, m)) return false;
    return true;
  }

  /** Whether the core must find back to work once all machines run and reach each other. */
  boolean recovers() {
    return foundingHolds;
  }

  /** Notes that a disk is about to be lost. */
  void wiped(CheckedMachine m, boolean foundingAgain) {
    if (established() == 0 && world.isFounder(m)) {
      boolean majorityLeft = (wipedFounders.size() + 1) * 2 < world.setup.members();
      foundingHolds &= majorityLeft;
    }
    if (isMember(m)) lostStandbys.removeIf(this::forgotten);
    else lostStandbys.add(new LostStandby(clocks()));
    if (world.isFounder(m)) wipedFounders.add(m.name);
    if (foundingAgain) foundedAgain.add(m.name);
  }

  /** Whether its disk is in a set that counts. */
  private boolean isMember(CheckedMachine m) {
    long established = established();
    return sets.stream()
        .filter(members -> members.generation() >= established)
        .anyMatch(members -> members.all().stream().anyMatch(x -> x.diskId().equals(m.disk.id)));
  }

  private Map<String, Long> clocks() {
    Map<String, Long> reading = new HashMap<>();
    for (CheckedMachine m : world.machines())
      if (m.up()) reading.put(m.name + " " + m.life, m.nowMs());
    return reading;
  }

  /** Whether every process that ran at the time has let so much time pass. */
  private boolean forgotten(LostStandby lost) {
    Map<String, Long> now = clocks();
    return lost.reading.entrySet().stream()
        .allMatch(e -> now.getOrDefault(e.getKey(), Long.MAX_VALUE) - e.getValue() > REMEMBERED);
  }

  /** Whether these and this one are all who found the core. */
  private boolean allFounders(Set<String> some, CheckedMachine one) {
    for (MemberSet.Member f : world.founders())
      if (!some.contains(f.name()) && !f.name().equals(one.name)) return false;
    return true;
  }

  /** The newest generation that a majority of its own members has on disk. */
  private long established() {
    long newest = 0;
    for (MemberSet members : sets)
      if (members.generation() > newest && taken(members)) newest = members.generation();
    return newest;
  }

  private boolean taken(MemberSet members) {
    int took = 0;
    for (MemberSet.Member x : members.all()) {
      CheckedMachine m = world.machine(x.name());
      if (!m.disk.id.equals(x.diskId())) continue;
      MemberSet onDisk = StateDecoder.decodeMembers(m.disk.entry(StateDecoder.MEMBERS_ENTRY));
      if (onDisk.generation() >= members.generation()) took++;
    }
    return took > members.all().size() / 2;
  }

  private boolean bears(MemberSet members, CheckedMachine loses) {
    int lost = (int) lostStandbys.stream().filter(x -> !forgotten(x)).count();
    if (!isMember(loses)) lost++;
    for (MemberSet.Member x : members.all()) {
      CheckedMachine m = world.machine(x.name());
      if (m == loses || !m.disk.id.equals(x.diskId())) lost++;
    }
    return lost <= (members.all().size() - 1) / 2;
  }
}
