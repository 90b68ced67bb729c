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
  public static final long WAIT = 8;
  private static final int COLD = 5;
  private static final int MOST_OVERDUE = 256;
  private final long waitMs;
  private final Vertx vertx;
  private final Context context;
  private final ConnectionAcceptor doors;
  private final PartialViewService views;
  private final String zone;
  private final Address own;
  private final Map<Address, PersistentConnection> held = new HashMap<>();
  private final Map<Address, Integer> late = new HashMap<>();
  private final Map<Long, Consumer<Found>> asked = new HashMap<>();

  /** Who wants what late answers tell of the fleet; the eldest give way. */
  private final Map<Long, Consumer<Lookup.Fleet>> overdue =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Consumer<Lookup.Fleet>> eldest) {
          return size() > MOST_OVERDUE;
        }
      };

  private List<Address> order = new ArrayList<>();
  private Set<Address> followers = Set.of();
  private final boolean oneFollowsAZone;
  private long nr;

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
    vertx.setPeriodic(500, i -> look());
    look();
  }

  /** The indexes that follow holders where one a zone does. */
  static Set<Address> followers(Collection<Shuffle.Descriptor> seen) {
    return ZoneFollower.byZone(seen).values().stream()
        .map(index -> Address.of(index.records()))
        .collect(Collectors.toSet());
  }

  private void look() {
    List<Address> l = new ArrayList<>();
    if (own != null) l.add(own);
    views.all().stream()
        .filter(d -> d.role().equals("index"))
        .sorted(
            Comparator.comparing((Shuffle.Descriptor d) -> !d.zone().equals(zone))
                .thenComparing(Shuffle.Descriptor::name))
        .map(d -> Address.of(d.records()))
        .filter(a -> !l.contains(a))
        .forEach(l::add);
    order = l;
    followers = oneFollowsAZone ? followers(views.all()) : Set.copyOf(l);
    held.entrySet()
        .removeIf(
            e -> {
              if (l.contains(e.getKey())) return false;
              e.getValue().close();
              return true;
            });
    for (Address a : l)
      held.computeIfAbsent(
          a,
          x ->
              new PersistentConnection(
                  vertx,
                  doors,
                  x,
                  Hello.LOOKUP,
                  (connection, record) -> {
                    if (!(WireRecord.read(record, Lookup::read) instanceof Lookup.Answer s))
                      throw new IOException("a question where an answer was due");
                    context.runOnContext(
                        () -> {
                          // one that is warming or stands by is left alone for a while, as one that
                          // is late
                          if (s.warm()) late.remove(x);
                          else late.put(x, COLD);
                          answered(s);
                        });
                  },
                  connection -> {}));
    late.replaceAll((a, n) -> n - 1);
    late.values().removeIf(n -> n <= 0);
  }

  private void answered(Lookup.Answer answer) {
    Consumer<Found> found = asked.remove(answer.sequence());
    Consumer<Lookup.Fleet> late = overdue.remove(answer.sequence());
    if (found != null)
      found.accept(
          new Found(answer.warm() ? ANSWERED : "warming", answer.matches(), answer.fleet()));
    else if (late != null && answer.warm()) late.accept(answer.fleet());
  }

  @Override
  public void placed(String holder, long[] blocks, Lookup.Work work) {
    if (blocks.length == 0) return;
    Lookup.Placed p = new Lookup.Placed(holder, blocks, work);
    for (Map.Entry<Address, PersistentConnection> index : held.entrySet())
      if (followers.contains(index.getKey())) index.getValue().send(p);
  }

  @Override
  public Uni<Found> ask(long[] blocks) {
    return ask(blocks, fleet -> {});
  }

  @Override
  public Uni<Found> ask(long[] blocks, Consumer<Lookup.Fleet> fleetIfLate) {
    if (blocks.length == 0) return Uni.createFrom().item(new Found("no-block", List.of()));
    return Uni.createFrom()
        .emitter(
            e -> {
              long n = ++nr;
              for (Address address : order) {
                PersistentConnection connection = held.get(address);
                if (connection == null || !connection.open() || late.getOrDefault(address, 0) > 3)
                  continue;
                asked.put(n, e::complete);
                if (!connection.send(new Lookup.Question(n, blocks))) {
                  asked.remove(n);
                  continue;
                }
                vertx.setTimer(
                    waitMs,
                    i -> {
                      Consumer<Found> c = asked.remove(n);
                      if (c == null) return;
                      late.merge(address, 2, Integer::sum);
                      overdue.put(n, fleetIfLate);
                      c.accept(new Found("late", List.of()));
                    });
                return;
              }
              e.complete(new Found("no-index", List.of()));
            });
  }
}
