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

  public void advanceGeneration(long newGeneration) {
    generation = Math.max(generation, newGeneration);
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
    sampled.replaceAll((name, descriptor) -> descriptor.aged());
    sampled.values().removeIf(PartialView::isExpired);
    directory.replaceAll((name, descriptor) -> descriptor.aged());
    directory.values().removeIf(PartialView::isExpired);
    Descriptor oldest =
        sampled.values().stream().max(Comparator.comparingInt(Descriptor::ageRounds)).orElse(null);
    if (oldest == null) return null;
    sampled.remove(oldest.name());
    return Map.entry(oldest, createRequest());
  }

  /** What to say to a seed, of which only the address is known. */
  public Shuffle.Request createRequest() {
    List<Descriptor> drawn = drawSample(sampled, MAX_SENT_FROM_SAMPLE - 1);
    sentNames = drawn.stream().map(Descriptor::name).toList();
    return new Shuffle.Request(composeExchange(drawn));
  }

  public Shuffle.Response onRequest(Shuffle.Request request) {
    List<Descriptor> drawn = drawSample(sampled, MAX_SENT_FROM_SAMPLE - 1);
    List<String> names = drawn.stream().map(Descriptor::name).toList();
    Shuffle.Response response = new Shuffle.Response(composeExchange(drawn));
    merge(request.descriptors(), names);
    return response;
  }

  public void onResponse(Shuffle.Response response) {
    merge(response.descriptors(), sentNames);
  }

  /**
   * These, our own descriptor, and some of the directory: what an exchange brings. Entries of the
   * directory age by being passed on as well, so that those of the dead don't stay young by going
   * from hand to hand.
   */
  private List<Descriptor> composeExchange(List<Descriptor> drawn) {
    Map<String, Descriptor> descriptors = new LinkedHashMap<>();
    for (Descriptor descriptor : drawSample(directory, MAX_SENT_FROM_DIRECTORY))
      descriptors.put(descriptor.name(), descriptor.aged());
    for (Descriptor descriptor : drawn)
      descriptors.putIfAbsent(
          descriptor.name(), belongsToDirectory(descriptor) ? descriptor.aged() : descriptor);
    descriptors.put(self.name(), selfDescriptor());
    return List.copyOf(descriptors.values());
  }

  private static boolean belongsToDirectory(Descriptor descriptor) {
    return DIRECTORY_ROLES.contains(descriptor.role());
  }

  private static Descriptor fresher(Descriptor a, Descriptor b) {
    return b.ageRounds() <= a.ageRounds() ? b : a;
  }

  private List<Descriptor> drawSample(Map<String, Descriptor> candidatesByName, int count) {
    List<Descriptor> candidates = new ArrayList<>(candidatesByName.values());
    List<Descriptor> drawn = new ArrayList<>();
    while (!candidates.isEmpty() && drawn.size() < count)
      drawn.add(candidates.remove((int) random.applyAsLong(candidates.size())));
    return drawn;
  }

  private void merge(List<Descriptor> received, List<String> replaceableNames) {
    List<String> replaceable = new ArrayList<>(replaceableNames);
    for (Descriptor descriptor : received) {
      if (descriptor.name().equals(self.name()) || isExpired(descriptor)) continue;
      if (belongsToDirectory(descriptor)) updateDirectory(descriptor);
      Descriptor known = sampled.get(descriptor.name());
      if (known != null) {
        if (descriptor.ageRounds() <= known.ageRounds()) sampled.put(descriptor.name(), descriptor);
        continue;
      }
      while (sampled.size() >= SAMPLE_SIZE && !replaceable.isEmpty())
        sampled.remove(replaceable.remove(0));
      if (sampled.size() < SAMPLE_SIZE) sampled.put(descriptor.name(), descriptor);
    }
  }

  private static boolean isExpired(Descriptor descriptor) {
    return descriptor.ageRounds()
        > (belongsToDirectory(descriptor) ? DIRECTORY_MAX_AGE_ROUNDS : SAMPLE_MAX_AGE_ROUNDS);
  }

  private void updateDirectory(Descriptor descriptor) {
    if (directory.containsKey(descriptor.name()) || directory.size() < DIRECTORY_SIZE)
      directory.merge(descriptor.name(), descriptor, PartialView::fresher);
  }
}
