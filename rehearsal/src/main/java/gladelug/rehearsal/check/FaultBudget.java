/*
 * Which disks may still be lost. The core promises to bear the loss of a minority of the disks of
 * every set of members that counts: the newest that a majority of its own members has on disk, and
 * those proposed to follow it. Losses beyond that are never brought about.
 */
package gladelug.rehearsal.check;

import gladelug.control.core.CoreInspection;
import gladelug.control.core.CoreMessage;
import gladelug.control.core.CoreMessage.Accept;
import gladelug.control.core.Members;
import gladelug.kernel.message.Keys;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** Keeps the losses of disks within what the core promises to bear. */
final class FaultBudget {
  private final World world;
  private final Set<Members> sets = new LinkedHashSet<>();
  private final Set<String> wipedFounders = new HashSet<>();
  private final Set<String> foundedAgain = new HashSet<>();

  FaultBudget(World world) {
    this.world = world;
  }

  /** Notes the sets of members that are proposed. */
  void sent(CoreMessage m) {
    if (m instanceof Accept a && a.key().equals(Keys.CORE)) {
      byte[] body = CoreInspection.value(a).body();
      if (body.length > 0) counts(CoreInspection.members(body));
    }
  }

  /** Notes a set of members that a machine knows. */
  void counts(Members m) {
    if (m.generation() > 0) sets.add(m);
  }

  /** Whether the disk of this machine may be lost now. */
  boolean mayWipe(CheckedMachine m, boolean foundingAgain) {
    if (foundingAgain && allFounders(foundedAgain, m)) return false;
    if (established() == 0 && allFounders(wipedFounders, m)) return false;
    long established = established();
    for (Members s : sets) if (s.generation() >= established && !bears(s, m)) return false;
    return true;
  }

  void wiped(CheckedMachine m, boolean foundingAgain) {
    if (world.isFounder(m)) wipedFounders.add(m.name);
    if (foundingAgain) foundedAgain.add(m.name);
  }

  /** Whether these and this one are all who found the core. */
  private boolean allFounders(Set<String> some, CheckedMachine one) {
    for (Members.Member f : world.founders())
      if (!some.contains(f.name()) && !f.name().equals(one.name)) return false;
    return true;
  }

  /** The newest generation that a majority of its own members has on disk. */
  private long established() {
    long newest = 0;
    for (Members s : sets) if (s.generation() > newest && taken(s)) newest = s.generation();
    return newest;
  }

  private boolean taken(Members s) {
    int took = 0;
    for (Members.Member x : s.all()) {
      CheckedMachine m = world.machine(x.name());
      if (!m.disk.id.equals(x.disk())) continue;
      Members onDisk = CoreInspection.members(m.disk.entry(CoreInspection.MEMBERS));
      if (onDisk.generation() >= s.generation()) took++;
    }
    return took > s.all().size() / 2;
  }

  private boolean bears(Members s, CheckedMachine loses) {
    int lost = 0;
    for (Members.Member x : s.all()) {
      CheckedMachine m = world.machine(x.name());
      if (m == loses || !m.disk.id.equals(x.disk())) lost++;
    }
    return lost <= (s.all().size() - 1) / 2;
  }
}
