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
import gladelug.kernel.Result;
import gladelug.kernel.message.Keys;
import gladelug.kernel.policy.Policy;
import gladelug.kernel.policy.Replicas;
import gladelug.kernel.policy.Weights;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Context;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

public final class Commander implements Kernel.Service {
    private static final long PERIOD = 250, AGAIN = 1000, STALE = 1500;

    private record Kept(byte[] replicas, byte[] weights, byte[] policy, long age) {}

    private record View(Replicas replicas, Weights weights, Policy policy, long age) {}

    private static final class Seen {
        String weights = "";
        boolean loading;
        long at = Long.MIN_VALUE / 2;
        long steered = Long.MIN_VALUE / 2;
        String steeredTo = "";
    }

    private final Vertx vertx;
    private final String self;
    private final int cutoff;
    private final Map<String, Seen> seen = new HashMap<>();
    private CoreService core;
    private WebClient web;
    private long timer;
    private boolean busy;
    private Context context;
    private Kept read;
    private View last;

    public Commander(Vertx vertx, String self, int cutoff) {
        this.vertx = vertx;
        this.self = self;
        this.cutoff = cutoff;
    }

    @Override public void start(Kernel k) {
        core = k.find("core", CoreService.class);
        web = WebClient.create(vertx,
            new WebClientOptions().setConnectTimeout(700).setFollowRedirects(false).setMaxPoolSize(2));
        context = vertx.getOrCreateContext();
        context.runOnContext(() -> timer = vertx.setPeriodic(PERIOD, i -> round()));
    }

    private static <T> T or(Result<T> r, T none) {
        return r instanceof Result.Good<T> g ? g.value() : none;
    }

    private static String text(byte[] b) {
        return new String(b, StandardCharsets.UTF_8);
    }

    private void round() {
        if (busy) return;
        busy = true;
        core.ask(n -> new Kept(n.kept(Keys.REPLICAS).getValue(), n.kept(Keys.WEIGHTS).getValue(),
            n.kept(Keys.POLICY).getValue(), n.knownAge(Keys.WEIGHTS)))
            .emitOn(r -> context.runOnContext(r)).map(this::view)
            .call(v -> core.ask(n -> {
                for (Replicas.Replica r : v.replicas.all) if (steerable(v, r)) n.know(Keys.COMMANDER + r.instance());
                return true;
            })).emitOn(r -> context.runOnContext(r))
            .subscribe().with(v -> {
                busy = false;
                look(v);
            }, t -> busy = false);
    }

    /** Read here and not on the core's thread, and only what is not the same as last time. */
    private View view(Kept k) {
        View old = last;
        last = new View(
            read != null && read.replicas == k.replicas
                ? old.replicas
                : or(Replicas.parse(text(k.replicas)), Replicas.NONE),
            read != null && read.weights == k.weights ? old.weights : or(Weights.parse(text(k.weights)), Weights.NONE),
            read != null && read.policy == k.policy ? old.policy : or(Policy.parse(text(k.policy)), Policy.EMPTY),
            k.age);
        read = k;
        return last;
    }

    /** Only replicas of a model service, where the policy allows them, with weights named. */
    private static boolean steerable(View v, Replicas.Replica r) {
        Policy.Service s = v.policy.service(r.service());
        return s != null && s.kind() == Policy.Kind.MODEL && s.allows(r.address()) && v.weights.of(r.service()) != null;
    }

    private void look(View v) {
        Set<String> listed = new HashSet<>();
        for (Replicas.Replica r : v.replicas.all) {
            if (!steerable(v, r)) continue;
            listed.add(r.instance());
            Seen x = seen.computeIfAbsent(r.instance(), i -> new Seen());
            web.get(r.address().port(), r.address().host(), "/identity").timeout(1000).send().subscribe().with(a -> {
                if (a.statusCode() != 200) return;
                JsonObject o = a.bodyAsJsonObject();
                if (o == null || !r.instance().equals(o.getString("instance"))
                    || !r.service().equals(o.getString("service"))) return;
                x.weights = o.getString("weights", "");
                x.loading = o.getBoolean("loading", false);
                x.at = core.now();
                steer(v, r, x);
            }, t -> {});
        }
        seen.keySet().retainAll(listed);
    }

    private void steer(View v, Replicas.Replica r, Seen x) {
        String want = v.weights.of(r.service()).now();
        long now = core.now();
        if (x.weights.equals(want) && !x.loading || x.loading && x.steeredTo.equals(want)
            || now - x.steered < AGAIN && x.steeredTo.equals(want)) return;
        SortedMap<String, Batches.Replica> all = new TreeMap<>();
        for (Replicas.Replica o : v.replicas.all) {
            if (!o.service().equals(r.service()) || !steerable(v, o)) continue;
            Seen y = seen.get(o.instance());
            boolean heard = y != null && now - y.at < STALE;
            all.put(o.instance(),
                !heard
                    ? Batches.Replica.SILENT
                    : y.weights.equals(want) && !y.loading ? Batches.Replica.MOVED : Batches.Replica.WAITING);
        }
        if (!Batches.may(r.instance(), all, v.age, cutoff)) return;
        String key = Keys.COMMANDER + r.instance();
        core.ask(n -> n.mayCommand(key) ? n.epochOf(key) : -1L).flatMap(e -> {
            if (e < 0) return Uni.createFrom().nullItem();
            x.steered = core.now();
            x.steeredTo = want;
            Log.event("steer", "replica", r.instance(), "from", x.weights, "to", want, "epoch", e);
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
