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
 * A partial view of the fleet, maintained by shuffling. In each round the neighbour with the oldest
 * descriptor is removed from the sample and sent a few descriptors, including the own one; it
 * returns as many. A neighbour that doesn't respond stays removed. A random sample of a large fleet
 * rarely contains the few processes that all others call, so those are kept in a directory beside
 * the sample, and part of it is sent with every exchange. Does no I/O; randomness is injected. A
 * view states whom to call and is never a source of truth about the control state.
 */
public final class PartialView {
  /** Maximum number of descriptors in the sample. */
  private static final int SAMPLE_SIZE = 16;

  /** Number of descriptors, including the own one, that an exchange sends from the sample. */
  private static final int MAX_SENT_FROM_SAMPLE = 6;

  /** Descriptors that were not renewed for more rounds leave the sample. */
  private static final int SAMPLE_MAX_AGE_ROUNDS = 120;

  /** Roles whose processes are all kept, because they are few and called by all others. */
  private static final Set<String> DIRECTORY_ROLES = Set.of("index");

  private static final int DIRECTORY_SIZE = 64;

  /** Maximum number of directory entries that an exchange sends. */
  static final int MAX_SENT_FROM_DIRECTORY = 16;

  /** Descriptors that were not renewed for more rounds leave the directory. */
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

  /** Returns the sample and the whole directory. */
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

  /** Starts a round; returns the neighbour and the request to send, or null if there is none. */
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

  /** Returns a request for a seed, of which only the address is known. */
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
   * Returns the descriptors of an exchange: the drawn ones, the own one and some of the directory.
   * Directory entries also age each time they are sent, so that those of dead processes don't stay
   * young by being passed around.
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

  private static Descriptor fresher(Descriptor first, Descriptor second) {
    return second.ageRounds() <= first.ageRounds() ? second : first;
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
