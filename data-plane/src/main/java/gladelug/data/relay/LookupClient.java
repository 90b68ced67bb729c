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
  public static final long WAIT = 8;

  /** How often it is looked which indexes there are, in ms. */
  private static final long LOOK_MS = 500;

  private static final int LATENESS_OF_AN_ANSWER = 2;
  private static final int LATENESS_OF_NO_HINTS = 5;

  /** With more points than these an index is not asked. */
  private static final int MOST_LATENESS = 3;

  private static final int MOST_OVERDUE = 256;
  private final long waitMs;
  private final Vertx vertx;
  private final Context context;
  private final ConnectionAcceptor doors;
  private final PartialViewService views;
  private final String zone;
  private final Address own;
  private final Map<Address, PersistentConnection> held = new HashMap<>();

  /** Points of an index that was late or had no hints; one fades with each look. */
  private final Map<Address, Integer> lateness = new HashMap<>();

  private final Map<Long, Consumer<Found>> asked = new HashMap<>();

  /** Who wants what late answers tell of the fleet; the eldest give way. */
  private final Map<Long, Consumer<Lookup.FleetLoad>> overdue =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Consumer<Lookup.FleetLoad>> eldest) {
          return size() > MOST_OVERDUE;
        }
      };

  private List<Address> order = new ArrayList<>();
  private Set<Address> followers = Set.of();
  private final boolean oneFollowsAZone;
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
    this.oneFollowsAZone = oneFollowsAZone;
    this.vertx = vertx;
    this.context = context;
    this.doors = doors;
    this.views = views;
    this.zone = zone;
    this.own = own;
    vertx.setPeriodic(LOOK_MS, timer -> look());
    look();
  }

  /** The indexes that follow holders where one a zone does. */
  static Set<Address> followers(Collection<Shuffle.Descriptor> seen) {
    return ZoneFollower.byZone(seen).values().stream()
        .map(index -> Address.of(index.recordsAddress()))
        .collect(Collectors.toSet());
  }

  /** Goes by the indexes that are seen now: own machine's first, then the zone's, then others. */
  private void look() {
    order = inOrder(views.all());
    followers = oneFollowsAZone ? followers(views.all()) : Set.copyOf(order);
    held.entrySet()
        .removeIf(
            index -> {
              if (order.contains(index.getKey())) return false;
              index.getValue().close();
              return true;
            });
    for (Address index : order) held.computeIfAbsent(index, this::connect);
    lateness.replaceAll((index, points) -> points - 1);
    lateness.values().removeIf(points -> points <= 0);
  }

  private List<Address> inOrder(Collection<Shuffle.Descriptor> seen) {
    List<Address> indexes = new ArrayList<>();
    if (own != null) indexes.add(own);
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
        doors,
        index,
        Hello.LOOKUP,
        (connection, record) -> {
          if (!(WireRecord.decode(record, Lookup::read) instanceof Lookup.Response answer))
            throw new IOException("a question where an answer was due");
          context.runOnContext(() -> answered(index, answer));
        },
        connection -> {});
  }

  private void answered(Address index, Lookup.Response answer) {
    // one that is warming or stands by is left alone for a while, as one that is late
    if (answer.warm()) lateness.remove(index);
    else lateness.put(index, LATENESS_OF_NO_HINTS);
    Consumer<Found> found = asked.remove(answer.sequence());
    Consumer<Lookup.FleetLoad> late = overdue.remove(answer.sequence());
    if (found != null)
      found.accept(
          new Found(answer.warm() ? ANSWERED : "warming", answer.matches(), answer.fleetLoad()));
    else if (late != null && answer.warm()) late.accept(answer.fleetLoad());
  }

  @Override
  public void placed(String holder, long[] blocks, Lookup.Work work) {
    if (blocks.length == 0) return;
    Lookup.Placement placed = new Lookup.Placement(holder, blocks, work);
    for (Map.Entry<Address, PersistentConnection> index : held.entrySet())
      if (followers.contains(index.getKey())) index.getValue().send(placed);
  }

  @Override
  public Uni<Found> ask(long[] blocks) {
    return ask(blocks, fleet -> {});
  }

  @Override
  public Uni<Found> ask(long[] blocks, Consumer<Lookup.FleetLoad> late) {
    if (blocks.length == 0) return Uni.createFrom().item(new Found("no-block", List.of()));
    return Uni.createFrom()
        .emitter(
            emitter -> {
              if (!askFirstThatAnswers(blocks, emitter::complete, late))
                emitter.complete(new Found("no-index", List.of()));
            });
  }

  /** Whether an index could be asked: the first in order that is connected and seldom late. */
  private boolean askFirstThatAnswers(
      long[] blocks, Consumer<Found> found, Consumer<Lookup.FleetLoad> late) {
    long sequence = ++lastSequence;
    for (Address index : order) {
      PersistentConnection connection = held.get(index);
      if (connection == null || !connection.isOpen()) continue;
      if (lateness.getOrDefault(index, 0) > MOST_LATENESS) continue;
      asked.put(sequence, found);
      if (connection.send(new Lookup.Query(sequence, blocks))) {
        vertx.setTimer(waitMs, timer -> giveUp(sequence, index, late));
        return true;
      }
      asked.remove(sequence);
    }
    return false;
  }

  /** The request goes on without a hint, unless the answer came. */
  private void giveUp(long sequence, Address index, Consumer<Lookup.FleetLoad> late) {
    Consumer<Found> found = asked.remove(sequence);
    if (found == null) return;
    lateness.merge(index, LATENESS_OF_AN_ANSWER, Integer::sum);
    overdue.put(sequence, late);
    found.accept(new Found("late", List.of()));
  }
}
