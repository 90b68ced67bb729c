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
import gladelug.data.request.Decisions;
import gladelug.data.request.Request;
import gladelug.data.request.State;
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
  public static final long DRAIN = 8000;
  private static final int REMEMBERED = 16384;

  /** How often deadlines are looked at, ms, and while no request is under way. */
  private static final long TICK = 50, IDLE_TICK = 200;

  /**
   * A relay that stops takes what has to end before it does. lingerMs: how long it stays though
   * nothing is under way, as callers may still be sent to it; drainMs: when it has ended at the
   * latest.
   */
  public record Ends(long lingerMs, long drainMs) {
    public static final Ends USUAL = new Ends(0, DRAIN);
  }

  private final Vertx vertx;
  private final Clock clock;
  private final String name;
  private final String zone;
  private final RelayProtocol protocol;
  private final Address index;
  private final RelaySettings settings;
  private final ChoiceMode mode;
  private final Ends ends;
  private Context context;
  private volatile Relay relay;
  private StallDetector.WatchedThread watched;
  private Decisions decisions;
  private RelayProtocol.Door door;

  public RelayService(
      Vertx vertx,
      Clock clock,
      String name,
      String zone,
      RelayProtocol protocol,
      Address index,
      RelaySettings settings,
      ChoiceMode mode,
      Ends ends) {
    this.vertx = vertx;
    this.clock = clock;
    this.name = name;
    this.zone = zone;
    this.protocol = protocol;
    this.index = index;
    this.settings = settings;
    this.mode = mode;
    this.ends = ends;
  }

  @Override
  public void start(ServiceRegistry registry) {
    StateSubscriptionService news = registry.find("news", StateSubscriptionService.class);
    ConnectionAcceptor doors = registry.find("doors", ConnectionAcceptor.class);
    PartialViewService views = registry.find("views", PartialViewService.class);
    DecisionLogService reasons = registry.find("reasons", DecisionLogService.class);
    reasons.prepare();
    decisions = new Decisions(REMEMBERED, name, news.run());
    context = vertx.getOrCreateContext();
    watched = ProcessStalls.detector().watch("requests", this::onRequestThread);
    RelayProtocol.Under under = new RelayProtocol.Under(vertx, doors.bindAddress, clock);
    CompletableFuture<Void> up = new CompletableFuture<>();
    context.runOnContext(
        () -> {
          Relay r =
              new Relay(
                  clock,
                  news.held,
                  x -> protocol.backends(under, x),
                  zone,
                  settings,
                  () ->
                      Math.max(
                          news.held.relays(),
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
                  index,
                  settings.lookupMs(),
                  settings.oneIndexAZone());
          ticks(r);
          List<Decision> ended = new ArrayList<>();
          r.reasons = ended::add;
          vertx.setPeriodic(
              DecisionLogService.PERIOD,
              i -> {
                for (Request request : r.live())
                  if (request.state.at() != State.At.WAITING) ended.add(request.decision);
                reasons.hand(List.copyOf(ended), decisions.run());
                ended.clear();
              });
          relay = r;
          protocol
              .open(under, r, decisions, r.way(lookups, mode, protocol.exchange(under, r)))
              .subscribe()
              .with(
                  d -> {
                    door = d;
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
    news.listen(snapshot -> context.runOnContext(() -> relay.tables(snapshot)));
    Log.event("caller-listener-started", "name", name);
  }

  private boolean onRequestThread(Runnable task) {
    context.runOnContext(task);
    return true;
  }

  /** While nothing is under way there are no deadlines to watch, so the relay wakes less often. */
  private void ticks(Relay r) {
    r.tick();
    vertx.setTimer(r.live().isEmpty() ? IDLE_TICK : TICK, i -> ticks(r));
  }

  /** Other settings from now on. */
  public void settings(RelaySettings s) {
    context.runOnContext(() -> relay.settings = s);
  }

  public String unready() {
    return ProcessStalls.unreadyReasonOr(
        relay == null ? "starting" : relay.leaving ? "stopping" : relay.unready());
  }

  public Uni<JsonObject> status() {
    return Uni.createFrom()
        .emitter(
            e ->
                context.runOnContext(
                    () -> {
                      Relay r = relay;
                      ControlStateSnapshot snapshot = r.tables();
                      long now = clock.now();
                      JsonObject json = Json.object();
                      for (String key : StateKeys.LEASED)
                        json.add(key, Math.max(-1, r.news.leases.until(key) - now));
                      e.complete(
                          Json.object()
                              .add("name", name)
                              .add("domain", zone)
                              .add("unready", r.unready())
                              .add("policy", snapshot.configurationNumber())
                              .add("weights", snapshot.weightsNumber())
                              .add("replicas", snapshot.replicasNumber())
                              .add("generation", snapshot.generation())
                              .add("licenceLeftMs", json)
                              .add("ordersUnderWay", r.live().size())
                              .add("longestWaitsMs", longestWaits())
                              .add("shares", r.shares())
                              .add("backends", r.backends.json()));
                    }));
  }

  /** By thread, the longest that a task waited for the one before it. */
  private static JsonObject longestWaits() {
    JsonObject waits = Json.object();
    ProcessStalls.detector().longestWaitsMs().forEach(waits::add);
    return waits;
  }

  public void routes(Router r) {
    r.get("/operator/requests/:id").handler(this::explain);
    // the earlier path, for one release
    r.get("/operator/orders/:id").handler(this::explain);
  }

  private void explain(RoutingContext context) {
    Decisions.Found f = decisions.find(context.pathParam("id"));
    if (f instanceof Decisions.Found.Yes y) StatusEndpoint.say(context, 200, y.decision().json());
    else if (f instanceof Decisions.Found.Malformed)
      StatusEndpoint.say(
          context,
          400,
          Json.object()
              .add(
                  "reason", "a request id is RELAY.RUN.NUMBER, as in the header Gladelug-Request"));
    else if (f instanceof Decisions.Found.Overwritten)
      StatusEndpoint.say(
          context,
          410,
          Json.object()
              .add(
                  "reason",
                  "this relay took the request but has overwritten its record; it remembers the last "
                      + REMEMBERED));
    else if (f instanceof Decisions.Found.OtherRun)
      StatusEndpoint.say(
          context,
          410,
          Json.object()
              .add(
                  "reason",
                  "the request was taken by an earlier run of this relay, whose records are gone"));
    else
      StatusEndpoint.say(
          context, 404, Json.object().add("reason", "this relay never took such a request"));
  }

  @Override
  public void stop() {
    watched.close();
    CompletableFuture<Void> done = new CompletableFuture<>();
    context.runOnContext(
        () -> {
          long begun = clock.now();
          relay.leave(begun + ends.drainMs);
          door.leaving();
          vertx.setPeriodic(
              20,
              i -> {
                long past = clock.now() - begun;
                if (past >= ends.lingerMs && relay.live().isEmpty() || past > ends.drainMs)
                  done.complete(null);
              });
        });
    try {
      done.get(ends.drainMs + 1000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      Log.warn("drain-unfinished");
    }
    door.close();
  }
}
