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
 * A seeded simulation of control machines and relays, driven by one event queue. Links lose, delay,
 * duplicate and can be cut in one or both directions; machines crash, lose power and pause; disks
 * tear writes, stall, fail and are lost; monotonic clocks drift.
 *
 * <p>While it runs it checks the safety rules in their strictest form: from the moment an operator
 * was told that a change is acknowledged, no relay may start a request under a lower number,
 * whatever fails.
 */
public class Simulation {
  private record Event(long atMs, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs
          ? Long.compare(atMs, other.atMs)
          : Long.compare(sequence, other.sequence);
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

  /**
   * Time after a weight assignment during which requests may still start on the previous weights,
   * in ms; read when a machine starts.
   */
  int weightCutoffMs = 15_000;

  /** The rule that a test has disabled. */
  BrokenRule brokenRule = BrokenRule.NONE;

  /**
   * Whether records travel on simulated TCP connections; otherwise each record is transmitted
   * independently.
   */
  boolean usesConnections;

  /** Whether silent connections are detected and opened again; off only in control experiments. */
  boolean usesHeartbeats = true;

  /** Interval at which a relay renews its subscription, in ms. */
  long subscriptionIntervalMs = 400;

  /** Observes sent and written data from the moment it is set. */
  TrafficObserver observer = TrafficObserver.NONE;

  private final SimNetwork network = new SimNetwork(this);

  /** Machines whose cut links answer every packet with a reset. */
  private final Set<String> resettingMachines = new HashSet<>();

  /** Bandwidth of a control machine's link; 0 means unlimited. */
  int bytesPerMs;

  /** Bytes that control machines sent for membership changes while the bandwidth was limited. */
  long membershipBytes;

  /** Extra bytes in each value that an operator sends. */
  int paddingBytes;

  private final Map<String, Long> linkFreeAtMs = new HashMap<>();

  public double lossRate;
  public double duplicateRate;
  final List<String> eventLog = new ArrayList<>();
  public final List<String> violations = new ArrayList<>();
  public final List<SentChange> sentChanges = new ArrayList<>();
  private final Map<String, Long> acknowledgedNumbers = new HashMap<>();

  /** When each number of a key was first acknowledged. */
  private final Map<String, TreeMap<Long, Long>> acknowledgedAtMs = new HashMap<>();

  private final Map<Long, MemberSet> generations = new TreeMap<>();
  private final Map<String, Long> standbyLostAtMs = new HashMap<>();
  private final List<MemberSet> proposedMembers = new ArrayList<>();
  private final Map<String, String> lastCommander = new HashMap<>();
  private final Map<String, Long> lastCommandAtMs = new HashMap<>();
  final QuorumConfig config;

  /** Machines that were removed for good. */
  final Set<String> departed = new HashSet<>();

  public int readCount;
  private final Map<String, Map<Long, String>> digestsByNumber = new HashMap<>();
  private int sentValueCount;

  public Simulation(long seed, int relayCount) {
    this(seed, relayCount, 3, 3, QuorumConfig.DEFAULT);
  }

  /**
   * Creates a simulation in which the first machines are the founders and the others ask to join.
   */
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

  /** How often an owner found that another member had taken its key. */
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

  /** Adds and starts a control machine with an empty disk. */
  public SimControlMachine addMachine(String name) {
    addresses.put(name, new Address("10.0.1." + addresses.size(), 100));
    SimControlMachine control =
        new SimControlMachine(this, name, "disk-of-" + name, List.of(), false);
    controls.put(name, control);
    control.start();
    return control;
  }

  String nameOf(Address address) {
    for (Map.Entry<String, Address> entry : addresses.entrySet())
      if (entry.getValue().equals(address)) return entry.getKey();
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

  /** Cuts either all links from a machine or all links to it. */
  void cutOneWay(String name, boolean leaving) {
    for (String other : allNames()) {
      if (other.equals(name)) continue;
      if (leaving) cutLink(name, other);
      else cutLink(other, name);
    }
  }

  /** Cuts all links between the given group and all others. */
  public void split(Set<String> group) {
    for (String name : allNames())
      for (String other : allNames())
        if (group.contains(name) != group.contains(other)) cutLink(name, other);
  }

  /** Cuts a machine off by something that answers every packet with a reset. */
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

  /** Returns the random delay of one record on a link. */
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

  /**
   * Returns the time until the last byte has left a machine whose link transmits one record at a
   * time.
   */
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
          } catch (IOException exception) {
            violation("a record cannot be decoded: " + message);
          }
        };
    if (usesConnections) network.send(from, to, bytes.length, received);
    else transmit(from, to, received);
  }

  // ---- processes, as connections see them

  /** Returns how many processes have run under this name so far. */
  int processNumber(String name) {
    SimControlMachine control = controls.get(name);
    return control != null ? control.processNumber : relays.get(name).processNumber;
  }

  /** Returns whether the machine has power but no process listens on it. */
  boolean refusesConnections(String name) {
    SimControlMachine control = controls.get(name);
    return control != null && !control.up && !control.poweredOff;
  }

  /** Returns whether the machine has no power. */
  boolean isPoweredOff(String name) {
    SimControlMachine control = controls.get(name);
    return control != null && control.poweredOff;
  }

  /** Runs a task in a control machine's process, after its pause if it is paused. */
  void runInProcess(String name, Runnable task) {
    controls.get(name).run(task);
  }

  /** Called when a new connection has been established. */
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
    SimControlMachine receiver = controls.get(control);
    Runnable received = () -> receiver.run(() -> receiver.node.onSubscriptionRequest(request));
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

  /** Called when an update reaches a data-plane process. */
  void onUpdate(String relay, StateUpdate update) {
    SimRelay receiver = relays.get(relay);
    if (receiver != null) receiver.onUpdate(update);
  }

  /** Returns all names with links other than the control machines. */
  List<String> dataPlaneNames() {
    return new ArrayList<>(relays.keySet());
  }

  /** Runs a control machine's duties besides keeping state, every 250 ms while it runs. */
  void runDuties(SimControlMachine control) {}

  OwnerTasks ownerTasks() {
    return new OwnerTasks() {};
  }

  boolean isCut(String from, String to) {
    return cutLinks.contains(from + ">" + to);
  }

  // ---- operators

  /** Sends a new value through one member. A required number of -1 accepts any current number. */
  public SentChange send(String member, String key, long requiredNumber) {
    return send(member, key, requiredNumber, ++sentValueCount);
  }

  /** Sends an earlier change again, unchanged, as an operator does whose answer was lost. */
  public SentChange sendAgain(String member, SentChange earlier) {
    return send(member, earlier.key, earlier.requiredNumber, earlier.valueNumber);
  }

  /** Sends the value of an earlier change as a new change based on another number. */
  public SentChange sendAsNewChange(String member, SentChange earlier, long requiredNumber) {
    return send(member, earlier.key, requiredNumber, earlier.valueNumber);
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
                    .computeIfAbsent(key, ignored -> new TreeMap<>())
                    .putIfAbsent(acknowledged.number(), clockMs);
              }
            });
    return sentChange;
  }

  /** Reads the newest value through one member, as an operator does. */
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
                        newest -> {
                          if (!newest.hasOwner()) return;
                          readCount++;
                          if (newest.number() < minNumber)
                            violation(
                                "a read by "
                                    + member
                                    + " of "
                                    + key
                                    + " says "
                                    + newest.number()
                                    + " after "
                                    + minNumber);
                          if (newest.number() > 0)
                            recordDigest(
                                key, newest.number(), newest.digest(), "a read by " + member);
                        }));
  }

  // ---- checks

  private void recordDigest(String key, long number, String digest, String where) {
    String earlier =
        digestsByNumber
            .computeIfAbsent(key, ignored -> new HashMap<>())
            .putIfAbsent(number, digest);
    if (earlier != null && !earlier.equals(digest))
      violation(key + " " + number + " has two values, the second in " + where);
  }

  void onValuePushed(String relay, StateUpdate.ValuePush push) {
    if (!push.key().equals(StateKeys.CORE))
      recordDigest(push.key(), push.number(), push.digest(), "a push to " + relay);
  }

  void onRequestStarted(SimRelay relay, ReplicatedStateView state) {
    for (String leasedKey : StateKeys.LEASED) {
      long minNumber = lowestAllowedNumber(leasedKey);
      if (state.number(leasedKey) < minNumber)
        violation(
            relay.name
                + " starts a request under "
                + leasedKey
                + " "
                + state.number(leasedKey)
                + " after "
                + minNumber
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

  /** Returns the lowest number that a relay may act on now. */
  private long lowestAllowedNumber(String key) {
    if (config.acknowledgementMode() == QuorumConfig.AcknowledgementMode.STRICT)
      return acknowledgedNumbers.getOrDefault(key, 0L);
    long lowest = 0;
    for (Map.Entry<Long, Long> entry :
        acknowledgedAtMs.getOrDefault(key, new TreeMap<>()).entrySet())
      if (clockMs - entry.getValue() > config.leaseMs()) lowest = Math.max(lowest, entry.getKey());
    return lowest;
  }

  /**
   * Checks that two commanders in turn keep the required distance, with 2 % tolerance for clock
   * drift.
   */
  private void recordCommand(String key, String name) {
    String previous = lastCommander.put(key, name);
    Long lastAtMs = lastCommandAtMs.put(key, clockMs);
    long gapMs = config.commandHandoverGapMs();
    long minDistanceMs = gapMs - config.commandLeaseMs() - gapMs / 50;
    if (previous != null && !previous.equals(name) && clockMs - lastAtMs < minDistanceMs)
      violation(name + " commands " + key + " " + (clockMs - lastAtMs) + " ms after " + previous);
  }

  // ---- members

  /** Called when a control machine adopts a member set. */
  void onGeneration(MemberSet members) {
    MemberSet earlier = generations.putIfAbsent(members.generation(), members);
    if (earlier != null && !earlier.equals(members))
      violation("generation " + members.generation() + " has two member sets");
  }

  /**
   * Called when the owner of the key "core" begins a membership change. Joining members are given
   * as name/disk.
   */
  void onMembershipChange(List<?> leaving, List<?> joining, long generation) {
    MemberSet previous = generations.get(generation - 1);
    List<MemberSet.Member> members = new ArrayList<>(previous.all());
    members.removeIf(member -> leaving.contains(member.name()));
    for (Object nameAndDisk : joining) {
      String[] parts = nameAndDisk.toString().split("/");
      Address address = addressOf(parts[0]);
      members.add(new MemberSet.Member(parts[0], parts[1], address, address));
    }
    proposedMembers.add(new MemberSet(generation, members));
  }

  /** Returns the newest member set that any machine has adopted. */
  MemberSet newestMembers() {
    MemberSet newest = MemberSet.NONE;
    for (MemberSet members : generations.values()) newest = members;
    return newest;
  }

  /**
   * Returns whether one more disk may be lost: no member set that still counts then loses more
   * disks than it tolerates.
   */
  boolean mayLose(String name) {
    MemberSet newest = newestMembers();
    int adoptedCount = 0;
    for (MemberSet.Member member : newest.all()) {
      SimControlMachine control = controls.get(member.name());
      if (control.diskId.equals(member.diskId())
          && control.node.members().generation() == newest.generation()) adoptedCount++;
    }
    MemberSet previous = generations.get(newest.generation() - 1);
    for (MemberSet proposed : proposedMembers)
      if (proposed.generation() > newest.generation() && !toleratesLossOf(proposed, name))
        return false;
    return toleratesLossOf(newest, name)
        && (adoptedCount > newest.all().size() / 2
            || previous == null
            || toleratesLossOf(previous, name));
  }

  /**
   * Returns whether another founder keeps a disk that knows the fleet; otherwise the fleet could be
   * founded twice.
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
    int lostCount = members.find(name) == null ? 1 : 0;
    for (MemberSet.Member member : members.all())
      if (member.name().equals(name)
          || departed.contains(member.name())
          || !controls.get(member.name()).diskId.equals(member.diskId())) lostCount++;
    // a standby may have been chosen for the next set a moment before
    for (Map.Entry<String, Long> entry : standbyLostAtMs.entrySet())
      if (clockMs - entry.getValue() < 6000) lostCount++;
    return lostCount <= (members.all().size() - 1) / 2;
  }

  /** Called when a machine's disk is lost. */
  void onDiskLost(String name) {
    if (newestMembers().find(name) == null) standbyLostAtMs.put(name, clockMs);
    log(name, "loses its disk");
  }

  /** Removes a machine and its disk for good. */
  void removeForGood(String name) {
    departed.add(name);
    onDiskLost(name);
    controls.get(name).kill();
    log(name, "leaves for good");
  }

  /**
   * Checks the end of a scenario, with all faults repaired: nothing acknowledged is lost, nothing
   * refused took effect, and all relays serve again.
   */
  public void settle(long withinMs) {
    Map<String, Long> startsBefore = new HashMap<>();
    run(withinMs);
    for (SimRelay relay : relays.values())
      if (relay.up) startsBefore.put(relay.name, relay.startCount);
    run(1000);
    for (SimRelay relay : relays.values())
      if (relay.up && relay.startCount - startsBefore.get(relay.name) < 100)
        violation(relay.name + " does not serve " + withinMs + " ms after all was well");
    for (String key :
        new String[] {StateKeys.CONFIGURATION, StateKeys.WEIGHTS, StateKeys.REPLICAS}) {
      Map<Long, String> digests = digestsByNumber.getOrDefault(key, Map.of());
      for (SimRelay relay : relays.values())
        if (relay.up && acknowledgedNumbers.getOrDefault(key, 0L) > relay.versionOf(key))
          violation(relay.name + " is behind what was acknowledged of " + key);
      for (SentChange sentChange : sentChanges) {
        if (!sentChange.key.equals(key)) continue;
        boolean taken = digests.containsValue(sentChange.digest);
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
    int count = 0;
    for (SentChange sentChange : sentChanges)
      if (sentChange.answer[0] instanceof ChangeResult.Acknowledged) count++;
    return count;
  }

  public long newestGeneration() {
    long newest = 0;
    for (SimControlMachine control : controls.values())
      if (control.up && control.node.isInitialized())
        newest = Math.max(newest, control.node.members().generation());
    return newest;
  }

  /** Returns whether all members of the newest generation run and have adopted it. */
  public boolean allMembersActive() {
    long newest = newestGeneration();
    MemberSet members = null;
    for (SimControlMachine control : controls.values())
      if (control.up
          && control.node.isInitialized()
          && control.node.members().generation() == newest) members = control.node.members();
    if (members == null) return false;
    for (MemberSet.Member member : members.all()) {
      SimControlMachine control = controls.get(member.name());
      if (!control.up
          || control.paused
          || !control.diskId.equals(member.diskId())
          || control.node.members().generation() != newest
          || control.node.isSealed()) return false;
    }
    return true;
  }

  /** Adds a new machine and has it replace a member, as an operator does. */
  public void replaceMember(String leaving, String joining) {
    addMachine(joining);
    for (int i = 0; i < 40; i++) {
      run(100);
      boolean[] started = {false};
      for (SimControlMachine control : controls.values())
        if (control.up
            && !control.paused
            && control.node.isInitialized()
            && control.node.owns(StateKeys.CORE)
            && control.node.replaceMember(leaving, joining, result -> {}).isEmpty())
          started[0] = true;
      if (started[0]) return;
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
