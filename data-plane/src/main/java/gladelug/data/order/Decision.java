/*
 * Why an order went where it went: what each stage found and chose, in order, with the time since
 * the order came. Written by the order's own thread; read whole by whoever asks. Holds names,
 * numbers and reasons, never a key or a prompt.
 */
package gladelug.data.order;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

public final class Decision {
    private record Reason(String stage, long at, JsonObject what) {}

    public final String id;
    public final long nr;
    private final long came;
    private final String wall = java.time.Instant.now().toString();
    private final List<Reason> reasons = new ArrayList<>(10);
    private String outcome = "";

    public Decision(String id, long nr, long came) {
        this.id = id;
        this.nr = nr;
        this.came = came;
    }

    public synchronized void add(String stage, long now, JsonObject what) {
        reasons.add(new Reason(stage, now - came, what));
    }

    public synchronized void outcome(String o) {
        outcome = o;
    }

    public synchronized String outcome() {
        return outcome;
    }

    public synchronized JsonObject json() {
        JsonArray a = new JsonArray();
        for (Reason r : reasons) {
            JsonObject o = Json.object().add("stage", r.stage).add("atMs", r.at);
            r.what.forEach(m -> o.add(m.getName(), m.getValue()));
            a.add(o);
        }
        return Json.object().add("order", id).add("came", wall).add("outcome", outcome.isEmpty() ? "live" : outcome).add("stages", a);
    }
}
