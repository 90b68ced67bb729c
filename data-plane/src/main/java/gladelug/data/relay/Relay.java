/*
 * What the stages of one relay share: snapshot and licences, back ends, backlogs, budget, the
 * orders under way. All on the order thread, one event loop; what other threads bring (a new
 * snapshot, a lookup's answer) is handed over to it.
 */
package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.data.news.HeldNews;
import gladelug.data.news.Tables;
import gladelug.data.order.Decision;
import gladelug.data.order.Order;
import gladelug.data.order.State;
import gladelug.data.order.Verdict;
import gladelug.data.order.Way;
import gladelug.kernel.Clock;
import gladelug.kernel.Log;
import gladelug.kernel.message.Keys;
import gladelug.kernel.message.News;
import gladelug.kernel.policy.Policy;
import gladelug.kernel.policy.Weights;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;

public final class Relay {
    /**
     * How long after its licence for policies or replicas ran out a relay lets streams go on; then it can't know that
     * a key still holds.
     */
    public static final long GRACE = 2000;
    private static final long STALE = 2000;
    private static final double START = 250;
    private static final long ASLEEP = 500;

    public final Clock clock;
    public final HeldNews news;
    public final Backends backends;
    public final Budget budget = new Budget();
    public final String domain;
    private final int backlogMost;
    private final Map<String, Backlog> backlogs = new HashMap<>();
    private final Map<String, Integer> admitted = new HashMap<>();
    private final Map<Long, Order> live = new LinkedHashMap<>();
    private final Map<String, double[]> served = new HashMap<>();
    private Tables shaped = Tables.NONE;
    private final IntSupplier relays;
    /** Shares kept by this relay alone, to be measured against the fleet's division. */
    private final boolean alone;
    private long ticked;
    private long awake;
    private boolean pumping;
    private boolean pumpAgain;
    public boolean stopping;
    /** Records that have ended, for whoever hands them on. */
    public Consumer<Decision> reasons = d -> {};

    public Relay(Clock clock, HeldNews news, Function<Relay, Backends> backends, String domain, int backlogMost,
        IntSupplier relays, boolean alone) {
        this.relays = relays;
        this.alone = alone;
        this.ticked = clock.now();
        this.awake = ticked;
        this.clock = clock;
        this.news = news;
        this.domain = domain;
        this.backlogMost = backlogMost;
        this.backends = backends.apply(this);
    }

    public Tables tables() {
        return news.tables();
    }

    /** Empty where orders may start now, else the reason why not. */
    public String unready() {
        Tables t = tables();
        if (stopping) return "stopping";
        if (t.policyNumber() == 0) return "no policy yet";
        if (t.replicasNumber() == 0) return "no list of replicas yet";
        if (!news.licences.valid(clock.now())) return "no licence";
        return "";
    }

    /** The weights an order may run on now: the newest, and until the cutoff those before. */
    public String[] weights(String service) {
        Weights.Named n = tables().weights().of(service);
        if (n == null) return null;
        return new String[]{n.now(), clock.now() < news.licences.cutoffAt() ? n.before() : ""};
    }

    public Backlog backlog(String service) {
        return backlogs.computeIfAbsent(service, s -> {
            Backlog b = new Backlog(backlogMost);
            b.shape(tables().policy());
            return b;
        });
    }

    public void begin(Order o) {
        live.put(o.decision.nr, o);
    }

    public List<Order> live() {
        return new ArrayList<>(live.values());
    }

    /** The order's end: its place is free. */
    public void ended(Order o) {
        if (live.remove(o.decision.nr) == null) return;
        o.state.end();
        if (o.admitted) {
            o.admitted = false;
            backlog(o.service.name()).release(o);
            if (o.backend == null) admitted.merge(o.service.name(), -1, Integer::sum);
            double[] s = served.computeIfAbsent(o.service.name(), x -> new double[]{START});
            if (o.decision.outcome().equals("complete")) s[0] += (clock.now() - o.handedAt - s[0]) / 20;
        }
        drop(o);
        o.decision.end();
        reasons.accept(o.decision);
        pump();
        Log.event("order-ended", "order", o.id(), "tenant", o.tenant == null ? "-" : o.tenant.name(), "mapping",
            o.mapping == null ? "-" : o.mapping.name(),
            "outcome", o.decision.outcome(), "tries", o.tries, "pieces", o.piecesOut, "ms", clock.now() - o.came);
    }

    /** The order holds no replica any more. */
    public void drop(Order o) {
        if (o.backend == null) return;
        o.backend.mine = Math.max(0, o.backend.mine - 1);
        o.backend = null;
        if (o.admitted) admitted.merge(o.service.name(), 1, Integer::sum);
    }

    public void choose(Order o, Backend b, double ms) {
        drop(o);
        o.backend = b;
        b.mine++;
        b.addedMs += ms;
        admitted.merge(o.service.name(), -1, Integer::sum);
    }

    /** What an order of the service usually takes from its hand-over. */
    public double orderMs(String service) {
        double[] s = served.get(service);
        return s == null ? START : s[0];
    }

    private int places(String service) {
        int n = 0;
        for (Backend b : backends.of(service)) if (b.usable(clock.now())) n += b.places();
        return n;
    }

    /** Tells what waits and is seen here, and takes the fleet's division; with none fresh, an equal part. */
    private void divide(long now, long passed) {
        List<News.Demand> ds = new ArrayList<>();
        List<News.Places> ps = new ArrayList<>();
        for (Map.Entry<String, Backlog> e : backlogs.entrySet()) {
            String s = e.getKey();
            e.getValue().waitingAndUsed().forEach((leaf, n) -> ds.add(new News.Demand(s, leaf, n[0], n[1])));
            ps.add(new News.Places(s, places(s)));
            HeldNews.Allotment a = news.allotment(s);
            if (alone || a == null || now - a.at() > STALE || !a.full()) e.getValue().unbound();
            else e.getValue().bound(a.milli(), passed, orderMs(s));
        }
        news.demand(List.copyOf(ds), List.copyOf(ps));
    }

    /**
     * By service and leaf: waiting and using here, and the part of places the fleet's division leaves this relay, if
     * it bounds.
     */
    public JsonObject shares() {
        JsonObject o = Json.object();
        long now = clock.now();
        for (Map.Entry<String, Backlog> e : backlogs.entrySet()) {
            HeldNews.Allotment a = news.allotment(e.getKey());
            boolean fresh = a != null && now - a.at() <= STALE;
            JsonObject l = Json.object();
            e.getValue().waitingAndUsed().forEach((leaf, n) -> {
                JsonObject x = Json.object().add("waiting", n[0]).add("using", n[1]);
                if (fresh && a.full()) x.add("part", a.milli().getOrDefault(leaf, 1000) / 1000.0);
                l.add(leaf, x);
            });
            o.add(e.getKey(),
                Json.object().add("divided", !fresh ? "by nobody" : a.full() ? "full" : "not full").add("leaves", l));
        }
        return o;
    }

    /** With nobody dividing, as much of the places as if all relays asked alike. */
    private int equalPart(String service) {
        HeldNews.Allotment a = news.allotment(service);
        if (alone) return Integer.MAX_VALUE;
        if (a != null && clock.now() - a.at() <= STALE) return Integer.MAX_VALUE;
        int n = Math.max(1, relays.getAsInt());
        return (places(service) + n - 1) / n;
    }

    public int free(String service) {
        Policy.Service s = tables().policy().service(service);
        String[] w = s != null && s.kind() == Policy.Kind.APPLICATION ? new String[]{"", ""} : weights(service);
        if (w == null) return 0;
        return Math.min(backends.free(service, w[0], w[1]) - admitted.getOrDefault(service, 0),
            equalPart(service) - backlog(service).used());
    }

    /** How long an order of this leaf that joins the backlog now would wait for a place. */
    public double waitMs(String service, String leaf) {
        return backlog(service).ahead(leaf) * orderMs(service);
    }

    /** Gives free places to those that wait, as the share tree says. */
    public void pump() {
        if (pumping) {
            pumpAgain = true;
            return;
        }
        pumping = true;
        do {
            pumpAgain = false;
            for (Map.Entry<String, Backlog> e : new ArrayList<>(backlogs.entrySet())) {
                while (free(e.getKey()) > 0) {
                    Order o = e.getValue().next();
                    if (o == null) break;
                    o.admitted = true;
                    admitted.merge(e.getKey(), 1, Integer::sum);
                    o.leaveBacklog.accept(Verdict.GO);
                }
            }
        } while (pumpAgain);
        pumping = false;
    }

    /** The caller went away: nothing is left to be done for its order. */
    public void gone(Order o) {
        o.gone = true;
        State.At at = o.state.at();
        if (at == State.At.ENDED) return;
        o.decision.add("caller-gone", clock.now(), Json.object().add("pieces", o.piecesOut));
        if (at == State.At.WAITING) stop(o, "the caller went away", 499);
        else if (o.state.end()) {
            o.decision.outcome("caller-gone");
            o.cancel.run();
            ended(o);
        }
    }

    /** The way of an order through this relay. */
    public Way way(Lookups lookups, Stages.Mode mode, Circuits circuits) {
        return new Way(List.of(new Stages.Key(this), new Stages.Mapping(this), new Stages.Admission(this),
            new Stages.Prefix(this, lookups), new Stages.Choice(this, mode), new Stages.Fetch(this),
            new HandOver(this, circuits)), "choice", clock, this::ended);
    }

    /** A new snapshot: back ends, shares, and what it forbids of orders under way. */
    public void tables(Tables t) {
        backends.tables(t);
        if (t.policyNumber() != shaped.policyNumber()) {
            for (Backlog b : backlogs.values()) b.shape(t.policy());
            for (Order o : live()) {
                if (o.tenant == null) continue;
                Policy.Tenant n = t.policy().tenantOfHash(o.keyHash);
                if (n == null || !n.name().equals(o.tenant.name())) stop(o, "key revoked", 401);
            }
        }
        shaped = t;
        pump();
    }

    /** Ends an order wherever it is: turned away from the backlog, or cut off at the replica. */
    public void stop(Order o, String why, int status) {
        State.At at = o.state.at();
        if (at == State.At.WAITING && !o.admitted && o.leaveBacklog != null) {
            for (Order x : backlog(o.service.name()).leave(y -> y == o))
                x.leaveBacklog.accept(Verdict.notRun(status, why, status == 401 ? 0 : 1000));
        } else if (at == State.At.HANDED || at == State.At.STREAMING) cutOff(o, why);
        // an admitted order still waiting meets the same check at the hand-over
    }

    public void cutOff(Order o, String why) {
        boolean streaming = o.state.at() == State.At.STREAMING;
        if (!o.state.end()) return;
        // the reason first: letting the replica go may end the order's record on the spot
        o.decision.add("cut-off", clock.now(), Json.object().add("why", why).add("pieces", o.piecesOut));
        o.decision.outcome(streaming ? "cut-off" : "unknown");
        o.cancel.run();
        if (!o.gone) {
            if (streaming) o.caller.cutOff(o, why);
            else o.caller.turnAway(o, (Verdict.TurnAway) Verdict.unknown(o.expiry <= clock.now() ? 504 : 502, why));
        }
        ended(o);
    }

    /** Called a few times a second: expiries, and streams whose right to go on can't be known any more. */
    public void tick() {
        long now = clock.now();
        divide(now, now - ticked);
        // after a pause of its own, replicas are given the time to say that they are there
        if (now - ticked > ASLEEP) awake = now;
        ticked = now;
        for (Order o : live()) {
            if (o.expiry > 0 && now >= o.expiry) {
                State.At at = o.state.at();
                if (at == State.At.WAITING && !o.admitted && o.leaveBacklog != null) {
                    for (Order x : backlog(o.service.name()).leave(y -> y == o))
                        x.leaveBacklog.accept(Verdict.notRun(503, "expired in the backlog", 1000));
                } else if (at == State.At.HANDED || at == State.At.STREAMING) cutOff(o, "expired");
            } else if (o.backend != null && o.backend.silent(now, awake) && o.state.at() != State.At.WAITING)
                o.lost.accept("has fallen silent");
        }
        if (now - news.licences.until(Keys.POLICY) > GRACE)
            for (Order o : live())
                if (o.tenant != null) stop(o, "no licence for so long that keys can't be known", 503);
        pump();
    }
}
