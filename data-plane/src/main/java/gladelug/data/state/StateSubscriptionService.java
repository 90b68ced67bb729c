package gladelug.data.state;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.Result;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.CoreMemberList;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.PersistentConnection;
import gladelug.common.message.Hello;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateUpdate;
import gladelug.common.message.WireRecord;
import gladelug.common.view.PartialViewService;
import io.vertx.mutiny.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Subscribes this process to the core: persistent connections to every core member it knows of,
 * with a subscription request on each every 400 ms; pushes become a new snapshot and are
 * acknowledged by a request at once. Whom to connect to comes from the newest member list, else
 * from the partial view, else from the seeds, so it goes on when all of the core has moved.
 */
public final class StateSubscriptionService implements ServiceRegistry.Service {
  /** How often the core is asked where nothing else is set, in ms. */
  public static final long REQUEST_INTERVAL_MS = 400;

  private static final long CONNECTION_CHECK_INTERVAL_MS = 1000;
  private final long requestIntervalMs;
  private final Vertx vertx;
  private final List<Address> seeds;
  private final long run = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private final SingleThreadWorker worker;
  private final Map<Address, PersistentConnection> connections = new ConcurrentHashMap<>();
  private final List<Consumer<ControlStateSnapshot>> listeners = new CopyOnWriteArrayList<>();
  public final StateSubscription subscription;
  private long generation;
  private ConnectionAcceptor acceptor;
  private PartialViewService partialView;

  public StateSubscriptionService(
      Vertx vertx, Clock clock, Shuffle.Descriptor self, List<Address> seeds) {
    this(vertx, clock, self, seeds, REQUEST_INTERVAL_MS, Configuration::parse);
  }

  /**
   * askMs: how often the core is asked; reader: how the configuration, as operators sent it, is
   * read.
   */
  public StateSubscriptionService(
      Vertx vertx,
      Clock clock,
      Shuffle.Descriptor self,
      List<Address> seeds,
      long askMs,
      Function<String, Result<Configuration>> reader) {
    this.requestIntervalMs = askMs;
    this.vertx = vertx;
    this.seeds = seeds;
    this.worker = new SingleThreadWorker("news", 4096, clock);
    this.subscription = new StateSubscription(clock, self, run, this::onSnapshot, reader);
  }

  private void onSnapshot(ControlStateSnapshot snapshot) {
    if (snapshot.generation() != generation) {
      generation = snapshot.generation();
      partialView.advanceGeneration(generation);
      updateConnections();
    }
    for (Consumer<ControlStateSnapshot> l : listeners) l.accept(snapshot);
  }

  public long run() {
    return run;
  }

  /**
   * Called on the news duty with what is held now, which may have come before anybody listened, and
   * after each swap.
   */
  public void addListener(Consumer<ControlStateSnapshot> l) {
    worker.offer(
        () -> {
          listeners.add(l);
          l.accept(subscription.snapshot());
        });
  }

  @Override
  public void start(ServiceRegistry registry) {
    acceptor = registry.find("doors", ConnectionAcceptor.class);
    partialView = registry.find("views", PartialViewService.class);
    worker.scheduleEvery(CONNECTION_CHECK_INTERVAL_MS, this::updateConnections);
    worker.scheduleEvery(requestIntervalMs, this::sendRequests);
  }

  private void updateConnections() {
    Set<Address> want = new HashSet<>();
    for (CoreMemberList.Member m : subscription.snapshot().core().members())
      want.add(m.recordsAddress());
    boolean reached = connections.values().stream().anyMatch(PersistentConnection::isOpen);
    if (want.isEmpty() || !reached) {
      for (Shuffle.Descriptor d : partialView.all())
        if (d.role().equals("control")) want.add(Address.of(d.recordsAddress()));
      if (subscription.snapshot().core().members().isEmpty()) want.addAll(seeds);
    }
    connections
        .entrySet()
        .removeIf(
            e -> {
              if (want.contains(e.getKey())) return false;
              e.getValue().close();
              return true;
            });
    for (Address a : want)
      connections.computeIfAbsent(
          a,
          x ->
              new PersistentConnection(
                  vertx,
                  acceptor,
                  x,
                  Hello.STATE_UPDATES,
                  (connection, record) -> {
                    StateUpdate update = WireRecord.decode(record, StateUpdate::read);
                    worker.offer(() -> onUpdate(connection, update));
                  },
                  connection ->
                      worker.offer(() -> connection.send(subscription.subscriptionRequest()))));
  }

  /** Whether a connection to the core member with this address for records is open now. */
  public boolean isConnectedTo(Address records) {
    PersistentConnection connection = connections.get(records);
    return connection != null && connection.isOpen();
  }

  private void sendRequests() {
    StateUpdate.SubscriptionRequest a = subscription.subscriptionRequest();
    for (PersistentConnection connection : connections.values()) connection.send(a);
  }

  private void onUpdate(PersistentConnection from, StateUpdate update) {
    if (subscription.apply(update) == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
      from.send(new StateUpdate.FullValueRequest(((StateUpdate.ValuePush) update).key()));
    if (update instanceof StateUpdate.ValuePush) from.send(subscription.subscriptionRequest());
  }

  @Override
  public void stop() {
    worker.close();
    for (PersistentConnection connection : connections.values()) connection.close();
  }
}
