/*
 * Which replica is to be told which weights, now: from what is listed and named, and from what each
 * replica last said of itself. A naming that comes half way through a roll simply becomes the new
 * aim. Pure; who may command is decided elsewhere.
 */
package gladelug.control.duty;

import gladelug.kernel.Result;
import gladelug.kernel.configuration.Configuration;
import gladelug.kernel.configuration.Replicas;
import gladelug.kernel.configuration.Weights;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

public final class Steering {
    private static final long AGAIN = 1000, STALE = 1500;

    /** What is kept of the three keys, as it came, and how old the naming is. */
    public record Kept(byte[] replicas, byte[] weights, byte[] configuration, long age) {}

    private static final class Seen {
        String weights = "";
        boolean loading;
        long at = Long.MIN_VALUE / 2;
        long steered = Long.MIN_VALUE / 2;
        String steeredTo = "";
    }

    private final int cutoff;
    private final Map<String, Seen> seen = new HashMap<>();
    private Kept kept = new Kept(new byte[0], new byte[0], new byte[0], 0);
    private Replicas replicas = Replicas.NONE;
    private Weights weights = Weights.NONE;
    private Configuration configuration = Configuration.EMPTY;

    public Steering(int cutoff) {
        this.cutoff = cutoff;
    }

    /** Reads only what is not the same as last time. */
    public void view(Kept k) {
        if (k.replicas != kept.replicas) replicas = or(Replicas.parse(text(k.replicas)), Replicas.NONE);
        if (k.weights != kept.weights) weights = or(Weights.parse(text(k.weights)), Weights.NONE);
        if (k.configuration != kept.configuration)
            configuration = or(Configuration.parse(text(k.configuration)), Configuration.EMPTY);
        kept = k;
        seen.keySet().retainAll(steerable().stream().map(Replicas.Replica::instance).toList());
    }

    private static String text(byte[] b) {
        return new String(b, StandardCharsets.UTF_8);
    }

    private static <T> T or(Result<T> r, T none) {
        return r instanceof Result.Good<T> g ? g.value() : none;
    }

    /** Only replicas of a model service, where the configuration allows them, with weights named. */
    public List<Replicas.Replica> steerable() {
        List<Replicas.Replica> l = new ArrayList<>();
        for (Replicas.Replica r : replicas.all) if (steerable(r)) l.add(r);
        return l;
    }

    private boolean steerable(Replicas.Replica r) {
        Configuration.Service s = configuration.service(r.service());
        return s != null && s.kind() == Configuration.Kind.MODEL && s.allows(r.address())
            && weights.of(r.service()) != null;
    }

    /** What a replica said of itself. */
    public void said(Replicas.Replica r, String runs, boolean loading, long now) {
        if (!steerable(r)) return;
        Seen x = seen.computeIfAbsent(r.instance(), i -> new Seen());
        x.weights = runs;
        x.loading = loading;
        x.at = now;
    }

    /** The weights the replica is to be told now, or an empty text. */
    public String wanted(Replicas.Replica r, long now) {
        Seen x = seen.get(r.instance());
        if (x == null || !steerable(r)) return "";
        String want = weights.of(r.service()).now();
        boolean told = x.steeredTo.equals(want);
        if (x.weights.equals(want) && !x.loading || x.loading && told || now - x.steered < AGAIN && told) return "";
        SortedMap<String, Batches.Replica> all = new TreeMap<>();
        for (Replicas.Replica o : steerable()) {
            if (!o.service().equals(r.service())) continue;
            Seen y = seen.get(o.instance());
            boolean heard = y != null && now - y.at < STALE;
            all.put(o.instance(), !heard
                ? Batches.Replica.SILENT
                : y.weights.equals(want) && !y.loading ? Batches.Replica.MOVED : Batches.Replica.WAITING);
        }
        return Batches.may(r.instance(), all, kept.age, cutoff) ? want : "";
    }

    public void told(Replicas.Replica r, String to, long now) {
        Seen x = seen.get(r.instance());
        if (x == null) return;
        x.steered = now;
        x.steeredTo = to;
    }
}
