/*
 * The duty of whoever owns commander/<replica>: see that the replica runs the weights that are
 * named. Only while it holds the key, and after every earlier holder's time is over, does it steer,
 * and under the key's epoch, which the replica refuses to go below. What a replica runs is read
 * from itself. A naming that comes half way through a roll simply becomes the new aim.
 */
package gladelug.control.duty;

import gladelug.control.core.CoreService;
import gladelug.kernel.Kernel;
import gladelug.kernel.Log;
import gladelug.kernel.connection.Doors;
import gladelug.kernel.message.Keys;
import gladelug.kernel.configuration.Replicas;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Context;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.client.WebClient;

public final class Commander implements Kernel.Service {
    private static final long PERIOD = 250;
    private final Vertx vertx;
    private final String self;
    private final Steering steering;
    private CoreService core;
    private WebClient web;
    private long timer;
    private boolean busy;
    private Context context;

    public Commander(Vertx vertx, String self, int cutoff) {
        this.vertx = vertx;
        this.self = self;
        this.steering = new Steering(cutoff);
    }

    @Override public void start(Kernel k) {
        core = k.find("core", CoreService.class);
        web = WebClient.create(vertx, k.find("doors", Doors.class).local
            .from(new WebClientOptions().setConnectTimeout(700).setFollowRedirects(false).setMaxPoolSize(2)));
        context = vertx.getOrCreateContext();
        context.runOnContext(() -> timer = vertx.setPeriodic(PERIOD, i -> round()));
    }

    private void round() {
        if (busy) return;
        busy = true;
        core.ask(n -> new Steering.Kept(n.kept(Keys.REPLICAS).getValue(), n.kept(Keys.WEIGHTS).getValue(),
            n.kept(Keys.CONFIGURATION).getValue(), n.knownAge(Keys.WEIGHTS)))
            .emitOn(r -> context.runOnContext(r)).map(k -> {
                steering.view(k);
                return steering.steerable();
            }).call(l -> core.ask(n -> {
                for (Replicas.Replica r : l) n.know(Keys.COMMANDER + r.instance());
                return true;
            })).emitOn(r -> context.runOnContext(r))
            .subscribe().with(l -> {
                busy = false;
                l.forEach(this::look);
            }, t -> busy = false);
    }

    private void look(Replicas.Replica r) {
        web.get(r.address().port(), r.address().host(), "/identity").timeout(1000).send().subscribe().with(a -> {
            if (a.statusCode() != 200) return;
            JsonObject o = a.bodyAsJsonObject();
            if (o == null || !r.instance().equals(o.getString("instance"))
                || !r.service().equals(o.getString("service"))) return;
            steering.said(r, o.getString("weights", ""), o.getBoolean("loading", false), core.now());
            String want = steering.wanted(r, core.now());
            if (!want.isEmpty()) steer(r, want);
        }, t -> {});
    }

    private void steer(Replicas.Replica r, String want) {
        String key = Keys.COMMANDER + r.instance();
        core.ask(n -> n.mayCommand(key) ? n.epochOf(key) : -1L).emitOn(x -> context.runOnContext(x)).flatMap(e -> {
            if (e < 0) return Uni.createFrom().nullItem();
            steering.told(r, want, core.now());
            Log.event("steer", "replica", r.instance(), "to", want, "epoch", e);
            return web.post(r.address().port(), r.address().host(), "/steer").timeout(1000)
                .sendJsonObject(new JsonObject().put("commander", self).put("epoch", e).put("instance", r.instance())
                    .put("weights", want));
        }).subscribe().with(a -> {
            if (a != null && a.statusCode() != 200)
                Log.warn("steer-refused", "replica", r.instance(), "status", a.statusCode());
        }, t -> Log.warn("steer-problem", "replica", r.instance(), "what", t.toString()));
    }

    @Override public void stop() {
        vertx.cancelTimer(timer);
    }
}
