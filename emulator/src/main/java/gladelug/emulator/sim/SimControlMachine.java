package gladelug.emulator.sim;

import gladelug.common.Address;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.BootstrapMembers;
import gladelug.control.core.CoreHost;
import gladelug.control.core.CoreMember;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One simulated control machine: the production core member with its clock, disk and links
 * replaced. It can be killed, lose power, pause, or run with a clock that drifts.
 */
final class SimControlMachine implements CoreHost {
  final String name;
  String diskId;
  private final Simulation sim;
  final SimDisk storage;
  private final List<MemberSet.Member> founders;
  private boolean isFounder;
  private boolean diskReplaced;
  CoreMember node;
  boolean up;
  boolean paused;

  /** Whether the machine has no power. */
  boolean poweredOff;

  int processNumber;
  double clockRate = 1;
  private long rateSinceMs;
  private long clockBaseMs;
  private final Random wallClockRandom = new Random(7);
  private final ArrayDeque<Runnable> heldTasks = new ArrayDeque<>();
  String startFailure = "";

  SimControlMachine(
      Simulation sim,
      String name,
      String diskId,
      List<MemberSet.Member> founders,
      boolean isFounder) {
    this.sim = sim;
    this.name = name;
    this.diskId = diskId;
    this.founders = founders;
    this.isFounder = isFounder;
    this.storage = new SimDisk(sim.random);
  }

  boolean isFounder() {
    return isFounder;
  }

  /** Returns whether the disk is the one that the last process used. */
  boolean hasOriginalDisk() {
    return !diskReplaced;
  }

  Address address() {
    return sim.addressOf(name);
  }

  void start() {
    up = true;
    poweredOff = false;
    paused = false;
    diskReplaced = false;
    startFailure = "";
    processNumber++;
    heldTasks.clear();
    Map<String, byte[]> entries;
    try {
      entries = storage.open();
    } catch (IOException exception) {
      up = false;
      startFailure = exception.getMessage();
      sim.log(name, "does not start: " + startFailure);
      return;
    }
    node =
        new CoreMember(
            this,
            sim.config,
            new MemberSet.Member(name, diskId, address(), address()),
            sim.weightCutoffMs,
            entries,
            isFounder ? new BootstrapMembers(founders) : null,
            sim.ownerTasks());
    tick(processNumber);
    probeDisk(processNumber);
    int ownProcess = processNumber;
    sim.after(250, () -> runDuties(ownProcess));
  }

  private void probeDisk(int ownProcess) {
    if (ownProcess != processNumber) return;
    run(() -> storage.enqueue("", new byte[0], () -> {}, sim, this));
    sim.after(1000, () -> probeDisk(ownProcess));
  }

  private void runDuties(int ownProcess) {
    if (ownProcess != processNumber) return;
    run(() -> sim.runDuties(this));
    sim.after(250, () -> runDuties(ownProcess));
  }

  private void tick(int ownProcess) {
    if (ownProcess != processNumber) return;
    run(
        () -> {
          node.updateDiskHealth(storage.stalledForMs(sim.nowMs()) < 400);
          node.tick();
          sim.closeIfSilent(name);
        });
    sim.after(25, () -> tick(ownProcess));
  }

  void kill() {
    up = false;
    processNumber++;
    storage.processEnded();
  }

  /**
   * Asks the process to stop: it ends once that is safe, at the latest when its drain timeout
   * expires.
   */
  void terminate() {
    int ownProcess = processNumber;
    run(() -> node.startDraining());
    sim.after(sim.config.drainTimeoutMs(), () -> stopProcess(ownProcess, "drain timeout expired"));
    stopWhenSafe(ownProcess);
  }

  private void stopWhenSafe(int ownProcess) {
    if (ownProcess != processNumber) return;
    run(
        () -> {
          if (node.isSafeToStop()) stopProcess(ownProcess, "safe to stop");
        });
    sim.after(50, () -> stopWhenSafe(ownProcess));
  }

  private void stopProcess(int ownProcess, String reason) {
    if (ownProcess != processNumber || paused) return;
    sim.log(name, "ends: " + reason);
    kill();
  }

  void cutPower() {
    poweredOff = true;
    storage.cutPower();
    kill();
  }

  void onDiskFailed() {
    sim.log(name, "disk failed, process stops");
    kill();
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    while (!heldTasks.isEmpty() && !paused) run(heldTasks.poll());
  }

  void setClockRate(double rate) {
    clockBaseMs = nowMs();
    rateSinceMs = sim.nowMs();
    clockRate = rate;
  }

  /** Moves the monotonic clock forward. */
  void stepClock(long offsetMs) {
    clockBaseMs = nowMs() + offsetMs;
    rateSinceMs = sim.nowMs();
  }

  /** Runs the task now, or when the pause ends, unless its process has ended. */
  void run(Runnable task) {
    if (!up) return;
    if (paused) {
      if (heldTasks.size() < 5000) heldTasks.add(task);
    } else task.run();
  }

  void deliver(CoreMessage.Envelope envelope) {
    int ownProcess = processNumber;
    run(
        () -> {
          if (ownProcess == processNumber) node.onMessage(envelope);
        });
  }

  void propose(String key, long requiredNumber, byte[] body, Consumer<ChangeResult> answer) {
    ChangeRequest request =
        sim.brokenRule == BrokenRule.TAKEN_CHANGES_REMEMBERED
            ? ChangeRequest.withoutBase(key, requiredNumber, body)
            : ChangeRequest.basedOnNumber(key, requiredNumber, body);
    run(() -> node.change(request, answer));
  }

  @Override
  public long nowMs() {
    return clockBaseMs + (long) ((sim.nowMs() - rateSinceMs) * clockRate);
  }

  @Override
  public long random(long bound) {
    return (long) (sim.random.nextDouble() * bound);
  }

  /** Returns random times: the protocol must not depend on the wall clock. */
  @Override
  public long wallClockMs() {
    return wallClockRandom.nextLong();
  }

  @Override
  public void send(String member, CoreMessage.Envelope envelope) {
    sim.observer.sent(sim.nowMs(), name, member, envelope);
    if (!member.equals(name)) {
      if (!sim.brokenRule.sendsOnlyToSelf(envelope.message()))
        sim.sendCoreMessage(name, member, envelope);
      else if (member.equals(firstOther())) sim.after(0, () -> deliver(envelope));
      return;
    }
    sim.after(0, () -> deliver(envelope));
    if (!sim.brokenRule.countsForAllMembers(envelope.message())) return;
    for (MemberSet.Member other : node.members().all())
      if (!other.name().equals(name)) sim.after(0, () -> deliver(withSender(other, envelope)));
  }

  private String firstOther() {
    for (MemberSet.Member other : node.members().all())
      if (!other.name().equals(name)) return other.name();
    return "";
  }

  private static CoreMessage.Envelope withSender(
      MemberSet.Member other, CoreMessage.Envelope envelope) {
    return new CoreMessage.Envelope(
        envelope.generation(), other.name(), other.diskId(), envelope.message());
  }

  @Override
  public void sendTo(Address address, CoreMessage.Envelope envelope) {
    String receiver = sim.nameOf(address);
    sim.observer.sent(sim.nowMs(), name, address.toString(), envelope);
    if (receiver != null) sim.sendCoreMessage(name, receiver, envelope);
  }

  @Override
  public List<Address> contactAddresses() {
    return sim.allAddresses();
  }

  /** Replaces the disk by an empty one; the machine can then only ask to join. */
  void replaceDisk(String newDisk) {
    replaceDiskOfFounder(newDisk);
    isFounder = false;
  }

  /**
   * Replaces the disk by an empty one but keeps the list of founders that the machine was first
   * started with.
   */
  void replaceDiskOfFounder(String newDisk) {
    kill();
    storage.wipe();
    if (sim.brokenRule != BrokenRule.EMPTY_DISK_IS_ANOTHER) diskId = newDisk;
    diskReplaced = true;
  }

  @Override
  public void sync(String key, byte[] state, Runnable done) {
    sim.observer.written(sim.nowMs(), name, key, state);
    if (sim.brokenRule == BrokenRule.DURABLE_BEFORE_ANSWERED) {
      storage.enqueue(key, state, () -> {}, sim, this);
      sim.after(0, done);
      return;
    }
    int ownProcess = processNumber;
    storage.enqueue(
        key,
        state,
        () -> {
          if (ownProcess == processNumber) done.run();
        },
        sim,
        this);
  }

  @Override
  public void pushUpdate(String to, StateUpdate update) {
    sim.pushUpdate(name, to, update);
  }

  @Override
  public void onMembersChanged(MemberSet members) {
    sim.log(name, "members generation " + members.generation());
    sim.onGeneration(members);
  }

  @Override
  public void logEvent(String event, Object... pairs) {
    if (event.equals("membership-change"))
      sim.onMembershipChange((List<?>) pairs[3], (List<?>) pairs[5], (Long) pairs[7]);
    StringBuilder builder = new StringBuilder(event);
    for (int i = 0; i + 1 < pairs.length; i += 2)
      builder.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
    sim.log(name, builder.toString());
  }
}
