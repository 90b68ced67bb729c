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
public class Simulation {
  private record Event(long atMs, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event owners) {
      return atMs != owners.atMs
          ? Long.compare(atMs, owners.atMs)
          : Long.compare(sequence, owners.sequence);
    }
  }

  public record SentChange(
      int valueNumber,
      String key,
      long requiredNumber,
      String digest,
      long sentAtMs,
      ChangeResult[] answer) {}

  final Random random;
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long clockMs;
  private long nextSequence;
  final Map<String, SimControlMachine> controls = new LinkedHashMap<>();
  final Map<String, SimRelay> relays = new LinkedHashMap<>();
  private final Map<String, Address> addresses = new LinkedHashMap<>();
  private final Set<String> cutLinks = new HashSet<>();

  /** How long after a naming requests may begin on old weights; read as a machine starts. */
  int weightCutoffMs = 15_000;

  /** The rule that a test breaks. */
  BrokenRule brokenRule = BrokenRule.NONE;

  /** Whether records go by connections as TCP's, else each finds its own way. */
  boolean usesConnections;

  /** Whether connections that fall silent are begun anew; only a control is without. */
  boolean usesHeartbeats = true;

  /** How often a relay asks, ms. */
  long subscriptionIntervalMs = 400;

  /** Sees what is sent and written from when it is set. */
  TrafficObserver observer = TrafficObserver.NONE;

  private final SimNetwork network = new SimNetwork(this);

  /** Machines whose cut links answer with resets. */
  private final Set<String> resettingMachines = new HashSet<>();

  /** What a control machine's link carries, or 0 for any amount at once. */
  int bytesPerMs;

  /** What control machines sent for changes of members while links were narrow. */
  long membershipBytes;

  /** Bytes that each value an operator sends is longer than usual. */
  int paddingBytes;

  private final Map<String, Long> linkFreeAtMs = new HashMap<>();

  public double lossRate;
  public double duplicateRate;
  final List<String> eventLog = new ArrayList<>();
  public final List<String> violations = new ArrayList<>();
  public final List<SentChange> sentChanges = new ArrayList<>();
  private final Map<String, Long> acknowledgedNumbers = new HashMap<>();

  /** By key and number: when it was acknowledged first. */
  private final Map<String, TreeMap<Long, Long>> acknowledgedAtMs = new HashMap<>();

  private final Map<Long, MemberSet> generations = new TreeMap<>();
  private final Map<String, Long> standbyLostAtMs = new HashMap<>();
  private final List<MemberSet> proposedMembers = new ArrayList<>();
  private final Map<String, String> lastCommander = new HashMap<>();
  private final Map<String, Long> lastCommandAtMs = new HashMap<>();
  final QuorumConfig config;

  /** Machines that left for good. */
  final Set<String> departed = new HashSet<>();

  public int readCount;
  private final Map<String, Map<Long, String>> digestsByNumber = new HashMap<>();
  private int sentValueCount;

  public Simulation(long seed, int relayCount) {
    this(seed, relayCount, 3, 3, QuorumConfig.DEFAULT);
  }

  /** The first of the machines found the fleet, the others ask to be let in. */
  public Simulation(
      long seed, int relayCount, int machineCount, int founderCount, QuorumConfig config) {
    this.config = config;
    random = new Random(seed);
    List<MemberSet.Member> founders = new ArrayList<>();
    for (int i = 1; i <= machineCount; i++) {
      Address address = new Address("10.0.0." + i, 100);
      addresses.put("c" + i, address);
      if (i <= founderCount) founders.add(new MemberSet.Member("c" + i, "", address, address));
    }
    for (int i = 1; i <= machineCount; i++)
      controls.put(
          "c" + i, new SimControlMachine(this, "c" + i, "disk" + i, founders, i <= founderCount));
    for (int i = 1; i <= relayCount; i++) relays.put("r" + i, new SimRelay(this, "r" + i));
    for (SimControlMachine control : controls.values()) control.start();
    for (SimRelay relay : relays.values()) relay.start();
  }

  long nowMs() {
    return clockMs;
  }

  void after(long durationMs, Runnable task) {
    queue.add(new Event(clockMs + durationMs, nextSequence++, task));
  }

  public void run(long durationMs) {
    long end = clockMs + durationMs;
    while (!queue.isEmpty() && queue.peek().atMs <= end) {
      Event event = queue.poll();
      clockMs = event.atMs;
      event.task.run();
    }
    clockMs = end;
  }

  /** How often an owner found that another had taken its key. */
  int lostOwnerships;

  void log(String name, String text) {
    if (text.startsWith("ownership-lost") && text.endsWith("reason=CONFIRMATION_REJECTED"))
      lostOwnerships++;
    eventLog.add(String.format("%7d %-3s %s", clockMs, name, text));
  }

  public String eventLogText() {
    return String.join("\n", eventLog);
  }

  void violation(String text) {
    log("!!!", text);
    violations.add(clockMs + ": " + text);
  }

  // ---- links

  Address addressOf(String name) {
    return addresses.get(name);
  }

  List<Address> allAddresses() {
    return new ArrayList<>(addresses.values());
  }

  /** A new control machine, up, with an empty disk. */
  public SimControlMachine addMachine(String name) {
    addresses.put(name, new Address("10.0.1." + addresses.size(), 100));
    SimControlMachine control =
        new SimControlMachine(this, name, "disk-of-" + name, List.of(), false);
    controls.put(name, control);
    control.start();
    return control;
  }

  String nameOf(Address address) {
    for (Map.Entry<String, Address> event : addresses.entrySet())
      if (event.getValue().equals(address)) return event.getKey();
    return null;
  }

  List<String> controlNames() {
    return new ArrayList<>(controls.keySet());
  }

  public void cutLink(String from, String to) {
    cutLinks.add(from + ">" + to);
  }

  public void cutOff(String name) {
    for (String other : allNames())
      if (!other.equals(name)) {
        cutLink(name, other);
        cutLink(other, name);
      }
  }

  /** Nothing it sends arrives, or else nothing arrives at it. */
  void cutOneWay(String name, boolean leaving) {
    for (String other : allNames()) {
      if (other.equals(name)) continue;
      if (leaving) cutLink(name, other);
      else cutLink(other, name);
    }
  }

  /** Two sides that hear nothing of each other. */
  public void split(Set<String> side) {
    for (String request : allNames())
      for (String b : allNames())
        if (side.contains(request) != side.contains(b)) cutLink(request, b);
  }

  /** Cut off by something that answers every packet with a reset. */
  void cutWithResets(String name) {
    cutOff(name);
    resettingMachines.add(name);
    network.resetAll(name);
  }

  boolean answersWithResets(String from, String to) {
    return isCut(from, to) && (resettingMachines.contains(from) || resettingMachines.contains(to));
  }

  public void heal(String name) {
    resettingMachines.remove(name);
    cutLinks.removeIf(text -> text.startsWith(name + ">") || text.endsWith(">" + name));
  }

  public void healAll() {
    resettingMachines.clear();
    cutLinks.clear();
  }

  List<String> allNames() {
    List<String> names = controlNames();
    names.addAll(dataPlaneNames());
    return names;
  }

  void transmit(String from, String to, Runnable task) {
    if (cutLinks.contains(from + ">" + to) || random.nextDouble() < lossRate) return;
    after(linkDelayMs(), task);
    if (random.nextDouble() < duplicateRate) after(1 + random.nextInt(100), task);
  }

  /** How long a record is on its way. */
  long linkDelayMs() {
    return 1L + random.nextInt(random.nextInt(20) == 0 ? 60 : 4);
  }

  void sendCoreMessage(String from, String to, CoreMessage.Envelope message) {
    byte[] bytes = WireRecord.encode(message);
    if (bytesPerMs == 0) deliver(from, to, message, bytes);
    else {
      if (isMembershipMessage(message.message())) membershipBytes += bytes.length;
      after(transmissionMs(from, bytes.length), () -> deliver(from, to, message, bytes));
    }
  }

  private static boolean isMembershipMessage(CoreMessage message) {
    return message instanceof CoreMessage.SealRequest
        || message instanceof CoreMessage.SealResponse
        || message instanceof CoreMessage.Activate;
  }

  /** How long until the last byte has left a machine whose link carries one record at a time. */
  private long transmissionMs(String from, int bytes) {
    long start = Math.max(clockMs, linkFreeAtMs.getOrDefault(from, 0L));
    long end = start + bytes / bytesPerMs;
    linkFreeAtMs.put(from, end);
    return end - clockMs;
  }

  private void deliver(String from, String to, CoreMessage.Envelope message, byte[] bytes) {
    SimControlMachine control = controls.get(to);
    int processNumber = control.processNumber;
    Runnable received =
        () -> {
          try {
            // a connection ends with the process at its end
            if (control.processNumber == processNumber || usesConnections)
              control.deliver(WireRecord.decode(bytes, CoreMessage.Envelope::read));
          } catch (IOException event) {
            violation("a record that can't be read back: " + message);
          }
        };
    if (usesConnections) network.send(from, to, bytes.length, received);
    else transmit(from, to, received);
  }

  // ---- processes, as connections see them

  /** Counts the processes that ran under this name. */
  int processNumber(String name) {
    SimControlMachine control = controls.get(name);
    return control != null ? control.processNumber : relays.get(name).processNumber;
  }

  /** Whether the machine is there and no process listens. */
  boolean refusesConnections(String name) {
    SimControlMachine control = controls.get(name);
    return control != null && !control.up && !control.poweredOff;
  }

  /** Whether the machine has no power. */
  boolean isPoweredOff(String name) {
    SimControlMachine control = controls.get(name);
    return control != null && control.poweredOff;
  }

  /** Runs in a control machine's process, once it does. */
  void runInProcess(String name, Runnable task) {
    controls.get(name).run(task);
  }

  /** A new connection stands. */
  void onConnectionOpened(String from, String to) {
    SimControlMachine control = controls.get(from);
    if (control != null) control.run(() -> control.node.onPeerConnected(to));
    else relays.get(from).onConnected(to);
  }

  void closeIfSilent(String caller) {
    if (usesConnections) network.closeIfSilent(caller);
  }

  void sendSubscriptionRequest(
      String relay, String control, StateUpdate.SubscriptionRequest request) {
    observer.sent(clockMs, relay, control, request);
    SimControlMachine c = controls.get(control);
    Runnable received = () -> c.run(() -> c.node.onSubscriptionRequest(request));
    if (usesConnections)
      network.subscribe(relay, control, WireRecord.encode(request).length, received);
    else transmit(relay, control, received);
  }

  void requestFullValue(String relay, String key) {
    for (SimControlMachine control : controls.values()) {
      observer.sent(clockMs, relay, control.name, new StateUpdate.FullValueRequest(key));
      Runnable received = () -> control.run(() -> control.node.onFullValueRequested(relay, key));
      if (usesConnections) network.send(relay, control.name, key.length(), received);
      else transmit(relay, control.name, received);
    }
  }

  void pushUpdate(String control, String relay, StateUpdate update) {
    observer.sent(clockMs, control, relay, update);
    Runnable received = () -> onUpdate(relay, update);
    if (usesConnections) network.pushUpdate(control, relay, received);
    else transmit(control, relay, received);
  }

  /** News has reached a data-plane process. */
  void onUpdate(String relay, StateUpdate update) {
    SimRelay r = relays.get(relay);
    if (r != null) r.onUpdate(update);
  }

  /** Everybody who has links, beside control machines. */
  List<String> dataPlaneNames() {
    return new ArrayList<>(relays.keySet());
  }

  /** What a control machine does beside keeping state, each 250 ms while it runs. */
  void runDuties(SimControlMachine control) {}

  OwnerTasks ownerTasks() {
    return new OwnerTasks() {};
  }

  boolean isCut(String from, String to) {
    return cutLinks.contains(from + ">" + to);
  }

  // ---- operators

  /**
   * Sends a value nobody sent before, through the door of one machine. match -1: whatever is there.
   */
  public SentChange send(String member, String key, long requiredNumber) {
    return send(member, key, requiredNumber, ++sentValueCount);
  }

  /** Sends again what was sent before, unchanged, as one does whose answer was lost. */
  public SentChange sendAgain(String member, SentChange before) {
    return send(member, before.key, before.requiredNumber, before.valueNumber);
  }

  /** Sends a value that was sent before as a new change on another number. */
  public SentChange sendAsNewChange(String member, SentChange before, long requiredNumber) {
    return send(member, before.key, requiredNumber, before.valueNumber);
  }

  private byte[] valueBody(int valueNumber) {
    return ("value "
            + valueNumber
            + " of what an operator may send, long enough that only the change of it is pushed to whoever has "
            + "the number before, and the rest stays".repeat(3)
            + "x".repeat(paddingBytes))
        .getBytes(StandardCharsets.UTF_8);
  }

  private SentChange send(String member, String key, long requiredNumber, int valueNumber) {
    byte[] body = valueBody(valueNumber);
    ChangeResult[] answer = {null};
    SentChange sentChange =
        new SentChange(valueNumber, key, requiredNumber, Digest.hex(body), clockMs, answer);
    sentChanges.add(sentChange);
    controls
        .get(member)
        .propose(
            key,
            requiredNumber,
            body,
            result -> {
              answer[0] = result;
              log("op", "value " + valueNumber + " to " + key + " by " + member + ": " + result);
              if (result instanceof ChangeResult.Acknowledged acknowledged) {
                recordDigest(key, acknowledged.number(), sentChange.digest, "an answer");
                acknowledgedNumbers.merge(key, acknowledged.number(), Math::max);
                acknowledgedAtMs
                    .computeIfAbsent(key, leasedKey -> new TreeMap<>())
                    .putIfAbsent(acknowledged.number(), clockMs);
              }
            });
    return sentChange;
  }

  /** An operator reads the newest value through the door of one machine. */
  public void read(String member, String key) {
    long minNumber = acknowledgedNumbers.getOrDefault(key, 0L);
    controls
        .get(member)
        .run(
            () ->
                controls
                    .get(member)
                    .node
                    .readNewest(
                        key,
                        other -> {
                          if (!other.hasOwner()) return;
                          readCount++;
                          if (other.number() < minNumber)
                            violation(
                                "a read by "
                                    + member
                                    + " of "
                                    + key
                                    + " says "
                                    + other.number()
                                    + " after "
                                    + minNumber);
                          if (other.number() > 0)
                            recordDigest(
                                key, other.number(), other.digest(), "a read by " + member);
                        }));
  }

  // ---- what must never be

  private void recordDigest(String key, long number, String digest, String where) {
    String earlier =
        digestsByNumber
            .computeIfAbsent(key, leasedKey -> new HashMap<>())
            .putIfAbsent(number, digest);
    if (earlier != null && !earlier.equals(digest))
      violation(key + " " + number + " means two things, the second by " + where);
  }

  void onValuePushed(String relay, StateUpdate.ValuePush p) {
    if (!p.key().equals(StateKeys.CORE))
      recordDigest(p.key(), p.number(), p.digest(), "a push to " + relay);
  }

  void onRequestStarted(SimRelay relay, ReplicatedStateView b) {
    for (String leasedKey : StateKeys.LEASED) {
      long request = lowestAllowedNumber(leasedKey);
      if (b.number(leasedKey) < request)
        violation(
            relay.name
                + " starts an order under "
                + leasedKey
                + " "
                + b.number(leasedKey)
                + " after "
                + request
                + " was acknowledged");
    }
    for (String key : new String[] {StateKeys.CONFIGURATION, StateKeys.REPLICAS}) {
      String owner = null;
      for (SimControlMachine control : controls.values()) {
        if (!control.up
            || control.paused
            || !control.node.isInitialized()
            || !control.node.mayCommand(key)) continue;
        if (owner != null) violation(owner + " and " + control.name + " may both command " + key);
        owner = control.name;
      }
      if (owner != null) recordCommand(key, owner);
    }
  }

  /** The lowest number that may be acted on now. */
  private long lowestAllowedNumber(String key) {
    if (config.acknowledgementMode() == QuorumConfig.AcknowledgementMode.STRICT)
      return acknowledgedNumbers.getOrDefault(key, 0L);
    long request = 0;
    for (Map.Entry<Long, Long> event :
        acknowledgedAtMs.getOrDefault(key, new TreeMap<>()).entrySet())
      if (clockMs - event.getValue() > config.leaseMs())
        request = Math.max(request, event.getKey());
    return request;
  }

  /**
   * Two who command in turn keep apart by what is asked of them, less two in a hundred for clocks.
   */
  private void recordCommand(String key, String name) {
    String last = lastCommander.put(key, name);
    Long at = lastCommandAtMs.put(key, clockMs);
    long gap = config.commandHandoverGapMs();
    long apart = gap - config.commandLeaseMs() - gap / 50;
    if (last != null && !last.equals(name) && clockMs - at < apart)
      violation(name + " commands " + key + " " + (clockMs - at) + " ms after " + last);
  }

  // ---- members

  /** A control machine took these members. */
  void onGeneration(MemberSet members) {
    MemberSet earlier = generations.putIfAbsent(members.generation(), members);
    if (earlier != null && !earlier.equals(members))
      violation("generation " + members.generation() + " has two sets of members");
  }

  /** An owner of the key core began to have the members changed; in: as name/disk. */
  void onMembershipChange(List<?> leaving, List<?> joining, long generation) {
    MemberSet before = generations.get(generation - 1);
    List<MemberSet.Member> names = new ArrayList<>(before.all());
    names.removeIf(message -> leaving.contains(message.name()));
    for (Object owners : joining) {
      String[] other = owners.toString().split("/");
      Address address = addressOf(other[0]);
      names.add(new MemberSet.Member(other[0], other[1], address, address));
    }
    proposedMembers.add(new MemberSet(generation, names));
  }

  /** The newest members that any machine took. */
  MemberSet newestMembers() {
    MemberSet message = MemberSet.NONE;
    for (MemberSet other : generations.values()) message = other;
    return message;
  }

  /** Whether one disk more may be lost: no set that still counts loses more than it bears. */
  boolean mayLose(String name) {
    MemberSet message = newestMembers();
    int took = 0;
    for (MemberSet.Member other : message.all()) {
      SimControlMachine control = controls.get(other.name());
      if (control.diskId.equals(other.diskId())
          && control.node.members().generation() == message.generation()) took++;
    }
    MemberSet before = generations.get(message.generation() - 1);
    for (MemberSet i : proposedMembers)
      if (i.generation() > message.generation() && !toleratesLossOf(i, name)) return false;
    return toleratesLossOf(message, name)
        && (took > message.all().size() / 2 || before == null || toleratesLossOf(before, name));
  }

  /**
   * Whether a founder other than this one keeps a disk that knows the fleet: else it may be founded
   * twice.
   */
  boolean isFoundedElsewhere(String name) {
    return controls.values().stream()
        .anyMatch(
            control ->
                control.isFounder()
                    && !control.name.equals(name)
                    && !departed.contains(control.name)
                    && control.node.members().generation() > 0
                    && control.hasOriginalDisk());
  }

  private boolean toleratesLossOf(MemberSet members, String name) {
    int lost = members.find(name) == null ? 1 : 0;
    for (MemberSet.Member other : members.all())
      if (other.name().equals(name)
          || departed.contains(other.name())
          || !controls.get(other.name()).diskId.equals(other.diskId())) lost++;
    // one that stands by may have been chosen for a next set a moment before
    for (Map.Entry<String, Long> event : standbyLostAtMs.entrySet())
      if (clockMs - event.getValue() < 6000) lost++;
    return lost <= (members.all().size() - 1) / 2;
  }

  /** What a machine had on its disk is gone. */
  void onDiskLost(String name) {
    if (newestMembers().find(name) == null) standbyLostAtMs.put(name, clockMs);
    log(name, "loses its disk");
  }

  /** The machine is gone for good, with its disk. */
  void removeForGood(String name) {
    departed.add(name);
    onDiskLost(name);
    controls.get(name).kill();
    log(name, "leaves for good");
  }

  /**
   * At the end of a story, with everything healed: nothing acknowledged lost, nothing refused
   * taken, all serve again.
   */
  public void settle(long withinMs) {
    Map<String, Long> before = new HashMap<>();
    run(withinMs);
    for (SimRelay relay : relays.values()) if (relay.up) before.put(relay.name, relay.startCount);
    run(1000);
    for (SimRelay relay : relays.values())
      if (relay.up && relay.startCount - before.get(relay.name) < 100)
        violation(relay.name + " does not serve " + withinMs + " ms after all was well");
    for (String key :
        new String[] {StateKeys.CONFIGURATION, StateKeys.WEIGHTS, StateKeys.REPLICAS}) {
      Map<Long, String> message = digestsByNumber.getOrDefault(key, Map.of());
      for (SimRelay relay : relays.values())
        if (relay.up && acknowledgedNumbers.getOrDefault(key, 0L) > relay.versionOf(key))
          violation(relay.name + " is behind what was acknowledged of " + key);
      for (SentChange sentChange : sentChanges) {
        if (!sentChange.key.equals(key)) continue;
        boolean taken = message.containsValue(sentChange.digest);
        ChangeResult result = sentChange.answer[0];
        if (taken
            && (result instanceof ChangeResult.Conflict
                || result instanceof ChangeResult.QueueFull
                || result instanceof ChangeResult.NoOwner))
          violation(
              "value " + sentChange.valueNumber + " was answered " + result + " and was taken");
      }
    }
  }

  public int acknowledgedCount() {
    int valueNumber = 0;
    for (SentChange sentChange : sentChanges)
      if (sentChange.answer[0] instanceof ChangeResult.Acknowledged) valueNumber++;
    return valueNumber;
  }

  public long newestGeneration() {
    long newest = 0;
    for (SimControlMachine control : controls.values())
      if (control.up && control.node.isInitialized())
        newest = Math.max(newest, control.node.members().generation());
    return newest;
  }

  /** All members of the newest generation are up and know it. */
  public boolean allMembersActive() {
    long newest = newestGeneration();
    MemberSet members = null;
    for (SimControlMachine control : controls.values())
      if (control.up
          && control.node.isInitialized()
          && control.node.members().generation() == newest) members = control.node.members();
    if (members == null) return false;
    for (MemberSet.Member other : members.all()) {
      SimControlMachine control = controls.get(other.name());
      if (!control.up
          || control.paused
          || !control.diskId.equals(other.diskId())
          || control.node.members().generation() != newest
          || control.node.isSealed()) return false;
    }
    return true;
  }

  /** An operator brings a new machine and has it swapped in. */
  public void replaceMember(String leaving, String joining) {
    addMachine(joining);
    for (int i = 0; i < 40; i++) {
      run(100);
      boolean[] begun = {false};
      for (SimControlMachine control : controls.values())
        if (control.up
            && !control.paused
            && control.node.isInitialized()
            && control.node.owns(StateKeys.CORE)
            && control.node.replaceMember(leaving, joining, result -> {}).isEmpty())
          begun[0] = true;
      if (begun[0]) return;
    }
  }

  String anyRunning() {
    for (SimControlMachine control : controls.values())
      if (control.up && !control.paused) return control.name;
    return "c1";
  }

  public String ownersOf(String key) {
    String owners = "";
    for (SimControlMachine control : controls.values())
      if (control.up && control.node.isInitialized() && control.node.owns(key))
        owners = owners + control.name;
    return owners;
  }
}
