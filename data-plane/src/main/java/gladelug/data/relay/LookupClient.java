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
 * Looks up at an index process where a prompt's blocks are: this machine's own, else one of the
 * same zone, else any of the partial view. An answer later than a few milliseconds is dropped; the
 * request goes on without a hint. Confined to the request thread.
 */
public final class LookupClient implements Lookups {
  /** How long an answer is waited for unless a setting says otherwise, in ms. */
  public static final long DEFAULT_WAIT_MS = 8;

  /** How often it is looked which indexes there are, in ms. */
  private static final long REFRESH_INTERVAL_MS = 500;

  private static final int LATE_ANSWER_PENALTY = 2;
  private static final int NO_HINTS_PENALTY = 5;

  /** With more points than these an index is not asked. */
  private static final int MAX_PENALTY = 3;

  private static final int MAX_OVERDUE = 256;
  private final long waitMs;
  private final Vertx vertx;
  private final Context context;
  private final ConnectionAcceptor acceptor;
  private final PartialViewService views;
  private final String zone;
  private final Address ownIndex;
  private final Map<Address, PersistentConnection> connections = new HashMap<>();

  /** Points of an index that was late or had no hints; one fades with each look. */
  private final Map<Address, Integer> penalties = new HashMap<>();

  private final Map<Long, Consumer<LookupResult>> pending = new HashMap<>();

  /** Who wants what late answers tell of the fleet; the eldest give way. */
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
   * own may be null: no index on this machine. waitMs: how long an answer is waited for.
   * oneFollowsAZone: of a zone's indexes only the first by name follows holders, as {@link
   * ZoneFollower} has it, so that only that one has use for placements.
   */
  public LookupClient(
      Vertx vertx,
      Context context,
      ConnectionAcceptor doors,
      PartialViewService views,
      String zone,
      Address own,
      long waitMs,
      boolean oneFollowsAZone) {
    this.waitMs = waitMs;
    this.oneFollowerPerZone = oneFollowsAZone;
    this.vertx = vertx;
    this.context = context;
    this.acceptor = doors;
    this.views = views;
    this.zone = zone;
    this.ownIndex = own;
    vertx.setPeriodic(REFRESH_INTERVAL_MS, timer -> refreshIndexes());
    refreshIndexes();
  }

  /** The indexes that follow holders where one a zone does. */
  static Set<Address> followingIndexes(Collection<Shuffle.Descriptor> seen) {
    return ZoneFollower.followersByZone(seen).values().stream()
        .map(index -> Address.of(index.recordsAddress()))
        .collect(Collectors.toSet());
  }

  /** Goes by the indexes that are seen now: own machine's first, then the zone's, then others. */
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
            throw new IOException("a question where an answer was due");
          context.runOnContext(() -> handleAnswer(index, answer));
        },
        connection -> {});
  }

  private void handleAnswer(Address index, Lookup.Response answer) {
    // one that is warming or stands by is left alone for a while, as one that is late
    if (answer.warm()) penalties.remove(index);
    else penalties.put(index, NO_HINTS_PENALTY);
    Consumer<LookupResult> found = pending.remove(answer.sequence());
    Consumer<Lookup.FleetLoad> late = overdue.remove(answer.sequence());
    if (found != null)
      found.accept(
          new LookupResult(
              answer.warm() ? ANSWERED : "warming", answer.matches(), answer.fleetLoad()));
    else if (late != null && answer.warm()) late.accept(answer.fleetLoad());
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
  public Uni<LookupResult> ask(long[] blocks, Consumer<Lookup.FleetLoad> late) {
    if (blocks.length == 0) return Uni.createFrom().item(new LookupResult("no-block", List.of()));
    return Uni.createFrom()
        .emitter(
            emitter -> {
              if (!askFirstAvailable(blocks, emitter::complete, late))
                emitter.complete(new LookupResult("no-index", List.of()));
            });
  }

  /** Whether an index could be asked: the first in order that is connected and seldom late. */
  private boolean askFirstAvailable(
      long[] blocks, Consumer<LookupResult> found, Consumer<Lookup.FleetLoad> late) {
    long sequence = ++lastSequence;
    for (Address index : preferredIndexes) {
      PersistentConnection connection = connections.get(index);
      if (connection == null || !connection.isOpen()) continue;
      if (penalties.getOrDefault(index, 0) > MAX_PENALTY) continue;
      pending.put(sequence, found);
      if (connection.send(new Lookup.Query(sequence, blocks))) {
        vertx.setTimer(waitMs, timer -> giveUp(sequence, index, late));
        return true;
      }
      pending.remove(sequence);
    }
    return false;
  }

  /** The request goes on without a hint, unless the answer came. */
  private void giveUp(long sequence, Address index, Consumer<Lookup.FleetLoad> late) {
    Consumer<LookupResult> found = pending.remove(sequence);
    if (found == null) return;
    penalties.merge(index, LATE_ANSWER_PENALTY, Integer::sum);
    overdue.put(sequence, late);
    found.accept(new LookupResult("late", List.of()));
  }
}
