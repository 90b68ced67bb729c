package gladelug.common.view;

import gladelug.common.message.Shuffle;
import gladelug.common.message.Shuffle.Descriptor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * A partial view of the fleet, shuffled between neighbours: each round the oldest neighbour is
 * asked, given a few descriptors with our own among them, and gives as many back. One that doesn't
 * answer has left the view by being asked. A random sample of a large fleet seldom holds the few
 * processes that everybody calls, so those are kept in a directory beside the sample and go along
 * with every exchange. Pure: chance and sending are handed in. A view says whom to call, never what
 * is true.
 */
public final class PartialView {
  /** Descriptors in the sample at most. */
  private static final int SAMPLE_SIZE = 16;

  /** Descriptors of the sample, our own among them, that an exchange brings. */
  private static final int MAX_SENT_FROM_SAMPLE = 6;

  /** After how many rounds without fresh word of it a process leaves the sample. */
  private static final int SAMPLE_MAX_AGE_ROUNDS = 120;

  /** Of which roles all processes are known, as everybody calls them and they are few. */
  private static final Set<String> DIRECTORY_ROLES = Set.of("index");

  private static final int DIRECTORY_SIZE = 64;

  /** How many of the directory an exchange brings at most. */
  static final int MAX_SENT_FROM_DIRECTORY = 16;

  /** After how many rounds without fresh word of it a process leaves the directory. */
  static final int DIRECTORY_MAX_AGE_ROUNDS = 20;

  private final Descriptor self;
  private final LongUnaryOperator random;
  private final Map<String, Descriptor> sampled = new LinkedHashMap<>();
  private final Map<String, Descriptor> directory = new LinkedHashMap<>();
  private List<String> sentNames = List.of();
  private long generation;

  public PartialView(Descriptor self, LongUnaryOperator random) {
    this.self = self;
    this.random = random;
  }

  public void advanceGeneration(long g) {
    generation = Math.max(generation, g);
  }

  /** The sample, and all of the directory. */
  public List<Descriptor> all() {
    Map<String, Descriptor> all = new LinkedHashMap<>(sampled);
    all.putAll(directory);
    return new ArrayList<>(all.values());
  }

  Descriptor selfDescriptor() {
    return new Descriptor(
        self.name(),
        self.role(),
        self.recordsAddress(),
        self.operatorAddress(),
        self.zone(),
        generation,
        0);
  }

  /** Whom to shuffle with now and what to say, or null where the view is empty. */
  public Map.Entry<Descriptor, Shuffle.Request> nextShuffle() {
    sampled.replaceAll((n, d) -> d.aged());
    sampled.values().removeIf(PartialView::isExpired);
    directory.replaceAll((n, d) -> d.aged());
    directory.values().removeIf(PartialView::isExpired);
    Descriptor q =
        sampled.values().stream().max(Comparator.comparingInt(Descriptor::ageRounds)).orElse(null);
    if (q == null) return null;
    sampled.remove(q.name());
    return Map.entry(q, createRequest());
  }

  /** What to say to a seed, of which only the address is known. */
  public Shuffle.Request createRequest() {
    List<Descriptor> l = drawSample(sampled, MAX_SENT_FROM_SAMPLE - 1);
    sentNames = l.stream().map(Descriptor::name).toList();
    return new Shuffle.Request(composeExchange(l));
  }

  public Shuffle.Response onRequest(Shuffle.Request r) {
    List<Descriptor> l = drawSample(sampled, MAX_SENT_FROM_SAMPLE - 1);
    List<String> names = l.stream().map(Descriptor::name).toList();
    Shuffle.Response answer = new Shuffle.Response(composeExchange(l));
    merge(r.descriptors(), names);
    return answer;
  }

  public void onResponse(Shuffle.Response a) {
    merge(a.descriptors(), sentNames);
  }

  /**
   * These, our own descriptor, and some of the directory: what an exchange brings. Entries of the
   * directory age by being passed on as well, so that those of the dead don't stay young by going
   * from hand to hand.
   */
  private List<Descriptor> composeExchange(List<Descriptor> sampled) {
    Map<String, Descriptor> out = new LinkedHashMap<>();
    for (Descriptor d : drawSample(directory, MAX_SENT_FROM_DIRECTORY)) out.put(d.name(), d.aged());
    for (Descriptor d : sampled) out.putIfAbsent(d.name(), belongsToDirectory(d) ? d.aged() : d);
    out.put(self.name(), selfDescriptor());
    return List.copyOf(out.values());
  }

  private static boolean belongsToDirectory(Descriptor d) {
    return DIRECTORY_ROLES.contains(d.role());
  }

  private static Descriptor fresher(Descriptor a, Descriptor b) {
    return b.ageRounds() <= a.ageRounds() ? b : a;
  }

  private List<Descriptor> drawSample(Map<String, Descriptor> from, int n) {
    List<Descriptor> l = new ArrayList<>(from.values());
    List<Descriptor> out = new ArrayList<>();
    while (!l.isEmpty() && out.size() < n) out.add(l.remove((int) random.applyAsLong(l.size())));
    return out;
  }

  private void merge(List<Descriptor> got, List<String> mayGo) {
    List<String> go = new ArrayList<>(mayGo);
    for (Descriptor d : got) {
      if (d.name().equals(self.name()) || isExpired(d)) continue;
      if (belongsToDirectory(d)) updateDirectory(d);
      Descriptor old = sampled.get(d.name());
      if (old != null) {
        if (d.ageRounds() <= old.ageRounds()) sampled.put(d.name(), d);
        continue;
      }
      while (sampled.size() >= SAMPLE_SIZE && !go.isEmpty()) sampled.remove(go.remove(0));
      if (sampled.size() < SAMPLE_SIZE) sampled.put(d.name(), d);
    }
  }

  private static boolean isExpired(Descriptor d) {
    return d.ageRounds()
        > (belongsToDirectory(d) ? DIRECTORY_MAX_AGE_ROUNDS : SAMPLE_MAX_AGE_ROUNDS);
  }

  private void updateDirectory(Descriptor d) {
    if (directory.containsKey(d.name()) || directory.size() < DIRECTORY_SIZE)
      directory.merge(d.name(), d, PartialView::fresher);
  }
}
