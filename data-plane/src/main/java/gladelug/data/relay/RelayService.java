/*
 * Puts a relay together on one event loop, the request thread, and stops it politely: not ready
 * first, then nothing new is taken, then what is under way may end.
 */
package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.data.StatusDoor;
import gladelug.data.news.NewsService;
import gladelug.data.news.Tables;
import gladelug.data.request.Decision;
import gladelug.data.request.Decisions;
import gladelug.data.request.Request;
import gladelug.data.request.State;
import gladelug.data.reasons.ReasonsService;
import gladelug.kernel.Address;
import gladelug.kernel.Clock;
import gladelug.kernel.Kernel;
import gladelug.kernel.Log;
import gladelug.kernel.connection.Doors;
import gladelug.kernel.message.Keys;
import gladelug.kernel.view.ViewService;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
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

public final class RelayService implements Kernel.Service {
    public static final long DRAIN = 8000;
    private static final int REMEMBERED = 16384;

    private final Vertx vertx;
    private final Clock clock;
    private final String name;
    private final String zone;
    private final Address callers;
    private final Address index;
    private final int queue;
    private final Stages.Mode mode;
    private final boolean alone;
    private Context context;
    private volatile Relay relay;
    private Decisions decisions;
    private HttpServer server;

    public RelayService(Vertx vertx, Clock clock, String name, String zone, Address callers, Address index,
        int queue, Stages.Mode mode, boolean alone) {
        this.vertx = vertx;
        this.clock = clock;
        this.name = name;
        this.zone = zone;
        this.callers = callers;
        this.index = index;
        this.queue = queue;
        this.mode = mode;
        this.alone = alone;
    }

    @Override public void start(Kernel k) {
        NewsService news = k.find("news", NewsService.class);
        Doors doors = k.find("doors", Doors.class);
        ViewService views = k.find("views", ViewService.class);
        ReasonsService reasons = k.find("reasons", ReasonsService.class);
        reasons.prepare();
        decisions = new Decisions(REMEMBERED, name, news.run());
        context = vertx.getOrCreateContext();
        CompletableFuture<Void> up = new CompletableFuture<>();
        context.runOnContext(() -> {
            Relay r = new Relay(clock, news.held, x -> Backends.overHttp(vertx, doors.local, clock, x::pump), zone,
                queue,
                () -> 1 + (int) views.all().stream().filter(d -> d.role().equals("relay")).count(), alone);
            LookupClient lookups = new LookupClient(vertx, context, doors, views, zone, index);
            CallerDoor door = new CallerDoor(r, decisions,
                r.way(lookups, mode, new HttpConnections(vertx, doors.local)));
            io.vertx.ext.web.Router t = io.vertx.ext.web.Router.router(vertx.getDelegate());
            door.routes(t);
            vertx.setPeriodic(50, i -> r.tick());
            List<Decision> ended = new ArrayList<>();
            r.reasons = ended::add;
            vertx.setPeriodic(ReasonsService.PERIOD, i -> {
                for (Request o : r.live()) if (o.state.at() != State.At.WAITING) ended.add(o.decision);
                reasons.hand(List.copyOf(ended), decisions.run());
                ended.clear();
            });
            relay = r;
            server = vertx.getDelegate().createHttpServer(
                new HttpServerOptions().setMaxHeaderSize(16384).setIdleTimeout(120).setTcpNoDelay(true));
            server.requestHandler(t).listen(callers.port(), doors.local.ip()).onComplete(a -> {
                if (a.succeeded()) up.complete(null);
                else up.completeExceptionally(a.cause());
            });
        });
        try {
            up.get(10, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new Kernel.CannotStart("cannot listen for callers on " + callers + ": " + Doors.reason(e), e);
        }
        news.listen(t -> context.runOnContext(() -> relay.tables(t)));
        Log.event("callers-door-open", "address", callers);
    }

    public String unready() {
        return relay == null ? "starting" : relay.unready();
    }

    public Uni<JsonObject> status() {
        return Uni.createFrom().emitter(e -> context.runOnContext(() -> {
            Relay r = relay;
            Tables t = r.tables();
            long now = clock.now();
            JsonObject ls = Json.object();
            for (String key : Keys.LEASED) ls.add(key, Math.max(-1, r.news.leases.until(key) - now));
            e.complete(Json.object().add("name", name).add("domain", zone).add("unready", r.unready())
                .add("policy", t.configurationNumber()).add("weights", t.weightsNumber())
                .add("replicas", t.replicasNumber()).add("generation", t.generation()).add("licenceLeftMs", ls)
                .add("ordersUnderWay", r.live().size()).add("shares", r.shares())
                .add("backends", r.backends.json()));
        }));
    }

    public void routes(Router r) {
        r.get("/operator/orders/:id").handler(this::explain);
    }

    private void explain(RoutingContext c) {
        Decisions.Found f = decisions.find(c.pathParam("id"));
        if (f instanceof Decisions.Found.Yes y) StatusDoor.say(c, 200, y.decision().json());
        else if (f instanceof Decisions.Found.Malformed) StatusDoor.say(c, 400,
            Json.object().add("reason", "an order id is RELAY.RUN.NUMBER, as in the header Gladelug-Order"));
        else if (f instanceof Decisions.Found.Overwritten)
            StatusDoor.say(c, 410, Json.object().add("reason",
                "this relay took the order but has overwritten its record; it remembers the last " + REMEMBERED));
        else if (f instanceof Decisions.Found.OtherRun)
            StatusDoor.say(c, 410, Json.object().add("reason",
                "the order was taken by an earlier run of this relay, whose records are gone"));
        else StatusDoor.say(c, 404, Json.object().add("reason", "this relay never took such an order"));
    }

    @Override public void stop() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(() -> {
            relay.stopping = true;
            long until = clock.now() + DRAIN;
            vertx.setPeriodic(20, i -> {
                if (relay.live().isEmpty() || clock.now() > until) done.complete(null);
            });
        });
        try {
            done.get(DRAIN + 1000, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            Log.warn("drain-unfinished");
        }
        server.close();
    }
}
