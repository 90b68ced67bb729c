package gladelug.emulator.sim;

import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.common.message.WireRecord;
import gladelug.control.core.OwnerTasks;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import gladelug.data.state.ReplicatedStateView;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A seeded world of control machines and relays run by one queue of events: links lose, delay,
 * repeat and are cut one way or both; machines die, lose power, pause; disks tear, stall, fail and
 * are lost; monotonic clocks drift. While it runs it checks the rules that must never be broken,
 * the strict way: from the moment an operator was told "taken", no relay may start a request on a
 * lower number, whatever happens.
 */
public class Sim {
  private record Event(long at, long nr, Runnable run) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(nr, o.nr);
    }
  }

  public record Sent(
      int nr, String key, long match, String digest, long at, ChangeResult[] answer) {}

  final Random random;
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long time;
  private long nr;
  final Map<String, SimControl> controls = new LinkedHashMap<>();
  final Map<String, SimRelay> relays = new LinkedHashMap<>();
  private final Map<String, Address> addresses = new LinkedHashMap<>();
  private final Set<String> cut = new HashSet<>();

  /** How long after a naming requests may begin on old weights; read as a machine starts. */
  int cutoff = 15_000;

  /** The rule that a test breaks. */
  BrokenRule broken = BrokenRule.NONE;

  /** Whether records go by connections as TCP's, else each finds its own way. */
  boolean connections;

  /** Whether connections that fall silent are begun anew; only a control is without. */
  boolean heartbeats = true;

  /** How often a relay asks, ms. */
  long askEach = 400;

  /** Sees what is sent and written from when it is set. */
  TrafficObserver observer = TrafficObserver.NONE;

  private final SimNetwork network = new SimNetwork(this);

  /** Machines whose cut links answer with resets. */
  private final Set<String> rejecting = new HashSet<>();

  /** What a control machine's link carries, or 0 for any amount at once. */
  int bytesPerMs;

  /** What control machines sent for changes of members while links were narrow. */
  long membershipBytes;

  /** Bytes that each value an operator sends is longer than usual. */
  int padding;

  private final Map<String, Long> linkFree = new HashMap<>();

  public double loss;
  public double repeat;
  final List<String> story = new ArrayList<>();
  public final List<String> violations = new ArrayList<>();
  public final List<Sent> sent = new ArrayList<>();
  private final Map<String, Long> acked = new HashMap<>();

  /** By key and number: when it was acknowledged first. */
  private final Map<String, TreeMap<Long, Long>> ackedAt = new HashMap<>();

  private final Map<Long, MemberSet> generations = new TreeMap<>();
  private final Map<String, Long> stoodBy = new HashMap<>();
  private final List<MemberSet> intents = new ArrayList<>();
  private final Map<String, String> commander = new HashMap<>();
  private final Map<String, Long> commandedAt = new HashMap<>();
  final QuorumConfig tunables;

  /** Machines that left for good. */
  final Set<String> left = new HashSet<>();

  public int reads;
  private final Map<String, Map<Long, String>> meaning = new HashMap<>();
  private int sends;

  public Sim(long seed, int relayCount) {
    this(seed, relayCount, 3, 3, QuorumConfig.DEFAULT);
  }

  /** The first of the machines found the fleet, the others ask to be let in. */
  public Sim(long seed, int relayCount, int machines, int founding, QuorumConfig tunables) {
    this.tunables = tunables;
    random = new Random(seed);
    List<MemberSet.Member> founders = new ArrayList<>();
    for (int i = 1; i <= machines; i++) {
      Address address = new Address("10.0.0." + i, 100);
      addresses.put("c" + i, address);
      if (i <= founding) founders.add(new MemberSet.Member("c" + i, "", address, address));
    }
    for (int i = 1; i <= machines; i++)
      controls.put("c" + i, new SimControl(this, "c" + i, "disk" + i, founders, i <= founding));
    for (int i = 1; i <= relayCount; i++) relays.put("r" + i, new SimRelay(this, "r" + i));
    for (SimControl control : controls.values()) control.start();
    for (SimRelay relay : relays.values()) relay.start();
  }

  long now() {
    return time;
  }

  void after(long ms, Runnable task) {
    queue.add(new Event(time + ms, nr++, task));
  }

  public void run(long ms) {
    long end = time + ms;
    while (!queue.isEmpty() && queue.peek().at <= end) {
      Event e = queue.poll();
      time = e.at;
      e.run.run();
    }
    time = end;
  }

  /** How often an owner found that another had taken its key. */
  int ousted;

  void say(String who, String what) {
    if (what.startsWith("ownership-lost") && what.endsWith("reason=CONFIRMATION_REJECTED"))
      ousted++;
    story.add(String.format("%7d %-3s %s", time, who, what));
  }

  public String story() {
    return String.join("\n", story);
  }

  void violation(String what) {
    say("!!!", what);
    violations.add(time + ": " + what);
  }

  // ---- links

  Address addressOf(String name) {
    return addresses.get(name);
  }

  List<Address> allAddresses() {
    return new ArrayList<>(addresses.values());
  }

  /** A new control machine, up, with an empty disk. */
  public SimControl machine(String name) {
    addresses.put(name, new Address("10.0.1." + addresses.size(), 100));
    SimControl control = new SimControl(this, name, "disk-of-" + name, List.of(), false);
    controls.put(name, control);
    control.start();
    return control;
  }

  String nameOf(Address address) {
    for (Map.Entry<String, Address> e : addresses.entrySet())
      if (e.getValue().equals(address)) return e.getKey();
    return null;
  }

  List<String> controlNames() {
    return new ArrayList<>(controls.keySet());
  }

  public void cut(String from, String to) {
    cut.add(from + ">" + to);
  }

  public void cutOff(String who) {
    for (String x : everybody())
      if (!x.equals(who)) {
        cut(who, x);
        cut(x, who);
      }
  }

  /** Nothing it sends arrives, or else nothing arrives at it. */
  void cutOneWay(String who, boolean out) {
    for (String other : everybody()) {
      if (other.equals(who)) continue;
      if (out) cut(who, other);
      else cut(other, who);
    }
  }

  /** Two sides that hear nothing of each other. */
  public void split(Set<String> side) {
    for (String a : everybody())
      for (String b : everybody()) if (side.contains(a) != side.contains(b)) cut(a, b);
  }

  /** Cut off by something that answers every packet with a reset. */
  void reject(String who) {
    cutOff(who);
    rejecting.add(who);
    network.reset(who);
  }

  boolean rejects(String from, String to) {
    return isCut(from, to) && (rejecting.contains(from) || rejecting.contains(to));
  }

  public void heal(String who) {
    rejecting.remove(who);
    cut.removeIf(text -> text.startsWith(who + ">") || text.endsWith(">" + who));
  }

  public void healAll() {
    rejecting.clear();
    cut.clear();
  }

  List<String> everybody() {
    List<String> l = controlNames();
    l.addAll(others());
    return l;
  }

  void carry(String from, String to, Runnable task) {
    if (cut.contains(from + ">" + to) || random.nextDouble() < loss) return;
    after(delay(), task);
    if (random.nextDouble() < repeat) after(1 + random.nextInt(100), task);
  }

  /** How long a record is on its way. */
  long delay() {
    return 1L + random.nextInt(random.nextInt(20) == 0 ? 60 : 4);
  }

  void core(String from, String to, CoreMessage.Envelope m) {
    byte[] bytes = WireRecord.encode(m);
    if (bytesPerMs == 0) deliver(from, to, m, bytes);
    else {
      if (ofMembers(m.message())) membershipBytes += bytes.length;
      after(queued(from, bytes.length), () -> deliver(from, to, m, bytes));
    }
  }

  private static boolean ofMembers(CoreMessage message) {
    return message instanceof CoreMessage.SealRequest
        || message instanceof CoreMessage.SealResponse
        || message instanceof CoreMessage.Activate;
  }

  /** How long until the last byte has left a machine whose link carries one record at a time. */
  private long queued(String from, int bytes) {
    long start = Math.max(time, linkFree.getOrDefault(from, 0L));
    long end = start + bytes / bytesPerMs;
    linkFree.put(from, end);
    return end - time;
  }

  private void deliver(String from, String to, CoreMessage.Envelope m, byte[] bytes) {
    SimControl control = controls.get(to);
    int life = control.life;
    Runnable received =
        () -> {
          try {
            // a connection ends with the process at its end
            if (control.life == life || connections)
              control.deliver(WireRecord.decode(bytes, CoreMessage.Envelope::read));
          } catch (IOException e) {
            violation("a record that can't be read back: " + m);
          }
        };
    if (connections) network.send(from, to, bytes.length, received);
    else carry(from, to, received);
  }

  // ---- processes, as connections see them

  /** Counts the processes that ran under this name. */
  int life(String who) {
    SimControl control = controls.get(who);
    return control != null ? control.life : relays.get(who).life;
  }

  /** Whether the machine is there and no process listens. */
  boolean refuses(String who) {
    SimControl control = controls.get(who);
    return control != null && !control.up && !control.dark;
  }

  /** Whether the machine has no power. */
  boolean dark(String who) {
    SimControl control = controls.get(who);
    return control != null && control.dark;
  }

  /** Runs in a control machine's process, once it does. */
  void process(String who, Runnable task) {
    controls.get(who).run(task);
  }

  /** A new connection stands. */
  void opened(String from, String to) {
    SimControl control = controls.get(from);
    if (control != null) control.run(() -> control.node.onPeerConnected(to));
    else relays.get(from).connected(to);
  }

  void closeIfSilent(String caller) {
    if (connections) network.closeIfSilent(caller);
  }

  void ask(String relay, String control, StateUpdate.SubscriptionRequest a) {
    observer.sent(time, relay, control, a);
    SimControl c = controls.get(control);
    Runnable received = () -> c.run(() -> c.node.onSubscriptionRequest(a));
    if (connections) network.ask(relay, control, WireRecord.encode(a).length, received);
    else carry(relay, control, received);
  }

  void whole(String relay, String key) {
    for (SimControl control : controls.values()) {
      observer.sent(time, relay, control.name, new StateUpdate.FullValueRequest(key));
      Runnable received = () -> control.run(() -> control.node.onFullValueRequested(relay, key));
      if (connections) network.send(relay, control.name, key.length(), received);
      else carry(relay, control.name, received);
    }
  }

  void news(String control, String relay, StateUpdate update) {
    observer.sent(time, control, relay, update);
    Runnable received = () -> told(relay, update);
    if (connections) network.news(control, relay, received);
    else carry(control, relay, received);
  }

  /** News has reached a data-plane process. */
  void told(String relay, StateUpdate update) {
    SimRelay r = relays.get(relay);
    if (r != null) r.told(update);
  }

  /** Everybody who has links, beside control machines. */
  List<String> others() {
    return new ArrayList<>(relays.keySet());
  }

  /** What a control machine does beside keeping state, each 250 ms while it runs. */
  void duty(SimControl control) {}

  OwnerTasks duties() {
    return new OwnerTasks() {};
  }

  boolean isCut(String from, String to) {
    return cut.contains(from + ">" + to);
  }

  // ---- operators

  /**
   * Sends a value nobody sent before, through the door of one machine. match -1: whatever is there.
   */
  public Sent send(String door, String key, long match) {
    return send(door, key, match, ++sends);
  }

  /** Sends again what was sent before, unchanged, as one does whose answer was lost. */
  public Sent sendAgain(String door, Sent before) {
    return send(door, before.key, before.match, before.nr);
  }

  /** Sends a value that was sent before as a new change on another number. */
  public Sent sendOnAnother(String door, Sent before, long match) {
    return send(door, before.key, match, before.nr);
  }

  private byte[] body(int n) {
    return ("value "
            + n
            + " of what an operator may send, long enough that only the change of it is pushed to whoever has "
            + "the number before, and the rest stays".repeat(3)
            + "x".repeat(padding))
        .getBytes(StandardCharsets.UTF_8);
  }

  private Sent send(String door, String key, long match, int n) {
    byte[] body = body(n);
    ChangeResult[] answer = {null};
    Sent s = new Sent(n, key, match, Digest.hex(body), time, answer);
    sent.add(s);
    controls
        .get(door)
        .propose(
            key,
            match,
            body,
            result -> {
              answer[0] = result;
              say("op", "value " + n + " to " + key + " by " + door + ": " + result);
              if (result instanceof ChangeResult.Acknowledged d) {
                mean(key, d.number(), s.digest, "an answer");
                acked.merge(key, d.number(), Math::max);
                ackedAt.computeIfAbsent(key, k -> new TreeMap<>()).putIfAbsent(d.number(), time);
              }
            });
    return s;
  }

  /** An operator reads the newest value through the door of one machine. */
  public void read(String door, String key) {
    long least = acked.getOrDefault(key, 0L);
    controls
        .get(door)
        .run(
            () ->
                controls
                    .get(door)
                    .node
                    .readNewest(
                        key,
                        x -> {
                          if (!x.hasOwner()) return;
                          reads++;
                          if (x.number() < least)
                            violation(
                                "a read by "
                                    + door
                                    + " of "
                                    + key
                                    + " says "
                                    + x.number()
                                    + " after "
                                    + least);
                          if (x.number() > 0)
                            mean(key, x.number(), x.digest(), "a read by " + door);
                        }));
  }

  // ---- what must never be

  private void mean(String key, long number, String digest, String where) {
    String old = meaning.computeIfAbsent(key, k -> new HashMap<>()).putIfAbsent(number, digest);
    if (old != null && !old.equals(digest))
      violation(key + " " + number + " means two things, the second by " + where);
  }

  void pushed(String relay, StateUpdate.ValuePush p) {
    if (!p.key().equals(StateKeys.CORE))
      mean(p.key(), p.number(), p.digest(), "a push to " + relay);
  }

  void started(SimRelay relay, ReplicatedStateView b) {
    for (String k : StateKeys.LEASED) {
      long a = bound(k);
      if (b.number(k) < a)
        violation(
            relay.name
                + " starts an order under "
                + k
                + " "
                + b.number(k)
                + " after "
                + a
                + " was acknowledged");
    }
    for (String key : new String[] {StateKeys.CONFIGURATION, StateKeys.REPLICAS}) {
      String owner = null;
      for (SimControl control : controls.values()) {
        if (!control.up
            || control.paused
            || !control.node.isInitialized()
            || !control.node.mayCommand(key)) continue;
        if (owner != null) violation(owner + " and " + control.name + " may both command " + key);
        owner = control.name;
      }
      if (owner != null) commands(key, owner);
    }
  }

  /** The lowest number that may be acted on now. */
  private long bound(String key) {
    if (tunables.acknowledgementMode() == QuorumConfig.AcknowledgementMode.STRICT)
      return acked.getOrDefault(key, 0L);
    long a = 0;
    for (Map.Entry<Long, Long> e : ackedAt.getOrDefault(key, new TreeMap<>()).entrySet())
      if (time - e.getValue() > tunables.leaseMs()) a = Math.max(a, e.getKey());
    return a;
  }

  /**
   * Two who command in turn keep apart by what is asked of them, less two in a hundred for clocks.
   */
  private void commands(String key, String who) {
    String last = commander.put(key, who);
    Long at = commandedAt.put(key, time);
    long gap = tunables.commandHandoverGapMs();
    long apart = gap - tunables.commandLeaseMs() - gap / 50;
    if (last != null && !last.equals(who) && time - at < apart)
      violation(who + " commands " + key + " " + (time - at) + " ms after " + last);
  }

  // ---- members

  /** A control machine took these members. */
  void generation(MemberSet members) {
    MemberSet old = generations.putIfAbsent(members.generation(), members);
    if (old != null && !old.equals(members))
      violation("generation " + members.generation() + " has two sets of members");
  }

  /** An owner of the key core began to have the members changed; in: as name/disk. */
  void intended(List<?> out, List<?> in, long generation) {
    MemberSet before = generations.get(generation - 1);
    List<MemberSet.Member> l = new ArrayList<>(before.all());
    l.removeIf(m -> out.contains(m.name()));
    for (Object o : in) {
      String[] x = o.toString().split("/");
      Address address = addressOf(x[0]);
      l.add(new MemberSet.Member(x[0], x[1], address, address));
    }
    intents.add(new MemberSet(generation, l));
  }

  /** The newest members that any machine took. */
  MemberSet newest() {
    MemberSet m = MemberSet.NONE;
    for (MemberSet x : generations.values()) m = x;
    return m;
  }

  /** Whether one disk more may be lost: no set that still counts loses more than it bears. */
  boolean mayLose(String who) {
    MemberSet m = newest();
    int took = 0;
    for (MemberSet.Member x : m.all()) {
      SimControl control = controls.get(x.name());
      if (control.disk.equals(x.diskId()) && control.node.members().generation() == m.generation())
        took++;
    }
    MemberSet before = generations.get(m.generation() - 1);
    for (MemberSet i : intents) if (i.generation() > m.generation() && !bears(i, who)) return false;
    return bears(m, who) && (took > m.all().size() / 2 || before == null || bears(before, who));
  }

  /**
   * Whether a founder other than this one keeps a disk that knows the fleet: else it may be founded
   * twice.
   */
  boolean foundedElsewhere(String who) {
    return controls.values().stream()
        .anyMatch(
            control ->
                control.founder()
                    && !control.name.equals(who)
                    && !left.contains(control.name)
                    && control.node.members().generation() > 0
                    && control.holds());
  }

  private boolean bears(MemberSet members, String who) {
    int lost = members.find(who) == null ? 1 : 0;
    for (MemberSet.Member x : members.all())
      if (x.name().equals(who)
          || left.contains(x.name())
          || !controls.get(x.name()).disk.equals(x.diskId())) lost++;
    // one that stands by may have been chosen for a next set a moment before
    for (Map.Entry<String, Long> e : stoodBy.entrySet()) if (time - e.getValue() < 6000) lost++;
    return lost <= (members.all().size() - 1) / 2;
  }

  /** What a machine had on its disk is gone. */
  void lost(String who) {
    if (newest().find(who) == null) stoodBy.put(who, time);
    say(who, "loses its disk");
  }

  /** The machine is gone for good, with its disk. */
  void leaves(String who) {
    left.add(who);
    lost(who);
    controls.get(who).kill();
    say(who, "leaves for good");
  }

  /**
   * At the end of a story, with everything healed: nothing acknowledged lost, nothing refused
   * taken, all serve again.
   */
  public void settle(long within) {
    Map<String, Long> before = new HashMap<>();
    run(within);
    for (SimRelay relay : relays.values()) if (relay.up) before.put(relay.name, relay.starts);
    run(1000);
    for (SimRelay relay : relays.values())
      if (relay.up && relay.starts - before.get(relay.name) < 100)
        violation(relay.name + " does not serve " + within + " ms after all was well");
    for (String key :
        new String[] {StateKeys.CONFIGURATION, StateKeys.WEIGHTS, StateKeys.REPLICAS}) {
      Map<Long, String> m = meaning.getOrDefault(key, Map.of());
      for (SimRelay relay : relays.values())
        if (relay.up && acked.getOrDefault(key, 0L) > relay.number(key))
          violation(relay.name + " is behind what was acknowledged of " + key);
      for (Sent s : sent) {
        if (!s.key.equals(key)) continue;
        boolean taken = m.containsValue(s.digest);
        ChangeResult result = s.answer[0];
        if (taken
            && (result instanceof ChangeResult.Conflict
                || result instanceof ChangeResult.QueueFull
                || result instanceof ChangeResult.NoOwner))
          violation("value " + s.nr + " was answered " + result + " and was taken");
      }
    }
  }

  public int done() {
    int n = 0;
    for (Sent s : sent) if (s.answer[0] instanceof ChangeResult.Acknowledged) n++;
    return n;
  }

  public long generation() {
    long g = 0;
    for (SimControl control : controls.values())
      if (control.up && control.node.isInitialized())
        g = Math.max(g, control.node.members().generation());
    return g;
  }

  /** All members of the newest generation are up and know it. */
  public boolean whole() {
    long g = generation();
    MemberSet members = null;
    for (SimControl control : controls.values())
      if (control.up && control.node.isInitialized() && control.node.members().generation() == g)
        members = control.node.members();
    if (members == null) return false;
    for (MemberSet.Member x : members.all()) {
      SimControl control = controls.get(x.name());
      if (!control.up
          || control.paused
          || !control.disk.equals(x.diskId())
          || control.node.members().generation() != g
          || control.node.isSealed()) return false;
    }
    return true;
  }

  /** An operator brings a new machine and has it swapped in. */
  public void swap(String out, String in) {
    machine(in);
    for (int i = 0; i < 40; i++) {
      run(100);
      boolean[] begun = {false};
      for (SimControl control : controls.values())
        if (control.up
            && !control.paused
            && control.node.isInitialized()
            && control.node.owns(StateKeys.CORE)
            && control.node.replaceMember(out, in, result -> {}).isEmpty()) begun[0] = true;
      if (begun[0]) return;
    }
  }

  String anyUp() {
    for (SimControl control : controls.values())
      if (control.up && !control.paused) return control.name;
    return "c1";
  }

  public String owner(String key) {
    String o = "";
    for (SimControl control : controls.values())
      if (control.up && control.node.isInitialized() && control.node.owns(key))
        o = o + control.name;
    return o;
  }
}
