package gladelug.emulator.check;

import gladelug.common.Address;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.BootstrapMembers;
import gladelug.control.core.CoreHost;
import gladelug.control.core.CoreMember;
import gladelug.control.core.OwnerTasks;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.Envelope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * One control machine of a checked world: the product's CoreNode with its clock, disk and network
 * replaced. What a member sends itself arrives right after the step that sent it.
 *
 * <p>A machine, the process on it where one runs, and its disk.
 */
final class CheckedMachine implements CoreHost {
  private static final long CALL_NUMBERS = 1L << 40;

  final String name;
  private final World world;
  private final int index;
  Address address;
  CheckedDisk disk;
  boolean founder;
  CoreMember node;
  int life;
  private int disks;
  private long clock = 1_000_000;
  private long draws;
  private MemberSet connected = MemberSet.NONE;
  private CoreMessage handled;
  private final ArrayDeque<Runnable> toItself = new ArrayDeque<>();

  /** What happened at this machine during the present step, for people. */
  final List<String> events = new ArrayList<>();

  /** Digest of everything this process was told since it started, and of what it started from. */
  long history;

  CheckedMachine(World world, String name, int index, Address address) {
    this.world = world;
    this.name = name;
    this.index = index;
    this.address = address;
    this.disk = emptyDisk();
  }

  private CheckedDisk emptyDisk() {
    return new CheckedDisk("disk-" + name + ++disks);
  }

  boolean up() {
    return node != null;
  }

  MemberSet.Member member() {
    return new MemberSet.Member(name, disk.id, address, address);
  }

  void start() {
    life++;
    draws = 0;
    connected = MemberSet.NONE;
    history = Mixing.mix(Mixing.mix(index, life), disk.digest());
    BootstrapMembers founding = founder ? new BootstrapMembers(world.founders()) : null;
    node =
        new CoreMember(
            this,
            world.setup.tunables(),
            member(),
            0,
            world.disks.opened(disk),
            founding,
            new OwnerTasks() {});
    handleOwnMessages();
  }

  /** The process ends; the oldest writes are durable, the others are lost. */
  void crash(long keptWrites) {
    if (up()) life++;
    node = null;
    toItself.clear();
    for (long i = 0; i < keptWrites && disk.pending() > 0; i++) durable(disk.syncOldest());
    disk.losePending();
  }

  void wipe() {
    crash(0);
    disk = world.disks.keepsId() ? new CheckedDisk(disk.id) : emptyDisk();
  }

  void advance(long ms) {
    clock += ms;
  }

  /** Runs an event of the process, then all it sent to itself meanwhile. */
  void run(Runnable event) {
    event.run();
    handleOwnMessages();
  }

  void deliver(Envelope e) {
    run(() -> handle(e));
  }

  private void handle(Envelope e) {
    handled = e.message();
    node.onMessage(e);
    handled = null;
  }

  private void handleOwnMessages() {
    while (up() && !toItself.isEmpty()) toItself.poll().run();
  }

  /** The oldest writes become durable, and those who waited for them are told. */
  void sync(long writes) {
    long n = writes == 0 ? disk.pending() : Math.min(writes, disk.pending());
    List<CheckedDisk.Write> written = new ArrayList<>();
    for (long i = 0; i < n; i++) written.add(disk.syncOldest());
    written.forEach(this::durable);
    for (CheckedDisk.Write w : written) run(w.done());
  }

  /** Equal for equal processes with equal disks and writes that wait. */
  long digest() {
    return Mixing.mix(up() ? history : index, disk.digest() + disk.pending());
  }

  void durable(CheckedDisk.Write w) {
    world.rules.durable(this, w);
  }

  // ---- the protocol's host

  @Override
  public long nowMs() {
    return clock;
  }

  @Override
  public long random(long below) {
    long draw = Mixing.mix(Mixing.mix(world.setup.chance(), index * 1009L + life), draws++);
    if (below < CALL_NUMBERS && world.setup.chance() == 0) return 0;
    return Math.floorMod(draw, below);
  }

  @Override
  public long wallClockMs() {
    return 0;
  }

  @Override
  public void send(String member, Envelope m) {
    if (!world.modelled(m.message())) return;
    if (member.equals(name)) {
      sendToItself(m);
      return;
    }
    if (m.message() instanceof CoreMessage.PrepareRequest promise)
      world.rules.asks(this, member, promise);
    MemberSet.Member to = connected.find(member);
    if (to != null) sendTo(to.recordsAddress(), m);
  }

  @Override
  public void sendTo(Address to, Envelope m) {
    if (to.equals(address)) sendToItself(m);
    else world.network.send(this, to, m);
  }

  private void sendToItself(Envelope m) {
    tellItself(world.network.mutated(m));
    world.network.sentToItself(this, m);
  }

  void tellItself(Envelope m) {
    later(() -> handle(m));
  }

  /** Runs it right after the present event. */
  void later(Runnable task) {
    toItself.add(task);
  }

  @Override
  public List<Address> contactAddresses() {
    return world.addresses();
  }

  @Override
  public void sync(String entry, byte[] state, Runnable done) {
    int writer = life;
    Runnable ifAlive =
        () -> {
          if (life == writer && up()) done.run();
        };
    boolean accept = handled instanceof CoreMessage.AcceptRequest;
    world.disks.want(this, handled, new CheckedDisk.Write(entry, state, accept, ifAlive));
  }

  @Override
  public void pushUpdate(String to, StateUpdate update) {}

  @Override
  public void onMembersChanged(MemberSet members) {
    connected = members;
  }

  @Override
  public void logEvent(String what, Object... pairs) {
    if (!world.recordsEvents()) return;
    StringBuilder text = new StringBuilder(what);
    for (int i = 0; i + 1 < pairs.length; i += 2)
      text.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
    events.add(text.toString());
  }
}
