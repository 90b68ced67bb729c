package gladelug.emulator.scale;

import gladelug.common.Address;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.Connection;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.PersistentConnection;
import gladelug.common.message.Hello;
import gladelug.common.message.Lookup;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.common.message.WireRecord;
import gladelug.common.view.PartialView;
import gladelug.data.state.ReplicatedStateView;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * A relay with nothing in it but what it says to others: it holds connections to every member of
 * the core and asks on each every 400 ms with the numbers and leases it holds, takes pushes,
 * shuffles its view once a second, and asks an index. The pure parts are the product's own;
 * connections, timers and counting are here. Many share a process.
 */
final class HollowNode {
  private static final long ASK = 400, ROUND = 1000, ANSWER = 900;
  private final Vertx vertx;
  private final Traffic traffic;
  private final ConnectionAcceptor doors;
  private final PartialView views;
  private final ReplicatedStateView book;
  private final List<Address> core;
  private final List<StateUpdate.QuotaDemand> demands;
  private final List<StateUpdate.ServiceCapacity> places;
  private final ConcurrentHistogram lookups;
  private final List<PersistentConnection> news = new ArrayList<>();
  private final Map<Long, Long> asked = new ConcurrentHashMap<>();
  private final long begun = System.nanoTime();
  private final long[] timers = new long[4];
  private PersistentConnection index;
  private long nr;
  private int seed;

  /**
   * @param core records addresses of the core's members
   * @param demands what it has waiting, told with each asking
   * @param lookups where the microseconds of each answered question go
   */
  HollowNode(
      Vertx vertx,
      Traffic traffic,
      String name,
      Address records,
      List<Address> core,
      List<StateUpdate.QuotaDemand> demands,
      List<StateUpdate.ServiceCapacity> places,
      ConcurrentHistogram lookups,
      long random) {
    this.vertx = vertx;
    this.traffic = traffic;
    this.core = core;
    this.demands = demands;
    this.places = places;
    this.lookups = lookups;
    SplittableRandom r = new SplittableRandom(random);
    Shuffle.Descriptor self =
        new Shuffle.Descriptor(
            name, "relay", records.toString(), records.toString(), "zone-a", 0, 0);
    doors = new ConnectionAcceptor(vertx, records, new BindAddress(records.host()), name);
    views = new PartialView(self, r::nextLong);
    book = new ReplicatedStateView(self, r.nextLong(1, Long.MAX_VALUE), p -> true);
    seed = r.nextInt(core.size());
  }

  /** Begins; its askings and rounds fall at a time of its own, late by so many ms. */
  void start(Address indexAt, long late) {
    doors.register(
        Hello.SHUFFLE,
        (hello, c) ->
            record -> {
              traffic.count(Traffic.Kind.SHUFFLE, record.length);
              if (!(WireRecord.decode(record, Shuffle::read) instanceof Shuffle.Request q))
                throw new IOException("no request");
              Shuffle.Response a;
              synchronized (this) {
                a = views.onRequest(q);
              }
              send(Traffic.Kind.SHUFFLE, c, a);
            });
    // what other relays hand on of their requests is read and forgotten
    doors.register(Hello.DECISION_RECORDS, (hello, c) -> record -> {});
    doors.start(null);
    for (Address address : core)
      news.add(
          new PersistentConnection(
              vertx, doors, address, Hello.STATE_UPDATES, this::told, this::ask));
    index =
        new PersistentConnection(
            vertx, doors, indexAt, Hello.LOOKUP, (h, record) -> answered(record), h -> {});
    timers[0] =
        vertx.setTimer(
            1 + late % ASK, i -> timers[1] = vertx.setPeriodic(ASK, j -> news.forEach(this::ask)));
    timers[2] = vertx.setTimer(1 + late, i -> timers[3] = vertx.setPeriodic(ROUND, j -> round()));
  }

  void stop() {
    for (long t : timers) vertx.cancelTimer(t);
    news.forEach(PersistentConnection::close);
    if (index != null) index.close();
    doors.stop();
  }

  /** The number of the configuration held. */
  synchronized long configuration() {
    return book.number(StateKeys.CONFIGURATION);
  }

  private long now() {
    return (System.nanoTime() - begun) / 1_000_000;
  }

  /** Holds a lease for each key that needs one. */
  synchronized boolean leased() {
    return book.leases.isValid(now());
  }

  private void ask(PersistentConnection connection) {
    StateUpdate.SubscriptionRequest a;
    synchronized (this) {
      a = book.subscriptionRequest(now(), demands, places);
    }
    byte[] bytes = WireRecord.encode(a);
    if (connection.send(a)) traffic.count(Traffic.Kind.ASK, bytes.length);
  }

  private void told(PersistentConnection connection, byte[] record) throws IOException {
    StateUpdate update = WireRecord.decode(record, StateUpdate::read);
    traffic.count(kind(update), record.length);
    ReplicatedStateView.UpdateResult t;
    synchronized (this) {
      t = book.apply(update);
    }
    if (t == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
      connection.send(new StateUpdate.FullValueRequest(((StateUpdate.ValuePush) update).key()));
    if (update instanceof StateUpdate.ValuePush) ask(connection);
  }

  private static Traffic.Kind kind(StateUpdate update) {
    if (update instanceof StateUpdate.ValuePush p)
      return p.key().equals(StateKeys.CONFIGURATION) ? Traffic.Kind.POLICY : Traffic.Kind.PUSH;
    return update instanceof StateUpdate.CapacityGrant ? Traffic.Kind.ALLOT : Traffic.Kind.GRANTS;
  }

  private void send(Traffic.Kind k, Connection connection, WireRecord message) {
    byte[] bytes = WireRecord.encode(message);
    if (connection.send(bytes)) traffic.count(k, bytes.length);
  }

  private void round() {
    Map.Entry<Shuffle.Descriptor, Shuffle.Request> r;
    Shuffle.Request begin;
    boolean few;
    synchronized (this) {
      r = views.nextShuffle();
      few = r == null || views.all().size() < 3;
      begin = few ? views.createRequest() : null;
    }
    if (r != null) shuffle(Address.of(r.getKey().recordsAddress()), r.getValue());
    if (few) shuffle(core.get(seed++ % core.size()), begin);
  }

  private void shuffle(Address address, Shuffle.Request q) {
    doors
        .connect(
            address,
            Hello.SHUFFLE,
            connection ->
                record -> {
                  traffic.count(Traffic.Kind.SHUFFLE, record.length);
                  if (WireRecord.decode(record, Shuffle::read) instanceof Shuffle.Response a)
                    synchronized (this) {
                      views.onResponse(a);
                    }
                  connection.close();
                })
        .subscribe()
        .with(
            connection -> {
              send(Traffic.Kind.SHUFFLE, connection, q);
              vertx.setTimer(ANSWER, i -> connection.close());
            },
            failure -> {});
  }

  /** A question to the index; how long its answer takes is recorded. */
  void lookup(long[] blocks) {
    long n;
    synchronized (this) {
      n = ++nr;
    }
    asked.put(n, System.nanoTime());
    byte[] bytes = WireRecord.encode(new Lookup.Query(n, blocks));
    if (index.send(new Lookup.Query(n, blocks))) traffic.count(Traffic.Kind.QUESTION, bytes.length);
    else asked.remove(n);
  }

  private void answered(byte[] record) throws IOException {
    long at = System.nanoTime();
    traffic.count(Traffic.Kind.ANSWER, record.length);
    if (!(WireRecord.decode(record, Lookup::read) instanceof Lookup.Response a))
      throw new IOException("no answer");
    Long since = asked.remove(a.sequence());
    if (since != null) lookups.recordValue(Math.max(1, (at - since) / 1000));
  }
}
