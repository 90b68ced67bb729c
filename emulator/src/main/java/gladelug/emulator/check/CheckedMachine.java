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
 * One control machine of a checked world: its disk and, while a process runs, the production core
 * member with clock, disk and network replaced. Messages that a member sends to itself arrive right
 * after the step that sent them.
 */
final class CheckedMachine implements CoreHost {
  private static final long REQUEST_NUMBER_BOUND = 1L << 40;

  final String name;
  private final CheckedWorld world;
  private final int index;
  Address address;
  CheckedDisk disk;

  /** Whether the machine has a disk; a founder without one votes and is never a member. */
  final boolean hasDisk;

  boolean isFounder;
  CoreMember node;
  int processNumber;
  private int diskCount;
  private long clockMs = 1_000_000;
  private long drawCount;
  private MemberSet connectedMembers = MemberSet.NONE;
  private CoreMessage handledMessage;
  private final ArrayDeque<Runnable> localTasks = new ArrayDeque<>();

  /** Events at this machine during the current step, for step tables. */
  final List<String> events = new ArrayList<>();

  /** Digest of everything this process received since it started, and of its initial state. */
  long history;

  CheckedMachine(CheckedWorld world, String name, int index, Address address) {
    this.world = world;
    this.name = name;
    this.index = index;
    this.address = address;
    this.hasDisk = !world.setup.isWitness(index);
    this.disk = emptyDisk();
  }

  private CheckedDisk emptyDisk() {
    return new CheckedDisk("disk-" + name + ++diskCount);
  }

  boolean isRunning() {
    return node != null;
  }

  MemberSet.Member member() {
    return new MemberSet.Member(name, disk.id, address, address);
  }

  void start() {
    processNumber++;
    drawCount = 0;
    connectedMembers = MemberSet.NONE;
    history = HashMixer.mix(HashMixer.mix(index, processNumber), disk.digest());
    node =
        new CoreMember(
            this,
            world.setup.config(),
            member(),
            0,
            world.disks.entriesAtStart(disk),
            isFounder ? bootstrapMembers() : null,
            new OwnerTasks() {});
    runLocalTasks();
  }

  private BootstrapMembers bootstrapMembers() {
    if (!hasDisk) return BootstrapMembers.ofWitness(world.founders());
    return world.setup.witnessCount() > 0
        ? BootstrapMembers.ofKnownFirstStart(world.founders())
        : new BootstrapMembers(world.founders());
  }

  /**
   * Returns whether the machine may start again: without a disk it would not know that it voted.
   */
  boolean mayRestart() {
    return hasDisk || world.setup.mutation() == Mutation.WITNESS_VOTES_AGAIN;
  }

  /** Ends the process. The oldest pending writes become durable; the others are lost. */
  void crash(long keptWrites) {
    if (isRunning()) processNumber++;
    node = null;
    localTasks.clear();
    for (long i = 0; i < keptWrites && disk.pendingWrites() > 0; i++) onDurable(disk.syncOldest());
    disk.losePending();
  }

  /** Ends the process of a machine without a disk: what it stored is forgotten. */
  void forget() {
    crash(0);
    disk = emptyDisk();
  }

  void replaceDisk() {
    crash(0);
    disk = world.disks.keepsDiskId() ? new CheckedDisk(disk.id) : emptyDisk();
  }

  void advance(long durationMs) {
    clockMs += durationMs;
  }

  /** Runs an event of the process, then everything it sent to itself meanwhile. */
  void run(Runnable event) {
    event.run();
    runLocalTasks();
  }

  void deliver(Envelope envelope) {
    run(() -> handle(envelope));
  }

  private void handle(Envelope envelope) {
    handledMessage = envelope.message();
    node.onMessage(envelope);
    handledMessage = null;
  }

  private void runLocalTasks() {
    while (isRunning() && !localTasks.isEmpty()) localTasks.poll().run();
  }

  /** Makes the oldest pending writes durable, all of them for 0, and runs their completions. */
  void sync(long writes) {
    long count = writes == 0 ? disk.pendingWrites() : Math.min(writes, disk.pendingWrites());
    List<CheckedDisk.Write> written = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      CheckedDisk.Write write = disk.syncOldest();
      written.add(write);
      // before the next write, which may replace what this one stored
      onDurable(write);
    }
    for (CheckedDisk.Write write : written) run(write.done());
  }

  /** Returns a digest that is equal for processes with equal state, disks and pending writes. */
  long digest() {
    return HashMixer.mix(isRunning() ? history : index, disk.digest() + disk.pendingWrites());
  }

  void onDurable(CheckedDisk.Write write) {
    world.rules.onDurable(this, write);
  }

  // ---- CoreHost

  @Override
  public long nowMs() {
    return clockMs;
  }

  @Override
  public long random(long bound) {
    long draw =
        HashMixer.mix(
            HashMixer.mix(world.setup.randomSeed(), index * 1009L + processNumber), drawCount++);
    if (bound < REQUEST_NUMBER_BOUND && world.setup.randomSeed() == 0) return 0;
    return Math.floorMod(draw, bound);
  }

  @Override
  public long wallClockMs() {
    return 0;
  }

  @Override
  public void send(String member, Envelope envelope) {
    if (!world.isModelled(envelope.message())) return;
    if (member.equals(name)) {
      sendLocally(envelope);
      return;
    }
    if (envelope.message() instanceof CoreMessage.PrepareRequest prepare)
      world.rules.onPromiseRequested(this, member, prepare);
    MemberSet.Member recipient = connectedMembers.find(member);
    if (recipient != null) sendTo(recipient.recordsAddress(), envelope);
  }

  @Override
  public void sendTo(Address recipient, Envelope envelope) {
    if (recipient.equals(address)) sendLocally(envelope);
    else world.network.send(this, recipient, envelope);
  }

  private void sendLocally(Envelope envelope) {
    deliverLocally(world.network.applyMutation(envelope));
    world.network.onLocalMessage(this, envelope);
  }

  void deliverLocally(Envelope envelope) {
    runLater(() -> handle(envelope));
  }

  /** Runs the task right after the current event. */
  void runLater(Runnable task) {
    localTasks.add(task);
  }

  @Override
  public List<Address> contactAddresses() {
    return world.addresses();
  }

  @Override
  public void sync(String entry, byte[] state, Runnable done) {
    int writingProcess = processNumber;
    Runnable ifAlive =
        () -> {
          if (processNumber == writingProcess && isRunning()) done.run();
        };
    boolean isAccept = handledMessage instanceof CoreMessage.AcceptRequest;
    world.disks.write(this, handledMessage, new CheckedDisk.Write(entry, state, isAccept, ifAlive));
  }

  @Override
  public void pushUpdate(String recipient, StateUpdate update) {}

  @Override
  public void onMembersChanged(MemberSet members) {
    connectedMembers = members;
  }

  @Override
  public void logEvent(String eventName, Object... pairs) {
    if (!world.recordsEvents()) return;
    StringBuilder text = new StringBuilder(eventName);
    for (int i = 0; i + 1 < pairs.length; i += 2)
      text.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
    events.add(text.toString());
  }
}
