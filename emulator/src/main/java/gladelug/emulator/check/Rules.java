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
 * What must hold after each step of a checked run, whatever failed before. Chosen is a value that a
 * majority of a generation's members had accepted, durably, under one epoch.
 *
 * <p>Judges one run, step by step; the first rule broken ends it.
 */
final class Rules {
  /** The rules, in the words they are reported in. */
  enum Rule {
    ONE_VALUE_PER_NUMBER("a number of a key means one value"),
    CHOSEN_IS_KEPT("what a majority accepted is in all that is accepted later"),
    ACKNOWLEDGED_IS_CHOSEN("a change is acknowledged only once a majority has it durably"),
    SERVED_IS_CHOSEN("an owner serves only what a majority has under its epoch"),
    READ_IS_NEWEST("a read returns nothing older than what was acknowledged before it"),
    REFUSED_IS_NOT_TAKEN("a change answered as not taken never takes effect"),
    TAKEN_ONCE("a change sent again is taken once and acknowledged again, not refused"),
    EPOCHS_RISE("promised and accepted epochs on one disk only rise"),
    ONE_OWNER_PER_EPOCH("an epoch has one owner"),
    EPOCH_IS_FRESH("a member tries for a key with an epoch of its own that was not used before"),
    ONE_SET_PER_GENERATION("a generation has one set of members"),
    SEALED_BEFORE_NEXT("a generation begins only after a majority of the former is sealed"),
    NEXT_HAS_ALL("who takes part in a generation has all that was chosen before it"),
    RECOVERS("once all machines run and reach each other every key is served, with all told"),
    NO_EXCEPTION("the protocol throws nothing");

    final String words;

    Rule(String words) {
      this.words = words;
    }
  }

  /** A rule that does not hold. */
  record Broken(Rule rule, String how) {
    @Override
    public String toString() {
      return rule.words + ": " + how;
    }
  }

  private record Served(long epoch, long number) {}

  private final World world;
  private Broken broken;

  /** By key and number: the digest it stands for. */
  private final Map<String, Map<Long, String>> meaning = new HashMap<>();

  /** By key and epoch: the highest value chosen under it. */
  private final Map<String, NavigableMap<Long, NumberedValue>> chosen = new HashMap<>();

  /** By key and epoch, and then by disk: the highest value accepted under it. */
  private final Map<String, Map<Long, Map<String, NumberedValue>>> accepted = new HashMap<>();

  private final Map<String, Long> newestTold = new HashMap<>();

  /** By digest of a value: how many of its sendings were not refused, and the last refusal. */
  private final Map<String, Integer> notRefused = new HashMap<>();

  private final Map<String, String> refusal = new HashMap<>();

  /** By digest of a value: the number it was acknowledged as. */
  private final Map<String, Long> acknowledged = new HashMap<>();

  private final Map<String, DecodedRegister> cells = new HashMap<>();
  private final Map<String, String> owners = new HashMap<>();
  private final Map<String, Served> served = new HashMap<>();

  /** By key and epoch: the member that tried with it. */
  private final Map<String, String> triedBy = new HashMap<>();

  /** The promises that were asked for: by which process, of whom, for which key and epoch. */
  private final Set<String> promisesAsked = new HashSet<>();

  private final Map<String, Long> generationAt = new HashMap<>();
  private final Map<Long, MemberSet> generations = new LinkedHashMap<>();

  /** By next generation: the disks that refuse the one before it. */
  private final Map<Long, Set<String>> sealedFor = new HashMap<>();

  private long digest;

  Rules(World world) {
    this.world = world;
  }

  Broken broken() {
    return broken;
  }

  void breaks(Rule rule, String how) {
    if (broken == null) broken = new Broken(rule, how);
  }

  /** Equal for runs that can be judged alike from here. */
  long digest() {
    return digest;
  }

  private void noted(String what, long value) {
    digest += Mixing.mix(what.hashCode(), value);
  }

  int chosenValues() {
    return meaning.values().stream().mapToInt(Map::size).sum();
  }

  long newestGeneration() {
    return generations.keySet().stream().mapToLong(x -> x).max().orElse(0);
  }

  // ---- disks

  /** A write became durable. */
  void durable(CheckedMachine m, CheckedDisk.Write w) {
    String key = StateDecoder.keyOf(w.entry());
    if (!key.isEmpty()) {
      if (world.setup.keys().contains(key))
        durableCell(m, key, StateDecoder.decodeRegister(m.disk.durable(), key), w.accept());
    } else if (w.entry().equals(StateDecoder.SEALED_ENTRY)) {
      seals(m, StateDecoder.decodeMembers(w.state()));
    } else if (w.entry().equals(StateDecoder.MEMBERS_ENTRY)) {
      MemberSet members = StateDecoder.decodeMembers(w.state());
      seals(m, members);
      hasAllChosenBefore(m, members);
    }
  }

  private void durableCell(CheckedMachine m, String key, DecodedRegister now, boolean accept) {
    DecodedRegister before = cells.put(m.disk.id + " " + key, now);
    if (before != null && !rises(before, now))
      breaks(
          Rule.EPOCHS_RISE,
          m.name + " had of " + key + " " + words(before) + ", now " + words(now));
    if (!accept) return;
    Map<String, NumberedValue> under =
        accepted
            .computeIfAbsent(key, k -> new HashMap<>())
            .computeIfAbsent(now.epoch(), e -> new HashMap<>());
    under.merge(m.disk.id, now.value(), (a, b) -> b.number() >= a.number() ? b : a);
    choose(key, now.epoch(), under);
  }

  private static boolean rises(DecodedRegister before, DecodedRegister now) {
    boolean value =
        now.epoch() > before.epoch()
            || now.epoch() == before.epoch() && now.value().number() >= before.value().number();
    return value && now.promised() >= before.promised();
  }

  private static String words(DecodedRegister c) {
    return c.value().number() + " of epoch " + c.epoch() + ", promised " + c.promised();
  }

  private void choose(String key, long epoch, Map<String, NumberedValue> under) {
    MemberSet members = generations.get(StateDecoder.generationOf(epoch));
    if (members == null) return;
    List<NumberedValue> had = new ArrayList<>();
    for (MemberSet.Member x : members.all())
      if (under.get(x.diskId()) != null) had.add(under.get(x.diskId()));
    int majority = members.all().size() / 2 + 1;
    if (had.size() < majority) return;
    had.sort(Comparator.comparingLong(NumberedValue::number).reversed());
    chosen(key, epoch, had.get(majority - 1));
  }

  private void chosen(String key, long epoch, NumberedValue v) {
    NavigableMap<Long, NumberedValue> all = chosen.computeIfAbsent(key, k -> new TreeMap<>());
    NumberedValue known = all.get(epoch);
    if (known != null && known.number() >= v.number()) return;
    all.put(epoch, v);
    noted(key + v.digest(), Mixing.mix(epoch, v.number()));
    means(key, v, "accepted by a majority under epoch " + epoch);
    Map.Entry<Long, NumberedValue> lower = all.lowerEntry(epoch), higher = all.higherEntry(epoch);
    if (lower != null && !contains(v, lower.getValue()))
      breaks(Rule.CHOSEN_IS_KEPT, lost(key, epoch, v, lower.getKey(), lower.getValue()));
    if (higher != null && !contains(higher.getValue(), v))
      breaks(Rule.CHOSEN_IS_KEPT, lost(key, higher.getKey(), higher.getValue(), epoch, v));
  }

  private static String lost(String key, long epoch, NumberedValue v, long old, NumberedValue was) {
    return key
        + " is "
        + v.number()
        + " under epoch "
        + epoch
        + " after "
        + was.number()
        + " under "
        + old;
  }

  private static boolean contains(NumberedValue v, NumberedValue earlier) {
    if (v.number() < earlier.number()) return false;
    String same = v.rememberedDigests().get(earlier.number());
    return same == null || same.equals(earlier.digest());
  }

  // ---- values

  private void means(String key, NumberedValue v, String where) {
    v.rememberedDigests().forEach((n, d) -> means(key, n, d, where));
    if (v.number() > 0) means(key, v.number(), v.digest(), where);
  }

  private void means(String key, long number, String valueDigest, String where) {
    String known =
        meaning.computeIfAbsent(key, k -> new HashMap<>()).putIfAbsent(number, valueDigest);
    if (known == null) noted(key + valueDigest, number);
    else if (!known.equals(valueDigest))
      breaks(
          Rule.ONE_VALUE_PER_NUMBER,
          key + " " + number + " means another value where it is " + where);
    if (notRefused.getOrDefault(valueDigest, 1) == 0)
      breaks(
          Rule.REFUSED_IS_NOT_TAKEN,
          refusal.get(valueDigest) + " and is " + number + " of " + key + ", " + where);
  }

  private boolean wasChosen(String key, long number, String valueDigest) {
    for (NumberedValue v : chosen.getOrDefault(key, new TreeMap<>()).values()) {
      String d = v.number() == number ? v.digest() : v.rememberedDigests().get(number);
      if (d != null && d.equals(valueDigest)) return true;
    }
    return false;
  }

  // ---- operators

  /** What every answer to a read that begins now must have reached. */
  long newestTold(String key) {
    return newestTold.getOrDefault(key, 0L);
  }

  /** An operator sends a value, for the first time or again. */
  void sent(String valueDigest) {
    notRefused.merge(valueDigest, 1, Integer::sum);
    noted(valueDigest, notRefused.get(valueDigest));
  }

  /** An operator was answered. */
  void answered(String key, String valueDigest, String name, ChangeResult result) {
    if (result instanceof ChangeResult.Acknowledged d) done(key, valueDigest, name, d.number());
    else if (!(result instanceof ChangeResult.Unknown)) refused(key, valueDigest, name, result);
  }

  private void done(String key, String valueDigest, String name, long number) {
    if (!wasChosen(key, number, valueDigest))
      breaks(Rule.ACKNOWLEDGED_IS_CHOSEN, name + " as " + number + " of " + key);
    Long before = acknowledged.putIfAbsent(valueDigest, number);
    if (before != null && before != number)
      breaks(Rule.TAKEN_ONCE, name + " is acknowledged as " + before + " and as " + number);
    means(key, number, valueDigest, "acknowledged");
    told(key, number);
  }

  private void refused(String key, String valueDigest, String name, ChangeResult result) {
    if (result instanceof ChangeResult.Conflict && acknowledged.containsKey(valueDigest))
      breaks(
          Rule.TAKEN_ONCE,
          name + " was acknowledged and is answered " + result + " when sent again");
    int left = notRefused.merge(valueDigest, -1, Integer::sum);
    refusal.put(valueDigest, name + " was answered " + result);
    noted(valueDigest, left - 1_000_000);
    if (left == 0 && meaning.getOrDefault(key, Map.of()).containsValue(valueDigest))
      breaks(Rule.REFUSED_IS_NOT_TAKEN, name + " was taken before it was answered " + result);
  }

  private void told(String key, long number) {
    if (number <= newestTold(key)) return;
    newestTold.put(key, number);
    noted("told " + key, number);
  }

  void read(String door, String key, long least, ReadResult answer) {
    if (!answer.hasOwner()) return;
    if (answer.number() < least)
      breaks(
          Rule.READ_IS_NEWEST,
          door + " reads " + answer.number() + " of " + key + " after " + least + " was told");
    if (answer.number() > 0) means(key, answer.number(), answer.digest(), "read at " + door);
    told(key, answer.number());
  }

  // ---- members and owners

  private void seals(CheckedMachine m, MemberSet next) {
    if (sealedFor.computeIfAbsent(next.generation(), g -> new HashSet<>()).add(m.disk.id))
      noted(m.disk.id, next.generation());
  }

  private void hasAllChosenBefore(CheckedMachine m, MemberSet members) {
    for (String key : world.setup.keys()) {
      NavigableMap<Long, NumberedValue> all = chosen.getOrDefault(key, new TreeMap<>());
      Map.Entry<Long, NumberedValue> last = all.lowerEntry(members.generation() << 40);
      if (last == null) continue;
      DecodedRegister c = cells.get(m.disk.id + " " + key);
      if (c == null || !contains(c.value(), last.getValue()))
        breaks(
            Rule.NEXT_HAS_ALL,
            m.name
                + " takes part in generation "
                + members.generation()
                + " without "
                + last.getValue().number()
                + " of "
                + key);
    }
  }

  /** Looks at a machine after a step. */
  void look(CheckedMachine m) {
    if (!m.up()) return;
    MemberSet members = m.node.members();
    Long before = generationAt.put(m.name, members.generation());
    if (before == null || before != members.generation()) newGeneration(m, members);
    for (String key : world.setup.keys()) if (m.node.owns(key)) owner(m, key);
  }

  private void newGeneration(CheckedMachine m, MemberSet members) {
    if (members.generation() == 0) return;
    world.budget.counts(members);
    MemberSet same = generations.putIfAbsent(members.generation(), members);
    if (same != null && !same.equals(members))
      breaks(Rule.ONE_SET_PER_GENERATION, m.name + " has " + members + ", others " + same);
    MemberSet former = generations.get(members.generation() - 1);
    if (same != null || former == null) return;
    Set<String> sealed = sealedFor.getOrDefault(members.generation(), Set.of());
    long of = former.all().stream().filter(x -> sealed.contains(x.diskId())).count();
    if (of <= former.all().size() / 2)
      breaks(
          Rule.SEALED_BEFORE_NEXT,
          m.name
              + " is in generation "
              + members.generation()
              + " and "
              + of
              + " are sealed for it");
  }

  /**
   * A process asks another member for its promise. Epochs name their member, are above what is
   * promised on its own disk, and a process knows those that it tried with; only one that was
   * started anew may try again with an epoch that came to nothing.
   */
  void asks(CheckedMachine m, String member, CoreMessage.PrepareRequest promise) {
    String key = promise.key();
    String under = " asks for " + key + " under epoch " + promise.epoch();
    String other = triedBy.putIfAbsent(key + " " + promise.epoch(), m.name);
    if (other != null && !other.equals(m.name))
      breaks(Rule.EPOCH_IS_FRESH, m.name + under + " as " + other + " did");
    if (!promisesAsked.add(m.name + " " + m.life + under + " of " + member))
      breaks(Rule.EPOCH_IS_FRESH, m.name + under + " twice");
    DecodedRegister own = cells.get(m.disk.id + " " + key);
    if (own != null && own.promised() >= promise.epoch())
      breaks(Rule.EPOCH_IS_FRESH, m.name + under + " and has promised " + own.promised());
  }

  private void owner(CheckedMachine m, String key) {
    Served now = new Served(m.node.epochOf(key), m.node.storedValue(key).getKey());
    if (now.equals(served.put(m.name + " " + key, now))) return;
    String who = m.name + " in its life " + m.life;
    String other = owners.putIfAbsent(key + " " + now.epoch, who);
    if (other == null) noted(key + who, now.epoch);
    else if (!other.equals(who))
      breaks(
          Rule.ONE_OWNER_PER_EPOCH,
          who + " serves " + key + " under epoch " + now.epoch + " of " + other);
    NumberedValue under = chosen.getOrDefault(key, new TreeMap<>()).get(now.epoch);
    if (under == null || under.number() < now.number)
      breaks(
          Rule.SERVED_IS_CHOSEN,
          who + " serves " + now.number + " of " + key + " under epoch " + now.epoch);
    for (ChangeRecord t : m.node.changeHistory(key))
      means(key, t.number(), t.digest(), "served by " + m.name);
  }
}
