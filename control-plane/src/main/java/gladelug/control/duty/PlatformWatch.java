/*
 * The duty of the owner of the key replicas: asks the platform for its list and, where it differs
 * from what is kept, proposes the new one. A platform that is silent or makes no sense changes
 * nothing. Other members keep still.
 */
package gladelug.control.duty;

import gladelug.control.core.ChangeAnswer;
import gladelug.control.core.CoreService;
import gladelug.kernel.Address;
import gladelug.kernel.Kernel;
import gladelug.kernel.Log;
import gladelug.kernel.Result;
import gladelug.kernel.circuit.Doors;
import gladelug.kernel.message.Keys;
import gladelug.kernel.policy.Replicas;
import io.smallrye.mutiny.Uni;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;

public final class PlatformWatch implements Kernel.Service {
    private static final long PERIOD = 250;
    private final Vertx vertx;
    private final Address platform;
    private CoreService core;
    private WebClient web;
    private boolean busy;
    private boolean silent;
    private long timer;

    public PlatformWatch(Vertx vertx, Address platform) {
        this.vertx = vertx;
        this.platform = platform;
    }

    @Override public void start(Kernel k) {
        core = k.find("core", CoreService.class);
        web = WebClient.create(vertx, k.find("doors", Doors.class).local
            .from(new WebClientOptions().setConnectTimeout(1000).setFollowRedirects(false)));
        vertx.getOrCreateContext().runOnContext(() -> timer = vertx.setPeriodic(PERIOD, i -> look()));
    }

    private void look() {
        if (busy) return;
        busy = true;
        core.ask(n -> n.owns(Keys.REPLICAS))
            .flatMap(owns -> owns
                ? web.get(platform.port(), platform.host(), "/replicas").timeout(1500).send()
                    .flatMap(r -> took(r.statusCode(), r.bodyAsString()))
                : Uni.createFrom().nullItem())
            .ifNoItem().after(Duration.ofSeconds(12)).fail()
            .subscribe().with(x -> busy = false, t -> {
                busy = false;
                if (!silent) Log.warn("platform-silent", "address", platform, "what", t.toString());
                silent = true;
            });
    }

    private Uni<?> took(int status, String body) {
        Result<Replicas> r = status == 200 ? Replicas.parse(body) : Result.bad("status", String.valueOf(status));
        if (!(r instanceof Result.Good<Replicas> g)) {
            if (!silent) Log.warn("platform-list-refused", "findings", r.toString());
            silent = true;
            return Uni.createFrom().nullItem();
        }
        if (silent) Log.event("platform-back", "address", platform);
        silent = false;
        byte[] now = g.value().json().getBytes(StandardCharsets.UTF_8);
        return core.ask(n -> n.kept(Keys.REPLICAS)).flatMap(kept -> {
            if (kept.getKey() > 0 && Arrays.equals(kept.getValue(), now)) return Uni.createFrom().nullItem();
            return core.change(Keys.REPLICAS, kept.getKey(), now).invoke(a -> {
                if (a instanceof ChangeAnswer.Done d)
                    Log.event("replicas-listed", "number", d.number(), "count", g.value().all.size(), "acks", d.acks(),
                        "lapsed", d.lapsed(), "waited", d.waited());
                else Log.event("replicas-not-listed", "answer", a);
            });
        });
    }

    @Override public void stop() {
        vertx.cancelTimer(timer);
    }
}
