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
 * Subscribes this process to the core: keeps a persistent connection to every known core member and
 * sends a subscription request on each every 400 ms. A push becomes a new snapshot and is
 * acknowledged by an immediate request. The members come from the newest member list, else from the
 * partial view, else from the seeds, so the subscription survives the replacement of the whole
 * core.
 */
public final class StateSubscriptionService implements ServiceRegistry.Service {
  /** The default interval of subscription requests, in ms. */
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
   * Creates a service.
   *
   * @param requestIntervalMs interval of subscription requests
   * @param configurationParser parses the configuration text as operators sent it
   */
  public StateSubscriptionService(
      Vertx vertx,
      Clock clock,
      Shuffle.Descriptor self,
      List<Address> seeds,
      long requestIntervalMs,
      Function<String, Result<Configuration>> configurationParser) {
    this.requestIntervalMs = requestIntervalMs;
    this.vertx = vertx;
    this.seeds = seeds;
    this.worker = new SingleThreadWorker("news", 4096, clock);
    this.subscription =
        new StateSubscription(clock, self, run, this::onSnapshot, configurationParser);
  }

  private void onSnapshot(ControlStateSnapshot snapshot) {
    if (snapshot.generation() != generation) {
      generation = snapshot.generation();
      partialView.advanceGeneration(generation);
      updateConnections();
    }
    for (Consumer<ControlStateSnapshot> listener : listeners) listener.accept(snapshot);
  }

  /** Returns the random number that identifies this run of the process. */
  public long run() {
    return run;
  }

  /**
   * Adds a listener, called on the worker with the current snapshot, which may have been received
   * earlier, and with each new one.
   */
  public void addListener(Consumer<ControlStateSnapshot> listener) {
    worker.offer(
        () -> {
          listeners.add(listener);
          listener.accept(subscription.snapshot());
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
    Set<Address> wanted = new HashSet<>();
    for (CoreMemberList.Member member : subscription.snapshot().core().members())
      wanted.add(member.recordsAddress());
    boolean reached = connections.values().stream().anyMatch(PersistentConnection::isOpen);
    if (wanted.isEmpty() || !reached) {
      for (Shuffle.Descriptor descriptor : partialView.all())
        if (descriptor.role().equals("control"))
          wanted.add(Address.of(descriptor.recordsAddress()));
      if (subscription.snapshot().core().members().isEmpty()) wanted.addAll(seeds);
    }
    connections
        .entrySet()
        .removeIf(
            entry -> {
              if (wanted.contains(entry.getKey())) return false;
              entry.getValue().close();
              return true;
            });
    for (Address address : wanted)
      connections.computeIfAbsent(
          address,
          target ->
              new PersistentConnection(
                  vertx,
                  acceptor,
                  target,
                  Hello.STATE_UPDATES,
                  (connection, record) -> {
                    StateUpdate update = WireRecord.decode(record, StateUpdate::read);
                    worker.offer(() -> onUpdate(connection, update));
                  },
                  connection ->
                      worker.offer(() -> connection.send(subscription.subscriptionRequest()))));
  }

  /** Returns whether a connection to the core member with this records address is open. */
  public boolean isConnectedTo(Address records) {
    PersistentConnection connection = connections.get(records);
    return connection != null && connection.isOpen();
  }

  /** Requests leases and newer state at once, without waiting for the next interval. */
  public void requestNow() {
    worker.offer(this::sendRequests);
  }

  private void sendRequests() {
    StateUpdate.SubscriptionRequest request = subscription.subscriptionRequest();
    for (PersistentConnection connection : connections.values()) connection.send(request);
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
