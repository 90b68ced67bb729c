package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.PersistentConnection;
import gladelug.common.message.Hello;
import gladelug.common.message.Lookup;
import gladelug.common.message.Shuffle;
import gladelug.common.message.WireRecord;
import gladelug.common.view.PartialViewService;
import gladelug.data.index.ZoneFollower;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Context;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Looks up the holders of a prompt's blocks at an index process: the one on this machine, else one
 * of the same zone, else any in the partial view. Late answers are dropped and the request
 * continues without a hint. Confined to the request thread.
 */
public final class LookupClient implements Lookups {
  /** Default time to wait for an answer, in ms. */
  public static final long DEFAULT_WAIT_MS = 8;

  /** Interval at which the list of indexes is refreshed, in ms. */
  private static final long REFRESH_INTERVAL_MS = 500;

  /** Penalty points for a late answer, and for an answer without hints. */
  private static final int LATE_ANSWER_PENALTY = 2;

  private static final int NO_HINTS_PENALTY = 5;

  /** An index with more penalty points than this is not asked. */
  private static final int MAX_PENALTY = 3;

  /** Maximum number of late answers that are remembered. */
  private static final int MAX_OVERDUE = 256;

  private final long waitMs;
  private final Vertx vertx;
  private final Context context;
  private final ConnectionAcceptor acceptor;
  private final PartialViewService views;
  private final String zone;
  private final Address ownIndex;
  private final Map<Address, PersistentConnection> connections = new HashMap<>();

  /**
   * Penalty points of indexes that answered late or had no hints; one point is removed at each
   * refresh.
   */
  private final Map<Address, Integer> penalties = new HashMap<>();

  private final Map<Long, Consumer<LookupResult>> pending = new HashMap<>();

  /** Callbacks for the fleet load in late answers; the oldest are dropped. */
  private final Map<Long, Consumer<Lookup.FleetLoad>> overdue =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Consumer<Lookup.FleetLoad>> eldest) {
          return size() > MAX_OVERDUE;
        }
      };

  private List<Address> preferredIndexes = new ArrayList<>();
  private Set<Address> followingIndexes = Set.of();
  private final boolean oneFollowerPerZone;
  private long lastSequence;

  /**
   * Creates a client and starts to refresh its list of indexes.
   *
   * @param ownIndex the index on this machine, or null
   * @param waitMs how long to wait for an answer
   * @param oneFollowerPerZone whether only the first index of a zone by name follows holders (see
   *     {@link ZoneFollower}), so that only that one is told of placements
   */
  public LookupClient(
      Vertx vertx,
      Context context,
      ConnectionAcceptor acceptor,
      PartialViewService views,
      String zone,
      Address ownIndex,
      long waitMs,
      boolean oneFollowerPerZone) {
    this.waitMs = waitMs;
    this.oneFollowerPerZone = oneFollowerPerZone;
    this.vertx = vertx;
    this.context = context;
    this.acceptor = acceptor;
    this.views = views;
    this.zone = zone;
    this.ownIndex = ownIndex;
    vertx.setPeriodic(REFRESH_INTERVAL_MS, timer -> refreshIndexes());
    refreshIndexes();
  }

  /** Returns the indexes that follow holders if one per zone does. */
  static Set<Address> followingIndexes(Collection<Shuffle.Descriptor> seen) {
    return ZoneFollower.followersByZone(seen).values().stream()
        .map(index -> Address.of(index.recordsAddress()))
        .collect(Collectors.toSet());
  }

  /**
   * Applies the indexes in the current view, in order of preference: own machine, same zone,
   * others.
   */
  private void refreshIndexes() {
    preferredIndexes = inPreferenceOrder(views.all());
    followingIndexes =
        oneFollowerPerZone ? followingIndexes(views.all()) : Set.copyOf(preferredIndexes);
    connections
        .entrySet()
        .removeIf(
            index -> {
              if (preferredIndexes.contains(index.getKey())) return false;
              index.getValue().close();
              return true;
            });
    for (Address index : preferredIndexes) connections.computeIfAbsent(index, this::connect);
    penalties.replaceAll((index, points) -> points - 1);
    penalties.values().removeIf(points -> points <= 0);
  }

  private List<Address> inPreferenceOrder(Collection<Shuffle.Descriptor> seen) {
    List<Address> indexes = new ArrayList<>();
    if (ownIndex != null) indexes.add(ownIndex);
    seen.stream()
        .filter(process -> process.role().equals("index"))
        .sorted(
            Comparator.comparing((Shuffle.Descriptor process) -> !process.zone().equals(zone))
                .thenComparing(Shuffle.Descriptor::name))
        .map(process -> Address.of(process.recordsAddress()))
        .filter(index -> !indexes.contains(index))
        .forEach(indexes::add);
    return indexes;
  }

  private PersistentConnection connect(Address index) {
    return new PersistentConnection(
        vertx,
        acceptor,
        index,
        Hello.LOOKUP,
        (connection, record) -> {
          if (!(WireRecord.decode(record, Lookup::read) instanceof Lookup.Response answer))
            throw new IOException("received a question instead of an answer");
          context.runOnContext(() -> handleAnswer(index, answer));
        },
        connection -> {});
  }

  private void handleAnswer(Address index, Lookup.Response answer) {
    // an index that is warming up or standing by is avoided for a while, like a late one
    if (answer.warm()) penalties.remove(index);
    else penalties.put(index, NO_HINTS_PENALTY);
    Consumer<LookupResult> onResult = pending.remove(answer.sequence());
    Consumer<Lookup.FleetLoad> onLateAnswer = overdue.remove(answer.sequence());
    if (onResult != null)
      onResult.accept(
          new LookupResult(
              answer.warm() ? ANSWERED : "warming", answer.matches(), answer.fleetLoad()));
    else if (onLateAnswer != null && answer.warm()) onLateAnswer.accept(answer.fleetLoad());
  }

  @Override
  public void recordPlacement(String holder, long[] blocks, Lookup.Work work) {
    if (blocks.length == 0) return;
    Lookup.Placement placed = new Lookup.Placement(holder, blocks, work);
    for (Map.Entry<Address, PersistentConnection> index : connections.entrySet())
      if (followingIndexes.contains(index.getKey())) index.getValue().send(placed);
  }

  @Override
  public Uni<LookupResult> ask(long[] blocks) {
    return ask(blocks, fleet -> {});
  }

  @Override
  public Uni<LookupResult> ask(long[] blocks, Consumer<Lookup.FleetLoad> onLateAnswer) {
    if (blocks.length == 0) return Uni.createFrom().item(new LookupResult("no-block", List.of()));
    return Uni.createFrom()
        .emitter(
            emitter -> {
              if (!askFirstAvailable(blocks, emitter::complete, onLateAnswer))
                emitter.complete(new LookupResult("no-index", List.of()));
            });
  }

  /**
   * Asks the first connected index in order of preference that is not penalized. Returns false if
   * there is none.
   */
  private boolean askFirstAvailable(
      long[] blocks, Consumer<LookupResult> onResult, Consumer<Lookup.FleetLoad> onLateAnswer) {
    long sequence = ++lastSequence;
    for (Address index : preferredIndexes) {
      PersistentConnection connection = connections.get(index);
      if (connection == null || !connection.isOpen()) continue;
      if (penalties.getOrDefault(index, 0) > MAX_PENALTY) continue;
      pending.put(sequence, onResult);
      if (connection.send(new Lookup.Query(sequence, blocks))) {
        vertx.setTimer(waitMs, timer -> giveUp(sequence, index, onLateAnswer));
        return true;
      }
      pending.remove(sequence);
    }
    return false;
  }

  /** Lets the request continue without a hint unless the answer arrived. */
  private void giveUp(long sequence, Address index, Consumer<Lookup.FleetLoad> onLateAnswer) {
    Consumer<LookupResult> onResult = pending.remove(sequence);
    if (onResult == null) return;
    penalties.merge(index, LATE_ANSWER_PENALTY, Integer::sum);
    overdue.put(sequence, onLateAnswer);
    onResult.accept(new LookupResult("late", List.of()));
  }
}
