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
 * Puts a relay together on one event loop, the request thread, and shuts it down gracefully: not
 * ready first, then no new requests, then those under way may end.
 */
public final class RelayService implements ServiceRegistry.Service {
  public static final long DRAIN_MS = 8000;
  private static final int REMEMBERED_DECISIONS = 16384;

  /** How often deadlines are looked at, ms, and while no request is under way. */
  private static final long TICK_MS = 50, IDLE_TICK_MS = 200;

  /**
   * A relay that stops takes what has to end before it does. lingerMs: how long it stays though
   * nothing is under way, as callers may still be sent to it; drainMs: when it has ended at the
   * latest.
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
      Address index,
      RelaySettings settings,
      ChoiceMode mode,
      ShutdownTimes ends) {
    this.vertx = vertx;
    this.clock = clock;
    this.name = name;
    this.zone = zone;
    this.protocol = protocol;
    this.ownIndex = index;
    this.settings = settings;
    this.choiceMode = mode;
    this.shutdownTimes = ends;
  }

  @Override
  public void start(ServiceRegistry registry) {
    StateSubscriptionService news = registry.find("news", StateSubscriptionService.class);
    ConnectionAcceptor doors = registry.find("doors", ConnectionAcceptor.class);
    PartialViewService views = registry.find("views", PartialViewService.class);
    DecisionLogService reasons = registry.find("reasons", DecisionLogService.class);
    reasons.keepPeersConnected();
    decisions = new RecentDecisions(REMEMBERED_DECISIONS, name, news.run());
    context = vertx.getOrCreateContext();
    stallWatch = ProcessStalls.detector().watch("requests", this::onRequestThread);
    RelayProtocol.Environment under =
        new RelayProtocol.Environment(vertx, doors.bindAddress, clock);
    CompletableFuture<Void> up = new CompletableFuture<>();
    context.runOnContext(
        () -> {
          Relay r =
              new Relay(
                  clock,
                  news.subscription,
                  x -> protocol.createBackends(under, x),
                  zone,
                  settings,
                  () ->
                      Math.max(
                          news.subscription.relayCount(),
                          1
                              + (int)
                                  views.all().stream()
                                      .filter(d -> d.role().equals("relay"))
                                      .count()));
          LookupClient lookups =
              new LookupClient(
                  vertx,
                  context,
                  doors,
                  views,
                  zone,
                  ownIndex,
                  settings.lookupTimeoutMs(),
                  settings.oneIndexPerZone());
          scheduleTicks(r);
          List<Decision> ended = new ArrayList<>();
          r.decisionSink = ended::add;
          vertx.setPeriodic(
              DecisionLogService.SEND_INTERVAL_MS,
              i -> {
                for (Request request : r.liveRequests())
                  if (request.state.phase() != RequestState.Phase.WAITING)
                    ended.add(request.decision);
                reasons.submit(List.copyOf(ended), decisions.runId());
                ended.clear();
              });
          relay = r;
          protocol
              .open(
                  under,
                  r,
                  decisions,
                  r.filterChain(lookups, choiceMode, protocol.createExchange(under, r)))
              .subscribe()
              .with(
                  d -> {
                    listener = d;
                    up.complete(null);
                  },
                  up::completeExceptionally);
        });
    try {
      up.get(10, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      throw new ServiceRegistry.StartupException(
          "cannot listen for callers: " + ConnectionAcceptor.rootCauseMessage(e), e);
    }
    news.addListener(snapshot -> context.runOnContext(() -> relay.applySnapshot(snapshot)));
    Log.event("caller-listener-started", "name", name);
  }

  private boolean onRequestThread(Runnable task) {
    context.runOnContext(task);
    return true;
  }

  /** While nothing is under way there are no deadlines to watch, so the relay wakes less often. */
  private void scheduleTicks(Relay r) {
    r.tick();
    vertx.setTimer(r.liveRequests().isEmpty() ? IDLE_TICK_MS : TICK_MS, i -> scheduleTicks(r));
  }

  /** Other settings from now on. */
  public void updateSettings(RelaySettings s) {
    context.runOnContext(() -> relay.settings = s);
  }

  public String unreadyReason() {
    return ProcessStalls.unreadyReasonOr(
        relay == null ? "starting" : relay.draining ? "stopping" : relay.unreadyReason());
  }

  public Uni<JsonObject> status() {
    return Uni.createFrom()
        .emitter(
            e ->
                context.runOnContext(
                    () -> {
                      Relay r = relay;
                      ControlStateSnapshot snapshot = r.snapshot();
                      long now = clock.now();
                      JsonObject json = Json.object();
                      for (String key : StateKeys.LEASED)
                        json.add(key, Math.max(-1, r.subscription.leases.validUntilMs(key) - now));
                      e.complete(
                          Json.object()
                              .add("name", name)
                              .add("domain", zone)
                              .add("unready", r.unreadyReason())
                              .add("policy", snapshot.configurationNumber())
                              .add("weights", snapshot.weightsNumber())
                              .add("replicas", snapshot.replicasNumber())
                              .add("generation", snapshot.generation())
                              .add("licenceLeftMs", json)
                              .add("ordersUnderWay", r.liveRequests().size())
                              .add("longestWaitsMs", longestWaits())
                              .add("shares", r.sharesJson())
                              .add("backends", r.backends.json()));
                    }));
  }

  /** By thread, the longest that a task waited for the one before it. */
  private static JsonObject longestWaits() {
    JsonObject waits = Json.object();
    ProcessStalls.detector().longestWaitsMs().forEach(waits::add);
    return waits;
  }

  public void registerRoutes(Router r) {
    r.get("/operator/requests/:id").handler(this::explain);
    // the earlier path, for one release
    r.get("/operator/orders/:id").handler(this::explain);
  }

  private void explain(RoutingContext context) {
    RecentDecisions.FindResult f = decisions.find(context.pathParam("id"));
    if (f instanceof RecentDecisions.FindResult.Present y)
      StatusEndpoint.sendJson(context, 200, y.decision().toJson());
    else if (f instanceof RecentDecisions.FindResult.Malformed)
      StatusEndpoint.sendJson(
          context,
          400,
          Json.object()
              .add(
                  "reason", "a request id is RELAY.RUN.NUMBER, as in the header Gladelug-Request"));
    else if (f instanceof RecentDecisions.FindResult.Overwritten)
      StatusEndpoint.sendJson(
          context,
          410,
          Json.object()
              .add(
                  "reason",
                  "this relay took the request but has overwritten its record; it remembers the last "
                      + REMEMBERED_DECISIONS));
    else if (f instanceof RecentDecisions.FindResult.OtherRun)
      StatusEndpoint.sendJson(
          context,
          410,
          Json.object()
              .add(
                  "reason",
                  "the request was taken by an earlier run of this relay, whose records are gone"));
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
          long begun = clock.now();
          relay.startDraining(begun + shutdownTimes.drainMs);
          listener.startDraining();
          vertx.setPeriodic(
              20,
              i -> {
                long past = clock.now() - begun;
                if (past >= shutdownTimes.lingerMs && relay.liveRequests().isEmpty()
                    || past > shutdownTimes.drainMs) done.complete(null);
              });
        });
    try {
      done.get(shutdownTimes.drainMs + 1000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      Log.warn("drain-unfinished");
    }
    listener.close();
  }
}
