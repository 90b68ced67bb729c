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
 * One control machine in the simulator: the product's CoreNode with its clock, disk and links
 * replaced. It can be killed, lose power, pause, or have its clock run a little fast or slow.
 */
final class SimControl implements CoreHost {
  final String name;
  String disk;
  private final Sim sim;
  final SimDisk medium;
  private final List<MemberSet.Member> founders;
  private boolean founded;
  private boolean emptied;
  CoreMember node;
  boolean up;
  boolean paused;

  /** The machine has no power. */
  boolean dark;

  int life;
  double rate = 1;
  private long rateSince;
  private long base;
  private final Random jumps = new Random(7);
  private final ArrayDeque<Runnable> held = new ArrayDeque<>();
  String died = "";

  SimControl(Sim sim, String name, String disk, List<MemberSet.Member> founders, boolean founded) {
    this.sim = sim;
    this.name = name;
    this.disk = disk;
    this.founders = founders;
    this.founded = founded;
    this.medium = new SimDisk(sim.random);
  }

  boolean founder() {
    return founded;
  }

  /** Whether its disk is the one the process that ran last had. */
  boolean holds() {
    return !emptied;
  }

  Address address() {
    return sim.addressOf(name);
  }

  void start() {
    up = true;
    dark = false;
    paused = false;
    emptied = false;
    died = "";
    life++;
    held.clear();
    Map<String, byte[]> live;
    try {
      live = medium.open();
    } catch (IOException e) {
      up = false;
      died = e.getMessage();
      sim.say(name, "will not start: " + died);
      return;
    }
    node =
        new CoreMember(
            this,
            sim.tunables,
            new MemberSet.Member(name, disk, address(), address()),
            sim.cutoff,
            live,
            founded ? new BootstrapMembers(founders) : null,
            sim.duties());
    tick(life);
    probe(life);
    int l = life;
    sim.after(250, () -> duty(l));
  }

  private void probe(int l) {
    if (l != life) return;
    run(() -> medium.want("", new byte[0], () -> {}, sim, this));
    sim.after(1000, () -> probe(l));
  }

  private void duty(int l) {
    if (l != life) return;
    run(() -> sim.duty(this));
    sim.after(250, () -> duty(l));
  }

  private void tick(int l) {
    if (l != life) return;
    run(
        () -> {
          node.updateDiskHealth(medium.stalledFor(sim.now()) < 400);
          node.tick();
          sim.closeIfSilent(name);
        });
    sim.after(25, () -> tick(l));
  }

  void kill() {
    up = false;
    life++;
    medium.processEnded();
  }

  /** The process is asked to stop and ends once it may, or when its time to leave is over. */
  void terminate() {
    int l = life;
    run(() -> node.startDraining());
    sim.after(sim.tunables.drainTimeoutMs(), () -> ends(l, "its time is over"));
    endsOnceDispensable(l);
  }

  private void endsOnceDispensable(int l) {
    if (l != life) return;
    run(
        () -> {
          if (node.isSafeToStop()) ends(l, "the others can do without it");
        });
    sim.after(50, () -> endsOnceDispensable(l));
  }

  private void ends(int l, String why) {
    if (l != life || paused) return;
    sim.say(name, "ends: " + why);
    kill();
  }

  void power() {
    dark = true;
    medium.power();
    kill();
  }

  void diskFailed() {
    sim.say(name, "disk failed, stops");
    kill();
  }

  void pause() {
    paused = true;
  }

  void wake() {
    paused = false;
    while (!held.isEmpty() && !paused) run(held.poll());
  }

  void rate(double r) {
    base = nowMs();
    rateSince = sim.now();
    rate = r;
  }

  /** The monotonic clock goes on from so many milliseconds later. */
  void stepClock(long ms) {
    base = nowMs() + ms;
    rateSince = sim.now();
  }

  /** Runs now, or when the pause is over, unless the process it was meant for is gone. */
  void run(Runnable task) {
    if (!up) return;
    if (paused) {
      if (held.size() < 5000) held.add(task);
    } else task.run();
  }

  void deliver(CoreMessage.Envelope e) {
    int l = life;
    run(
        () -> {
          if (l == life) node.onMessage(e);
        });
  }

  void propose(String key, long match, byte[] body, Consumer<ChangeResult> answer) {
    ChangeRequest request =
        sim.broken == BrokenRule.TAKEN_CHANGES_REMEMBERED
            ? ChangeRequest.withoutBase(key, match, body)
            : ChangeRequest.basedOnNumber(key, match, body);
    run(() -> node.change(request, answer));
  }

  @Override
  public long nowMs() {
    return base + (long) ((sim.now() - rateSince) * rate);
  }

  @Override
  public long random(long below) {
    return (long) (sim.random.nextDouble() * below);
  }

  /** Jumps about; nothing may come of it. */
  @Override
  public long wallClockMs() {
    return jumps.nextLong();
  }

  @Override
  public void send(String member, CoreMessage.Envelope m) {
    sim.observer.sent(sim.now(), name, member, m);
    if (!member.equals(name)) {
      if (!sim.broken.asksItselfAlone(m.message())) sim.core(name, member, m);
      else if (member.equals(firstOther())) sim.after(0, () -> deliver(m));
      return;
    }
    sim.after(0, () -> deliver(m));
    if (!sim.broken.speaksForAll(m.message())) return;
    for (MemberSet.Member other : node.members().all())
      if (!other.name().equals(name)) sim.after(0, () -> deliver(asSaidBy(other, m)));
  }

  private String firstOther() {
    for (MemberSet.Member other : node.members().all())
      if (!other.name().equals(name)) return other.name();
    return "";
  }

  private static CoreMessage.Envelope asSaidBy(MemberSet.Member other, CoreMessage.Envelope m) {
    return new CoreMessage.Envelope(m.generation(), other.name(), other.diskId(), m.message());
  }

  @Override
  public void sendTo(Address address, CoreMessage.Envelope m) {
    String n = sim.nameOf(address);
    sim.observer.sent(sim.now(), name, address.toString(), m);
    if (n != null) sim.core(name, n, m);
  }

  @Override
  public List<Address> contactAddresses() {
    return sim.allAddresses();
  }

  /** The machine comes back with an empty disk: it can only join. */
  void empty(String newDisk) {
    emptyFounder(newDisk);
    founded = false;
  }

  /** The machine comes back with an empty disk and what it was started with the first time. */
  void emptyFounder(String newDisk) {
    kill();
    medium.wipe();
    if (sim.broken != BrokenRule.EMPTY_DISK_IS_ANOTHER) disk = newDisk;
    emptied = true;
  }

  @Override
  public void sync(String key, byte[] state, Runnable done) {
    sim.observer.written(sim.now(), name, key, state);
    if (sim.broken == BrokenRule.DURABLE_BEFORE_ANSWERED) {
      medium.want(key, state, () -> {}, sim, this);
      sim.after(0, done);
      return;
    }
    int l = life;
    medium.want(
        key,
        state,
        () -> {
          if (l == life) done.run();
        },
        sim,
        this);
  }

  @Override
  public void pushUpdate(String to, StateUpdate update) {
    sim.news(name, to, update);
  }

  @Override
  public void onMembersChanged(MemberSet members) {
    sim.say(name, "members generation " + members.generation());
    sim.generation(members);
  }

  @Override
  public void logEvent(String what, Object... pairs) {
    if (what.equals("membership-change"))
      sim.intended((List<?>) pairs[3], (List<?>) pairs[5], (Long) pairs[7]);
    StringBuilder builder = new StringBuilder(what);
    for (int i = 0; i + 1 < pairs.length; i += 2)
      builder.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
    sim.say(name, builder.toString());
  }
}
