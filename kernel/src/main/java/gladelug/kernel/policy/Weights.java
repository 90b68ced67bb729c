/*
 * Which weights each model service is meant to run, as operators named them, and which came before.
 * Immutable; naming makes a new one. Until weights are named for a service it has none and orders
 * for it are turned away.
 */
package gladelug.kernel.policy;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.kernel.Doc;
import gladelug.kernel.Findings;
import gladelug.kernel.Result;
import java.util.Map;
import java.util.TreeMap;

public final class Weights {
    public record Named(String now, String before, long nr) {}

    public static final Weights NONE = new Weights(Map.of());
    public final Map<String, Named> byService;

    public Weights(Map<String, Named> m) {
        byService = java.util.Collections.unmodifiableMap(new TreeMap<>(m));
    }

    public Named of(String service) {
        return byService.get(service);
    }

    public Weights naming(String service, String weights, long nr) {
        Named old = byService.get(service);
        Map<String, Named> m = new TreeMap<>(byService);
        m.put(service, new Named(weights, old == null ? "" : old.now, nr));
        return new Weights(m);
    }

    public static Result<Weights> parse(String json) {
        return Doc.parse(json).then(d -> {
            Findings fs = new Findings();
            Map<String, Named> m = new TreeMap<>();
            Doc.Fields f = d.fields(fs);
            for (String s : d.members.keySet()) {
                Doc o = f.object(s, true);
                if (o == null) continue;
                Doc.Fields g = o.fields(fs);
                m.put(s, new Named(g.text("now"), g.text("before", ""), g.whole("nr", 0, Long.MAX_VALUE)));
            }
            return Result.of(fs, () -> new Weights(m));
        });
    }

    public String json() {
        JsonObject o = Json.object();
        byService.forEach((s, n) -> o.add(s, Json.object().add("now", n.now).add("before", n.before).add("nr", n.nr)));
        return o.toString();
    }
}
