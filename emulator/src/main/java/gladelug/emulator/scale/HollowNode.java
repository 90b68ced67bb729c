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
 * A relay reduced to its control traffic. It connects to every member of the core, sends a
 * subscription request with its numbers and leases on each connection every 400 ms, applies pushed
 * updates, shuffles its partial view once a second, and sends lookups to an index. The protocol
 * logic is the production code; connections, timers and counters are implemented here. Many hollow
 * nodes share a process.
 */
final class HollowNode {
  private static final long SUBSCRIPTION_INTERVAL_MS = 400,
      SHUFFLE_INTERVAL_MS = 1000,
      SHUFFLE_TIMEOUT_MS = 900;
  private final Vertx vertx;
  private final Traffic traffic;
  private final ConnectionAcceptor acceptor;
  private final PartialView partialView;
  private final ReplicatedStateView stateView;
  private final List<Address> core;
  private final List<StateUpdate.QuotaDemand> demands;
  private final List<StateUpdate.ServiceCapacity> capacities;
  private final ConcurrentHistogram lookups;
  private final List<PersistentConnection> stateConnections = new ArrayList<>();
  private final Map<Long, Long> lookupStartsNs = new ConcurrentHashMap<>();
  private final long startNs = System.nanoTime();
  private final long[] timers = new long[4];
  private PersistentConnection indexConnection;
  private long lastSequence;
  private int nextCoreMember;

  /**
   * @param core the records addresses of the core's members
   * @param demands the waiting requests that each subscription request reports
   * @param lookups records the latency of each answered lookup, in microseconds
   */
  HollowNode(
      Vertx vertx,
      Traffic traffic,
      String name,
      Address records,
      List<Address> core,
      List<StateUpdate.QuotaDemand> demands,
      List<StateUpdate.ServiceCapacity> capacities,
      ConcurrentHistogram lookups,
      long randomSeed) {
    this.vertx = vertx;
    this.traffic = traffic;
    this.core = core;
    this.demands = demands;
    this.capacities = capacities;
    this.lookups = lookups;
    SplittableRandom random = new SplittableRandom(randomSeed);
    Shuffle.Descriptor self =
        new Shuffle.Descriptor(
            name, "relay", records.toString(), records.toString(), "zone-a", 0, 0);
    acceptor = new ConnectionAcceptor(vertx, records, new BindAddress(records.host()), name);
    partialView = new PartialView(self, random::nextLong);
    stateView = new ReplicatedStateView(self, random.nextLong(1, Long.MAX_VALUE), p -> true);
    nextCoreMember = random.nextInt(core.size());
  }

  /** Starts the node; {@code delayMs} offsets its timers so that nodes do not act in step. */
  void start(Address indexAddress, long delayMs) {
    acceptor.register(
        Hello.SHUFFLE,
        (hello, c) ->
            record -> {
              traffic.count(Traffic.Kind.SHUFFLE, record.length);
              if (!(WireRecord.decode(record, Shuffle::read) instanceof Shuffle.Request q))
                throw new IOException("not a shuffle request");
              Shuffle.Response a;
              synchronized (this) {
                a = partialView.onRequest(q);
              }
              send(Traffic.Kind.SHUFFLE, c, a);
            });
    // decision records of other relays are read and discarded
    acceptor.register(Hello.DECISION_RECORDS, (hello, c) -> record -> {});
    acceptor.start(null);
    for (Address address : core)
      stateConnections.add(
          new PersistentConnection(
              vertx,
              acceptor,
              address,
              Hello.STATE_UPDATES,
              this::handleUpdate,
              this::sendSubscriptionRequest));
    indexConnection =
        new PersistentConnection(
            vertx,
            acceptor,
            indexAddress,
            Hello.LOOKUP,
            (h, record) -> handleLookupResponse(record),
            h -> {});
    timers[0] =
        vertx.setTimer(
            1 + delayMs % SUBSCRIPTION_INTERVAL_MS,
            i ->
                timers[1] =
                    vertx.setPeriodic(
                        SUBSCRIPTION_INTERVAL_MS,
                        j -> stateConnections.forEach(this::sendSubscriptionRequest)));
    timers[2] =
        vertx.setTimer(
            1 + delayMs,
            i -> timers[3] = vertx.setPeriodic(SHUFFLE_INTERVAL_MS, j -> runShuffleRound()));
  }

  void stop() {
    for (long t : timers) vertx.cancelTimer(t);
    stateConnections.forEach(PersistentConnection::close);
    if (indexConnection != null) indexConnection.close();
    acceptor.stop();
  }

  /** Returns the number of the configuration held; 0 if none. */
  synchronized long configurationNumber() {
    return stateView.number(StateKeys.CONFIGURATION);
  }

  private long nowMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  /** Returns whether it holds a valid lease for each key that needs one. */
  synchronized boolean hasValidLeases() {
    return stateView.leases.isValid(nowMs());
  }

  private void sendSubscriptionRequest(PersistentConnection connection) {
    StateUpdate.SubscriptionRequest a;
    synchronized (this) {
      a = stateView.subscriptionRequest(nowMs(), demands, capacities);
    }
    byte[] bytes = WireRecord.encode(a);
    if (connection.send(a)) traffic.count(Traffic.Kind.ASK, bytes.length);
  }

  private void handleUpdate(PersistentConnection connection, byte[] record) throws IOException {
    StateUpdate update = WireRecord.decode(record, StateUpdate::read);
    traffic.count(kindOf(update), record.length);
    ReplicatedStateView.UpdateResult t;
    synchronized (this) {
      t = stateView.apply(update);
    }
    if (t == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
      connection.send(new StateUpdate.FullValueRequest(((StateUpdate.ValuePush) update).key()));
    if (update instanceof StateUpdate.ValuePush) sendSubscriptionRequest(connection);
  }

  private static Traffic.Kind kindOf(StateUpdate update) {
    if (update instanceof StateUpdate.ValuePush p)
      return p.key().equals(StateKeys.CONFIGURATION) ? Traffic.Kind.POLICY : Traffic.Kind.PUSH;
    return update instanceof StateUpdate.CapacityGrant ? Traffic.Kind.ALLOT : Traffic.Kind.GRANTS;
  }

  private void send(Traffic.Kind k, Connection connection, WireRecord message) {
    byte[] bytes = WireRecord.encode(message);
    if (connection.send(bytes)) traffic.count(k, bytes.length);
  }

  private void runShuffleRound() {
    Map.Entry<Shuffle.Descriptor, Shuffle.Request> r;
    Shuffle.Request begin;
    boolean few;
    synchronized (this) {
      r = partialView.nextShuffle();
      few = r == null || partialView.all().size() < 3;
      begin = few ? partialView.createRequest() : null;
    }
    if (r != null) shuffle(Address.of(r.getKey().recordsAddress()), r.getValue());
    if (few) shuffle(core.get(nextCoreMember++ % core.size()), begin);
  }

  private void shuffle(Address address, Shuffle.Request q) {
    acceptor
        .connect(
            address,
            Hello.SHUFFLE,
            connection ->
                record -> {
                  traffic.count(Traffic.Kind.SHUFFLE, record.length);
                  if (WireRecord.decode(record, Shuffle::read) instanceof Shuffle.Response a)
                    synchronized (this) {
                      partialView.onResponse(a);
                    }
                  connection.close();
                })
        .subscribe()
        .with(
            connection -> {
              send(Traffic.Kind.SHUFFLE, connection, q);
              vertx.setTimer(SHUFFLE_TIMEOUT_MS, i -> connection.close());
            },
            failure -> {});
  }

  /** Sends a lookup to the index and records the latency of the response. */
  void sendLookup(long[] blocks) {
    long n;
    synchronized (this) {
      n = ++lastSequence;
    }
    lookupStartsNs.put(n, System.nanoTime());
    byte[] bytes = WireRecord.encode(new Lookup.Query(n, blocks));
    if (indexConnection.send(new Lookup.Query(n, blocks)))
      traffic.count(Traffic.Kind.QUESTION, bytes.length);
    else lookupStartsNs.remove(n);
  }

  private void handleLookupResponse(byte[] record) throws IOException {
    long at = System.nanoTime();
    traffic.count(Traffic.Kind.ANSWER, record.length);
    if (!(WireRecord.decode(record, Lookup::read) instanceof Lookup.Response a))
      throw new IOException("not a lookup response");
    Long since = lookupStartsNs.remove(a.sequence());
    if (since != null) lookups.recordValue(Math.max(1, (at - since) / 1000));
  }
}
