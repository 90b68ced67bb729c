package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.ProcessStalls;
import gladelug.common.ServiceRegistry;
import gladelug.common.StallDetector;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.message.StateKeys;
import gladelug.common.view.PartialViewService;
import gladelug.data.StatusEndpoint;
import gladelug.data.decisions.DecisionLogService;
import gladelug.data.request.Decision;
import gladelug.data.request.RecentDecisions;
import gladelug.data.request.Request;
import gladelug.data.request.RequestState;
import gladelug.data.state.ControlStateSnapshot;
import gladelug.data.state.StateSubscriptionService;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Context;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Assembles a relay on one event loop, the request thread, and shuts it down gracefully: it becomes
 * unready first, then refuses new requests, then lets running ones finish.
 */
public final class RelayService implements ServiceRegistry.Service {
  /** Default maximum duration of a shutdown, in ms. */
  public static final long DRAIN_MS = 8000;

  /** Number of decision records kept for the operator. */
  private static final int REMEMBERED_DECISIONS = 16384;

  /** Interval at which deadlines are checked, in ms; the second one while no request is running. */
  private static final long TICK_MS = 50, IDLE_TICK_MS = 200;

  /**
   * Times of a shutdown, in ms. A stopping relay still accepts requests that have to end before it
   * does.
   *
   * @param lingerMs how long it stays though no request is running, as callers may still be sent to
   *     it
   * @param drainMs when it has ended at the latest
   */
  public record ShutdownTimes(long lingerMs, long drainMs) {
    public static final ShutdownTimes DEFAULT = new ShutdownTimes(0, DRAIN_MS);
  }

  private final Vertx vertx;
  private final Clock clock;
  private final String name;
  private final String zone;
  private final RelayProtocol protocol;
  private final Address ownIndex;
  private final RelaySettings settings;
  private final ChoiceMode choiceMode;
  private final ShutdownTimes shutdownTimes;
  private Context context;
  private volatile Relay relay;
  private StallDetector.WatchedThread stallWatch;
  private RecentDecisions decisions;
  private RelayProtocol.Listener listener;

  public RelayService(
      Vertx vertx,
      Clock clock,
      String name,
      String zone,
      RelayProtocol protocol,
      Address ownIndex,
      RelaySettings settings,
      ChoiceMode choiceMode,
      ShutdownTimes shutdownTimes) {
    this.vertx = vertx;
    this.clock = clock;
    this.name = name;
    this.zone = zone;
    this.protocol = protocol;
    this.ownIndex = ownIndex;
    this.settings = settings;
    this.choiceMode = choiceMode;
    this.shutdownTimes = shutdownTimes;
  }

  @Override
  public void start(ServiceRegistry registry) {
    StateSubscriptionService subscriptions = registry.find("news", StateSubscriptionService.class);
    ConnectionAcceptor acceptor = registry.find("doors", ConnectionAcceptor.class);
    PartialViewService views = registry.find("views", PartialViewService.class);
    DecisionLogService decisionLog = registry.find("reasons", DecisionLogService.class);
    decisionLog.keepPeersConnected();
    decisions = new RecentDecisions(REMEMBERED_DECISIONS, name, subscriptions.run());
    context = vertx.getOrCreateContext();
    stallWatch = ProcessStalls.detector().watch("requests", this::onRequestThread);
    RelayProtocol.Environment environment =
        new RelayProtocol.Environment(vertx, acceptor.bindAddress, clock);
    CompletableFuture<Void> started = new CompletableFuture<>();
    context.runOnContext(
        () -> {
          Relay newRelay =
              new Relay(
                  clock,
                  subscriptions.subscription,
                  created -> protocol.createBackends(environment, created),
                  zone,
                  settings,
                  () ->
                      Math.max(
                          subscriptions.subscription.relayCount(),
                          1
                              + (int)
                                  views.all().stream()
                                      .filter(each -> each.role().equals("relay"))
                                      .count()));
          LookupClient lookups =
              new LookupClient(
                  vertx,
                  context,
                  acceptor,
                  views,
                  zone,
                  ownIndex,
                  settings.lookupTimeoutMs(),
                  settings.oneIndexPerZone());
          newRelay.freshness.setLeaseRequester(subscriptions::requestNow);
          scheduleTicks(newRelay);
          List<Decision> ended = new ArrayList<>();
          newRelay.decisionSink = ended::add;
          vertx.setPeriodic(
              DecisionLogService.SEND_INTERVAL_MS,
              timer -> {
                for (Request request : newRelay.liveRequests())
                  if (request.state.phase() != RequestState.Phase.WAITING)
                    ended.add(request.decision);
                decisionLog.submit(List.copyOf(ended), decisions.runId());
                ended.clear();
              });
          relay = newRelay;
          protocol
              .open(
                  environment,
                  newRelay,
                  decisions,
                  newRelay.filterChain(
                      lookups, choiceMode, protocol.createExchange(environment, newRelay)))
              .subscribe()
              .with(
                  opened -> {
                    listener = opened;
                    started.complete(null);
                  },
                  started::completeExceptionally);
        });
    try {
      started.get(10, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException failure) {
      throw new ServiceRegistry.StartupException(
          "cannot listen for callers: " + ConnectionAcceptor.rootCauseMessage(failure), failure);
    }
    subscriptions.addListener(
        snapshot -> context.runOnContext(() -> relay.applySnapshot(snapshot)));
    Log.event("caller-listener-started", "name", name);
  }

  private boolean onRequestThread(Runnable task) {
    context.runOnContext(task);
    return true;
  }

  /**
   * Schedules the next tick. Without running requests there are no deadlines to check, so ticks are
   * less frequent.
   */
  private void scheduleTicks(Relay current) {
    current.tick();
    vertx.setTimer(
        current.liveRequests().isEmpty() ? IDLE_TICK_MS : TICK_MS, timer -> scheduleTicks(current));
  }

  /** Replaces the settings. */
  public void updateSettings(RelaySettings newSettings) {
    context.runOnContext(() -> relay.settings = newSettings);
  }

  /** Returns why the relay accepts no requests now, or an empty string if it does. */
  public String unreadyReason() {
    return ProcessStalls.unreadyReasonOr(
        relay == null ? "starting" : relay.draining ? "stopping" : relay.unreadyReason());
  }

  /** Returns the status of the relay, collected on the request thread. */
  public Uni<JsonObject> status() {
    return Uni.createFrom()
        .emitter(
            emitter ->
                context.runOnContext(
                    () -> {
                      Relay current = relay;
                      ControlStateSnapshot snapshot = current.snapshot();
                      long nowMs = clock.now();
                      JsonObject leases = Json.object();
                      for (String key : StateKeys.LEASED)
                        leases.add(
                            key,
                            Math.max(-1, current.subscription.leases.validUntilMs(key) - nowMs));
                      emitter.complete(
                          Json.object()
                              .add("name", name)
                              .add("domain", zone)
                              .add("unready", current.unreadyReason())
                              .add("policy", snapshot.configurationNumber())
                              .add("weights", snapshot.weightsNumber())
                              .add("replicas", snapshot.replicasNumber())
                              .add("generation", snapshot.generation())
                              .add("licenceLeftMs", leases)
                              .add("ordersUnderWay", current.liveRequests().size())
                              .add("longestWaitsMs", longestWaits())
                              .add("shares", current.sharesJson())
                              .add("backends", current.backends.json()));
                    }));
  }

  /** Returns, by thread, the longest time a task waited for the one before it, in ms. */
  private static JsonObject longestWaits() {
    JsonObject waits = Json.object();
    ProcessStalls.detector().longestWaitsMs().forEach(waits::add);
    return waits;
  }

  /** Registers the operator's paths. */
  public void registerRoutes(Router router) {
    router.get("/operator/requests/:id").handler(this::explain);
    // the earlier path, kept for one release
    router.get("/operator/orders/:id").handler(this::explain);
  }

  private void explain(RoutingContext context) {
    RecentDecisions.FindResult found = decisions.find(context.pathParam("id"));
    if (found instanceof RecentDecisions.FindResult.Present hit)
      StatusEndpoint.sendJson(context, 200, hit.decision().toJson());
    else if (found instanceof RecentDecisions.FindResult.Malformed)
      StatusEndpoint.sendJson(
          context,
          400,
          Json.object()
              .add(
                  "reason", "a request id is RELAY.RUN.NUMBER, as in the header Gladelug-Request"));
    else if (found instanceof RecentDecisions.FindResult.Overwritten)
      StatusEndpoint.sendJson(
          context,
          410,
          Json.object()
              .add(
                  "reason",
                  "this relay accepted the request but has overwritten its record; it keeps the last "
                      + REMEMBERED_DECISIONS));
    else if (found instanceof RecentDecisions.FindResult.OtherRun)
      StatusEndpoint.sendJson(
          context,
          410,
          Json.object()
              .add(
                  "reason",
                  "the request was accepted by an earlier run of this relay, whose records are lost"));
    else
      StatusEndpoint.sendJson(
          context, 404, Json.object().add("reason", "this relay never took such a request"));
  }

  @Override
  public void stop() {
    stallWatch.close();
    CompletableFuture<Void> done = new CompletableFuture<>();
    context.runOnContext(
        () -> {
          long startedAtMs = clock.now();
          relay.startDraining(startedAtMs + shutdownTimes.drainMs);
          listener.startDraining();
          vertx.setPeriodic(
              20,
              timer -> {
                long elapsedMs = clock.now() - startedAtMs;
                if (elapsedMs >= shutdownTimes.lingerMs && relay.liveRequests().isEmpty()
                    || elapsedMs > shutdownTimes.drainMs) done.complete(null);
              });
        });
    try {
      done.get(shutdownTimes.drainMs + 1000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException failure) {
      Log.warn("drain-unfinished");
    }
    listener.close();
  }
}
