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
  private static final int SIZE = 16;

  /** Descriptors of the sample, our own among them, that an exchange brings. */
  private static final int SHARED = 6;

  /** After how many rounds without fresh word of it a process leaves the sample. */
  private static final int FORGET = 120;

  /** Of which roles all processes are known, as everybody calls them and they are few. */
  private static final Set<String> DIRECTORY_ROLES = Set.of("index");

  private static final int DIRECTORY_SIZE = 64;

  /** How many of the directory an exchange brings at most. */
  static final int DIRECTORY_SHARED = 16;

  /** After how many rounds without fresh word of it a process leaves the directory. */
  static final int DIRECTORY_FORGET = 20;

  private final Descriptor self;
  private final LongUnaryOperator random;
  private final Map<String, Descriptor> view = new LinkedHashMap<>();
  private final Map<String, Descriptor> directory = new LinkedHashMap<>();
  private List<String> given = List.of();
  private long generation;

  public PartialView(Descriptor self, LongUnaryOperator random) {
    this.self = self;
    this.random = random;
  }

  public void generation(long g) {
    generation = Math.max(generation, g);
  }

  /** The sample, and all of the directory. */
  public List<Descriptor> all() {
    Map<String, Descriptor> all = new LinkedHashMap<>(view);
    all.putAll(directory);
    return new ArrayList<>(all.values());
  }

  Descriptor me() {
    return new Descriptor(
        self.name(), self.role(), self.records(), self.operator(), self.zone(), generation, 0);
  }

  /** Whom to shuffle with now and what to say, or null where the view is empty. */
  public Map.Entry<Descriptor, Shuffle.Request> nextShuffle() {
    view.replaceAll((n, d) -> d.older());
    view.values().removeIf(PartialView::forgotten);
    directory.replaceAll((n, d) -> d.older());
    directory.values().removeIf(PartialView::forgotten);
    Descriptor q =
        view.values().stream().max(Comparator.comparingInt(Descriptor::age)).orElse(null);
    if (q == null) return null;
    view.remove(q.name());
    return Map.entry(q, start());
  }

  /** What to say to a seed, of which only the address is known. */
  public Shuffle.Request start() {
    List<Descriptor> l = sample(view, SHARED - 1);
    given = l.stream().map(Descriptor::name).toList();
    return new Shuffle.Request(withDirectory(l));
  }

  public Shuffle.Answer onRequest(Shuffle.Request r) {
    List<Descriptor> l = sample(view, SHARED - 1);
    List<String> names = l.stream().map(Descriptor::name).toList();
    Shuffle.Answer answer = new Shuffle.Answer(withDirectory(l));
    merge(r.some(), names);
    return answer;
  }

  public void onAnswer(Shuffle.Answer a) {
    merge(a.some(), given);
  }

  /**
   * These, our own descriptor, and some of the directory: what an exchange brings. Entries of the
   * directory age by being passed on as well, so that those of the dead don't stay young by going
   * from hand to hand.
   */
  private List<Descriptor> withDirectory(List<Descriptor> sampled) {
    Map<String, Descriptor> out = new LinkedHashMap<>();
    for (Descriptor d : sample(directory, DIRECTORY_SHARED)) out.put(d.name(), d.older());
    for (Descriptor d : sampled) out.putIfAbsent(d.name(), inDirectory(d) ? d.older() : d);
    out.put(self.name(), me());
    return List.copyOf(out.values());
  }

  private static boolean inDirectory(Descriptor d) {
    return DIRECTORY_ROLES.contains(d.role());
  }

  private static Descriptor fresher(Descriptor a, Descriptor b) {
    return b.age() <= a.age() ? b : a;
  }

  private List<Descriptor> sample(Map<String, Descriptor> from, int n) {
    List<Descriptor> l = new ArrayList<>(from.values());
    List<Descriptor> out = new ArrayList<>();
    while (!l.isEmpty() && out.size() < n) out.add(l.remove((int) random.applyAsLong(l.size())));
    return out;
  }

  private void merge(List<Descriptor> got, List<String> mayGo) {
    List<String> go = new ArrayList<>(mayGo);
    for (Descriptor d : got) {
      if (d.name().equals(self.name()) || forgotten(d)) continue;
      if (inDirectory(d)) note(d);
      Descriptor old = view.get(d.name());
      if (old != null) {
        if (d.age() <= old.age()) view.put(d.name(), d);
        continue;
      }
      while (view.size() >= SIZE && !go.isEmpty()) view.remove(go.remove(0));
      if (view.size() < SIZE) view.put(d.name(), d);
    }
  }

  private static boolean forgotten(Descriptor d) {
    return d.age() > (inDirectory(d) ? DIRECTORY_FORGET : FORGET);
  }

  private void note(Descriptor d) {
    if (directory.containsKey(d.name()) || directory.size() < DIRECTORY_SIZE)
      directory.merge(d.name(), d, PartialView::fresher);
  }
}
