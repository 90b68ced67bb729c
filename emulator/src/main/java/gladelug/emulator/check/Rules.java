package gladelug.emulator.check;

import gladelug.control.core.ChangeRecord;
import gladelug.control.core.StateDecoder;
import gladelug.control.core.StateDecoder.DecodedRegister;
import gladelug.control.core.StateDecoder.NumberedValue;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.ReadResult;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * The rules that must hold after each step of a checked run, whatever failed before; the first
 * broken rule ends the run. A value is chosen when a majority of a generation's members has
 * accepted it, durably, under one epoch.
 */
final class Rules {
  /** The rules and the descriptions they are reported by. */
  enum Rule {
    ONE_VALUE_PER_NUMBER("a number of a key stands for one value"),
    CHOSEN_IS_KEPT("a value accepted by a majority is contained in every value accepted later"),
    ACKNOWLEDGED_IS_CHOSEN("a change is acknowledged only after a majority has stored it durably"),
    SERVED_IS_CHOSEN("an owner serves only what a majority has accepted under its epoch"),
    READ_IS_NEWEST("a read returns nothing older than what was acknowledged before it"),
    REFUSED_IS_NOT_TAKEN("a change answered as refused never takes effect"),
    TAKEN_ONCE("a change sent again is applied once and acknowledged again, not refused"),
    EPOCHS_RISE("promised and accepted epochs on one disk only rise"),
    ONE_OWNER_PER_EPOCH("an epoch has one owner"),
    EPOCH_IS_FRESH("a member tries for a key with an epoch of its own that it has not used before"),
    ONE_SET_PER_GENERATION("a generation has one set of members"),
    SEALED_BEFORE_NEXT("a generation begins only after a majority of the former is sealed"),
    NEXT_HAS_ALL("a member that adopts a generation has every value chosen before it"),
    RECOVERS(
        "once all machines run and reach each other every key is served, with everything acknowledged"),
    NO_EXCEPTION("the protocol throws no exception");

    final String description;

    Rule(String words) {
      this.description = words;
    }
  }

  /** A broken rule and how it was broken. */
  record Broken(Rule rule, String details) {
    @Override
    public String toString() {
      return rule.description + ": " + details;
    }
  }

  private record Served(long epoch, long number) {}

  private final CheckedWorld world;
  private Broken brokenRule;

  /** The digest of each number's value, by key and number. */
  private final Map<String, Map<Long, String>> digestsByNumber = new HashMap<>();

  /** The highest value chosen under each epoch, by key and epoch. */
  private final Map<String, NavigableMap<Long, NumberedValue>> chosenValues = new HashMap<>();

  /** The highest value accepted under each epoch, by key, epoch and disk. */
  private final Map<String, Map<Long, Map<String, NumberedValue>>> acceptedValues = new HashMap<>();

  private final Map<String, Long> newestToldNumbers = new HashMap<>();

  /**
   * The number of requests for each value that were not refused, by digest of the value; the next
   * field holds the last refusal.
   */
  private final Map<String, Integer> openSendings = new HashMap<>();

  private final Map<String, String> lastRefusals = new HashMap<>();

  /** The number under which each value was acknowledged, by digest of the value. */
  private final Map<String, Long> acknowledgedNumbers = new HashMap<>();

  private final Map<String, DecodedRegister> registers = new HashMap<>();
  private final Map<String, String> ownersByEpoch = new HashMap<>();
  private final Map<String, Served> lastServed = new HashMap<>();

  /** The member that tried for a key with each epoch. */
  private final Map<String, String> epochUsers = new HashMap<>();

  /** The promises requested so far, by requesting process, asked member, key and epoch. */
  private final Set<String> requestedPromises = new HashSet<>();

  private final Map<String, Long> generationByMachine = new HashMap<>();
  private final Map<Long, MemberSet> generations = new LinkedHashMap<>();

  /** The disks that are sealed for each next generation. */
  private final Map<Long, Set<String>> sealedDisks = new HashMap<>();

  private long digest;

  Rules(CheckedWorld world) {
    this.world = world;
  }

  Broken brokenRule() {
    return brokenRule;
  }

  void report(Rule rule, String description) {
    if (brokenRule == null) brokenRule = new Broken(rule, description);
  }

  /** Returns a digest that is equal for runs that are checked alike from here on. */
  long digest() {
    return digest;
  }

  private void addToDigest(String what, long value) {
    digest += HashMixer.mix(what.hashCode(), value);
  }

  int chosenValues() {
    return digestsByNumber.values().stream().mapToInt(Map::size).sum();
  }

  long newestGeneration() {
    return generations.keySet().stream().mapToLong(generation -> generation).max().orElse(0);
  }

  // ---- disks

  /** Called when a write has become durable. */
  void onDurable(CheckedMachine machine, CheckedDisk.Write write) {
    String key = StateDecoder.keyOf(write.entry());
    if (!key.isEmpty()) {
      if (world.setup.keys().contains(key))
        onRegisterDurable(
            machine,
            key,
            StateDecoder.decodeRegister(machine.disk.durable(), key),
            write.isAccept());
    } else if (write.entry().equals(StateDecoder.SEALED_ENTRY)) {
      recordSeal(machine, StateDecoder.decodeMembers(write.state()));
    } else if (write.entry().equals(StateDecoder.MEMBERS_ENTRY)) {
      MemberSet members = StateDecoder.decodeMembers(write.state());
      recordSeal(machine, members);
      requireAllChosenBefore(machine, members);
    }
  }

  private void onRegisterDurable(
      CheckedMachine machine, String key, DecodedRegister now, boolean isAccept) {
    DecodedRegister before = registers.put(machine.disk.id + " " + key, now);
    if (before != null && !hasRisen(before, now))
      report(
          Rule.EPOCHS_RISE,
          machine.name + " had of " + key + " " + describe(before) + ", now " + describe(now));
    if (!isAccept) return;
    Map<String, NumberedValue> acceptedUnder =
        acceptedValues
            .computeIfAbsent(key, ignored -> new HashMap<>())
            .computeIfAbsent(now.epoch(), ignored -> new HashMap<>());
    acceptedUnder.merge(machine.disk.id, now.value(), (a, b) -> b.number() >= a.number() ? b : a);
    findChosen(key, now.epoch(), acceptedUnder);
  }

  private static boolean hasRisen(DecodedRegister before, DecodedRegister now) {
    boolean value =
        now.epoch() > before.epoch()
            || now.epoch() == before.epoch() && now.value().number() >= before.value().number();
    return value && now.promised() >= before.promised();
  }

  private static String describe(DecodedRegister register) {
    return register.value().number()
        + " of epoch "
        + register.epoch()
        + ", promised "
        + register.promised();
  }

  private void findChosen(String key, long epoch, Map<String, NumberedValue> acceptedUnder) {
    MemberSet members = generations.get(StateDecoder.generationOf(epoch));
    if (members == null) return;
    List<NumberedValue> accepted = new ArrayList<>();
    for (MemberSet.Member member : members.all())
      if (acceptedUnder.get(member.diskId()) != null)
        accepted.add(acceptedUnder.get(member.diskId()));
    int majority = members.all().size() / 2 + 1;
    if (accepted.size() < majority) return;
    accepted.sort(Comparator.comparingLong(NumberedValue::number).reversed());
    addChosen(key, epoch, accepted.get(majority - 1));
  }

  private void addChosen(String key, long epoch, NumberedValue value) {
    NavigableMap<Long, NumberedValue> chosenByEpoch =
        chosenValues.computeIfAbsent(key, ignored -> new TreeMap<>());
    NumberedValue known = chosenByEpoch.get(epoch);
    if (known != null && known.number() >= value.number()) return;
    chosenByEpoch.put(epoch, value);
    addToDigest(key + value.digest(), HashMixer.mix(epoch, value.number()));
    recordMeaning(key, value, "accepted by a majority under epoch " + epoch);
    Map.Entry<Long, NumberedValue> lower = chosenByEpoch.lowerEntry(epoch),
        higher = chosenByEpoch.higherEntry(epoch);
    if (lower != null && !contains(value, lower.getValue()))
      report(
          Rule.CHOSEN_IS_KEPT, describeLoss(key, epoch, value, lower.getKey(), lower.getValue()));
    if (higher != null && !contains(higher.getValue(), value))
      report(
          Rule.CHOSEN_IS_KEPT, describeLoss(key, higher.getKey(), higher.getValue(), epoch, value));
  }

  private static String describeLoss(
      String key, long epoch, NumberedValue value, long oldEpoch, NumberedValue previous) {
    return key
        + " is "
        + value.number()
        + " under epoch "
        + epoch
        + " after "
        + previous.number()
        + " under "
        + oldEpoch;
  }

  private static boolean contains(NumberedValue value, NumberedValue earlier) {
    if (value.number() < earlier.number()) return false;
    String known = value.rememberedDigests().get(earlier.number());
    return known == null || known.equals(earlier.digest());
  }

  // ---- values

  private void recordMeaning(String key, NumberedValue value, String where) {
    value
        .rememberedDigests()
        .forEach((number, valueDigest) -> recordMeaning(key, number, valueDigest, where));
    if (value.number() > 0) recordMeaning(key, value.number(), value.digest(), where);
  }

  private void recordMeaning(String key, long number, String valueDigest, String where) {
    String known =
        digestsByNumber
            .computeIfAbsent(key, ignored -> new HashMap<>())
            .putIfAbsent(number, valueDigest);
    if (known == null) addToDigest(key + valueDigest, number);
    else if (!known.equals(valueDigest))
      report(
          Rule.ONE_VALUE_PER_NUMBER,
          key + " " + number + " means another value where it is " + where);
    if (openSendings.getOrDefault(valueDigest, 1) == 0)
      report(
          Rule.REFUSED_IS_NOT_TAKEN,
          lastRefusals.get(valueDigest) + " and is " + number + " of " + key + ", " + where);
  }

  private boolean wasChosen(String key, long number, String valueDigest) {
    for (NumberedValue value : chosenValues.getOrDefault(key, new TreeMap<>()).values()) {
      String storedDigest =
          value.number() == number ? value.digest() : value.rememberedDigests().get(number);
      if (storedDigest != null && storedDigest.equals(valueDigest)) return true;
    }
    return false;
  }

  // ---- operators

  /** Returns the number that the answer to a read starting now must have reached. */
  long newestTold(String key) {
    return newestToldNumbers.getOrDefault(key, 0L);
  }

  /** Called when an operator sends a value, for the first time or again. */
  void onSent(String valueDigest) {
    openSendings.merge(valueDigest, 1, Integer::sum);
    addToDigest(valueDigest, openSendings.get(valueDigest));
  }

  /** Called when an operator was answered. */
  void onAnswer(String key, String valueDigest, String name, ChangeResult result) {
    if (result instanceof ChangeResult.Acknowledged acknowledgement)
      onAcknowledged(key, valueDigest, name, acknowledgement.number());
    else if (!(result instanceof ChangeResult.Unknown)) onRefused(key, valueDigest, name, result);
  }

  private void onAcknowledged(String key, String valueDigest, String name, long number) {
    if (!wasChosen(key, number, valueDigest))
      report(Rule.ACKNOWLEDGED_IS_CHOSEN, name + " as " + number + " of " + key);
    Long before = acknowledgedNumbers.putIfAbsent(valueDigest, number);
    if (before != null && before != number)
      report(Rule.TAKEN_ONCE, name + " is acknowledged as " + before + " and as " + number);
    recordMeaning(key, number, valueDigest, "acknowledged");
    recordTold(key, number);
  }

  private void onRefused(String key, String valueDigest, String name, ChangeResult result) {
    if (result instanceof ChangeResult.Conflict && acknowledgedNumbers.containsKey(valueDigest))
      report(
          Rule.TAKEN_ONCE,
          name + " was acknowledged and is answered " + result + " when sent again");
    int remaining = openSendings.merge(valueDigest, -1, Integer::sum);
    lastRefusals.put(valueDigest, name + " was answered " + result);
    addToDigest(valueDigest, remaining - 1_000_000);
    if (remaining == 0 && digestsByNumber.getOrDefault(key, Map.of()).containsValue(valueDigest))
      report(Rule.REFUSED_IS_NOT_TAKEN, name + " was taken before it was answered " + result);
  }

  private void recordTold(String key, long number) {
    if (number <= newestTold(key)) return;
    newestToldNumbers.put(key, number);
    addToDigest("told " + key, number);
  }

  void onRead(String member, String key, long minNumber, ReadResult answer) {
    if (!answer.hasOwner()) return;
    if (answer.number() < minNumber)
      report(
          Rule.READ_IS_NEWEST,
          member
              + " reads "
              + answer.number()
              + " of "
              + key
              + " after "
              + minNumber
              + " was told");
    if (answer.number() > 0)
      recordMeaning(key, answer.number(), answer.digest(), "read at " + member);
    recordTold(key, answer.number());
  }

  // ---- members and owners

  private void recordSeal(CheckedMachine machine, MemberSet next) {
    if (sealedDisks
        .computeIfAbsent(next.generation(), generation -> new HashSet<>())
        .add(machine.disk.id)) addToDigest(machine.disk.id, next.generation());
  }

  private void requireAllChosenBefore(CheckedMachine machine, MemberSet members) {
    for (String key : world.setup.keys()) {
      NavigableMap<Long, NumberedValue> chosenByEpoch =
          chosenValues.getOrDefault(key, new TreeMap<>());
      Map.Entry<Long, NumberedValue> last = chosenByEpoch.lowerEntry(members.generation() << 40);
      if (last == null) continue;
      DecodedRegister register = registers.get(machine.disk.id + " " + key);
      if (register == null || !contains(register.value(), last.getValue()))
        report(
            Rule.NEXT_HAS_ALL,
            machine.name
                + " takes part in generation "
                + members.generation()
                + " without "
                + last.getValue().number()
                + " of "
                + key);
    }
  }

  /** Checks a machine after a step. */
  void inspect(CheckedMachine machine) {
    if (!machine.isRunning()) return;
    MemberSet members = machine.node.members();
    Long before = generationByMachine.put(machine.name, members.generation());
    if (before == null || before != members.generation()) onNewGeneration(machine, members);
    for (String key : world.setup.keys()) if (machine.node.owns(key)) inspectOwner(machine, key);
  }

  private void onNewGeneration(CheckedMachine machine, MemberSet members) {
    if (members.generation() == 0) return;
    world.faultBudget.addMemberSet(members);
    MemberSet known = generations.putIfAbsent(members.generation(), members);
    if (known != null && !known.equals(members))
      report(Rule.ONE_SET_PER_GENERATION, machine.name + " has " + members + ", others " + known);
    MemberSet former = generations.get(members.generation() - 1);
    if (known != null || former == null) return;
    Set<String> sealed = sealedDisks.getOrDefault(members.generation(), Set.of());
    long sealedCount =
        former.all().stream().filter(member -> sealed.contains(member.diskId())).count();
    if (sealedCount <= former.all().size() / 2)
      report(
          Rule.SEALED_BEFORE_NEXT,
          machine.name
              + " is in generation "
              + members.generation()
              + " and "
              + sealedCount
              + " are sealed for it");
  }

  /**
   * Called when a process asks another member for its promise. An epoch belongs to one member and
   * is above the epoch promised on that member's own disk. A process never reuses an epoch that it
   * has tried with; only a restarted process may retry an epoch that won nothing.
   */
  void onPromiseRequested(
      CheckedMachine machine, String member, CoreMessage.PrepareRequest prepare) {
    String key = prepare.key();
    String attempt = " asks for " + key + " under epoch " + prepare.epoch();
    String other = epochUsers.putIfAbsent(key + " " + prepare.epoch(), machine.name);
    if (other != null && !other.equals(machine.name))
      report(Rule.EPOCH_IS_FRESH, machine.name + attempt + " as " + other + " did");
    if (!requestedPromises.add(
        machine.name + " " + machine.processNumber + attempt + " of " + member))
      report(Rule.EPOCH_IS_FRESH, machine.name + attempt + " twice");
    DecodedRegister ownRegister = registers.get(machine.disk.id + " " + key);
    if (ownRegister != null && ownRegister.promised() >= prepare.epoch())
      report(
          Rule.EPOCH_IS_FRESH,
          machine.name + attempt + " and has promised " + ownRegister.promised());
  }

  private void inspectOwner(CheckedMachine machine, String key) {
    Served now = new Served(machine.node.epochOf(key), machine.node.storedValue(key).getKey());
    if (now.equals(lastServed.put(machine.name + " " + key, now))) return;
    String process = machine.name + " in its life " + machine.processNumber;
    String other = ownersByEpoch.putIfAbsent(key + " " + now.epoch, process);
    if (other == null) addToDigest(key + process, now.epoch);
    else if (!other.equals(process))
      report(
          Rule.ONE_OWNER_PER_EPOCH,
          process + " serves " + key + " under epoch " + now.epoch + " of " + other);
    NumberedValue acceptedUnder = chosenValues.getOrDefault(key, new TreeMap<>()).get(now.epoch);
    if (acceptedUnder == null || acceptedUnder.number() < now.number)
      report(
          Rule.SERVED_IS_CHOSEN,
          process + " serves " + now.number + " of " + key + " under epoch " + now.epoch);
    for (ChangeRecord record : machine.node.changeHistory(key))
      recordMeaning(key, record.number(), record.digest(), "served by " + machine.name);
  }
}
