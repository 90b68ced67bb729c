/*
 * The last stage: the request goes to its replica, once, and the answer's pieces come back. The
 * connection is checked to be that very replica's before it carries anything; lease, key, route,
 * replica and weights are looked at again in the same breath in which the request leaves. From then
 * on only the replica's own "not run" makes it not run; anything else before the first piece is
 * unknown. Pieces are numbered and checked, the end is explicit, and a replica's bytes after it go
 * nowhere.
 */
package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.data.news.Tables;
import gladelug.data.request.Request;
import gladelug.data.request.Stage;
import gladelug.data.request.State;
import gladelug.data.request.Verdict;
import gladelug.kernel.Log;
import gladelug.kernel.configuration.Configuration;
import gladelug.kernel.configuration.Replicas;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;

public final class HandOver implements Stage {
    private static final int CHECKS = 4;
    private final Relay r;
    private final ReplicaConnections connections;

    public HandOver(Relay r, ReplicaConnections connections) {
        this.r = r;
        this.connections = connections;
    }

    @Override public String name() {
        return "hand-over";
    }

    @Override public Uni<Verdict> pass(Request o) {
        return Uni.createFrom().emitter(e -> connection(o, o.backend, CHECKS, e));
    }

    private void connection(Request o, Backend b, int checks, UniEmitter<? super Verdict> e) {
        connections.open(b.replica, q -> {
            String is = q.who();
            if (who(b).equals(is)) hand(o, b, q, e);
            else if (checks == 0) {
                q.reset();
                e.complete(new Verdict.Again("circuits to " + b.replica.instance() + " could not be checked"));
            } else check(o, b, q, checks, e);
        }, why -> {
            b.bad(r.clock.now(), 1000);
            e.complete(new Verdict.Again("no circuit to " + b.replica.instance()));
        });
    }

    private static String who(Backend b) {
        return b.replica.service() + "/" + b.replica.instance();
    }

    /** The first use of a new connection asks who is there; only the right answer lets requests on it. */
    private void check(Request o, Backend b, ReplicaConnections.Connection q, int checks,
        UniEmitter<? super Verdict> e) {
        q.identify(is -> {
            if (is.equals(who(b))) {
                connection(o, b, checks - 1, e);
                return;
            }
            q.close();
            b.bad(r.clock.now(), 2000);
            Log.warn("circuit-to-another", "wanted", who(b), "found", is.isEmpty() ? "nobody" : is, "address",
                b.replica.address());
            e.complete(new Verdict.Again("the address of " + b.replica.instance() + " is not that replica's"));
        });
    }

    /** Everything that may have changed since it was looked at first; empty where all still holds. */
    private Verdict last(Request o, Backend b) {
        long now = r.clock.now();
        if (r.stopping && o.tries > 0) return Verdict.notRun(503, "stopping", 1000);
        if (!r.news.leases.valid(now)) return Verdict.notRun(503, "no licence", 1000);
        if (now >= o.deadline) return Verdict.notRun(503, "expired before it was handed over", 1000);
        Tables t = r.tables();
        Configuration.Tenant n = t.configuration().tenantOfHash(o.keyHash);
        if (n == null || !n.name().equals(o.tenant.name())) return Verdict.notRun(401, "key revoked", 0);
        if (n.isolated() != o.tenant.isolated()) return Verdict.notRun(503, "the tenant's isolation changed", 200);
        Configuration.Route m = t.configuration().route(o.path);
        Configuration.Service s = t.configuration().service(o.service.name());
        if (m == null || s == null || m.service() != s.index()) return Verdict.notRun(503, "the mapping changed", 200);
        Replicas.Replica p = t.replicas().find(b.replica.instance());
        if (p == null || !p.ready() || !p.address().equals(b.replica.address()) || !p.service().equals(s.name())
            || !s.allows(p.address()))
            return new Verdict.Again(b.replica.instance() + " is not ready any more");
        if (s.kind() == Configuration.Kind.MODEL) {
            String[] w = r.weights(s.name());
            if (w == null || !o.weights.equals(w[0]) && (w[1].isEmpty() || !o.weights.equals(w[1])))
                return new Verdict.Again("other weights are named");
        }
        return null;
    }

    private void hand(Request o, Backend b, ReplicaConnections.Connection q, UniEmitter<? super Verdict> e) {
        Verdict v = last(o, b);
        if (v != null || o.gone || !o.state.step(State.At.WAITING, State.At.HANDED)) {
            q.reset();
            if (o.gone) {
                o.decision.outcome("caller-gone");
                e.complete(Verdict.ENDED);
            } else e.complete(v == null ? Verdict.ENDED : v);
            return;
        }
        o.tries++;
        o.handedAt = r.clock.now();
        if (o.tries == 1) r.budget.firstTry(o.service.name());
        o.decision.add("hand-over", r.clock.now(),
            Json.object().add("replica", b.replica.instance()).add("try", o.tries));
        o.cancel = q::reset;
        Stream x = new Stream(o, b, q, e);
        o.lost = x::over;
        q.order(body(o, b), x);
    }

    private String body(Request o, Backend b) {
        JsonObject j = Json.object().add("order", o.id()).add("try", o.tries).add("service", o.service.name())
            .add("instance", b.replica.instance())
            .add("weights", o.weights).add("wall", o.wall).add("prompt", o.prompt).add("maxPieces", o.maxPieces);
        if (o.fetchBlocks > 0) {
            JsonArray bs = new JsonArray();
            for (int i = o.matched; i < o.matched + o.fetchBlocks; i++) bs.add(String.format("%016x", o.blocks[i]));
            Replicas.Replica h = r.tables().replicas().find(o.fetchFrom);
            if (h != null) j.add("fetch",
                Json.object().add("from", o.fetchFrom).add("address", h.address().toString()).add("blocks", bs));
        }
        return j.toString();
    }

    /** Before the first piece went out: once more where that is allowed, else of unknown fate. */
    private void failure(Request o, Backend b, String what, UniEmitter<? super Verdict> e) {
        if (o.state.at() == State.At.ENDED) {
            e.complete(Verdict.ENDED);
            return;
        }
        if (o.state.at() == State.At.STREAMING) {
            b.bad(r.clock.now(), 300);
            r.cutOff(o, what);
            e.complete(Verdict.ENDED);
            return;
        }
        b.bad(r.clock.now(), 1000);
        o.mayHaveRun = true;
        o.cancel.run();
        if (o.repeatable && again(o)) e.complete(new Verdict.Again(what));
        else e.complete(Verdict.unknown(502, what));
    }

    private boolean again(Request o) {
        if (r.clock.now() >= o.deadline || r.stopping || !r.budget.secondTry(o.service.name())) return false;
        return o.state.step(State.At.HANDED, State.At.WAITING);
    }

    private final class Stream implements ReplicaConnections.Answer {
        private final Request o;
        private final Backend b;
        private final ReplicaConnections.Connection q;
        private final UniEmitter<? super Verdict> e;
        private boolean head;
        private boolean over;

        Stream(Request o, Backend b, ReplicaConnections.Connection q, UniEmitter<? super Verdict> e) {
            this.o = o;
            this.b = b;
            this.q = q;
            this.e = e;
        }

        @Override public void refused(int status, String body) {
            if (over) return;
            if (status != 409) {
                broken("answered " + status);
                return;
            }
            String why = "";
            try {
                JsonObject j = Json.parse(body).asObject();
                if (o.id().equals(j.getString("order", "")) && "not-run".equals(j.getString("outcome", "")))
                    why = j.getString("reason", "none given");
            } catch (RuntimeException x) {
                why = "";
            }
            if (why.isEmpty()) {
                broken("answered 409 without saying not-run of this order");
                return;
            }
            over = true;
            if (o.state.at() != State.At.HANDED) e.complete(Verdict.ENDED);
            else if (again(o)) {
                if (why.startsWith("weights")) b.weights = "";
                b.bad(r.clock.now(), 100);
                e.complete(new Verdict.Again(b.replica.instance() + " did not run it: " + why));
            } else e.complete(Verdict.notRun(503, "the replica did not run it: " + why, 1000));
        }

        @Override public void over(String why) {
            broken(why);
        }

        private void broken(String what) {
            if (over) return;
            over = true;
            q.reset();
            failure(o, b, b.replica.instance() + ": " + what, e);
        }

        @Override public void line(String x) {
            if (over) return;
            JsonObject j;
            try {
                j = Json.parse(x).asObject();
            } catch (RuntimeException t) {
                broken("a line that is no piece");
                return;
            }
            if (o.state.at() == State.At.ENDED) {
                over = true;
                q.reset();
                e.complete(Verdict.ENDED);
                return;
            }
            if (!head) {
                if (!o.id().equals(j.getString("order", ""))
                    || !b.replica.instance().equals(j.getString("instance", ""))
                    || !o.weights.equals(j.getString("weights", ""))) {
                    broken("the answer is not to this order, from this replica, under these weights");
                    return;
                }
                head = true;
                JsonValue u = j.get("used");
                if (u != null && u.isObject()) o.decision.add("replica", r.clock.now(), (JsonObject) u);
                return;
            }
            if (j.getBoolean("end", false)) end(j);
            else piece(j);
        }

        private void piece(JsonObject j) {
            JsonValue n = j.get("piece"), t = j.get("text");
            if (n == null || !n.isNumber() || t == null || !t.isString()
                || !n.toString().equals(Integer.toString(o.piecesOut))) {
                broken("piece " + n + " where " + o.piecesOut + " was due");
                return;
            }
            if (o.piecesOut == 0) {
                if (!o.state.step(State.At.HANDED, State.At.STREAMING)) return;
                o.decision.add("stream", r.clock.now(), Json.object().add("firstPieceMs", r.clock.now() - o.came));
            }
            o.piecesOut++;
            if (!o.caller.piece(o, Json.object().add("piece", n).add("text", t).toString(), q::resume)) q.pause();
        }

        private void end(JsonObject j) {
            JsonValue n = j.get("pieces");
            if (n == null || !n.isNumber() || !n.toString().equals(Integer.toString(o.piecesOut))) {
                broken("the end speaks of " + n + " pieces after " + o.piecesOut);
                return;
            }
            over = true;
            o.cancel = () -> {};
            if (o.state.end()) {
                o.decision.outcome("complete");
                if (!o.gone) o.caller.complete(o, o.piecesOut);
            }
            e.complete(Verdict.ENDED);
        }
    }
}
