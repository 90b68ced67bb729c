package gladelug.data.request;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Why a request went where it went: what each filter found and chose, in order, with the time in ms
 * since the request was received. Written by the request thread; read as a whole by whoever
 * explains it. Contains names, numbers and reasons, never a key or a prompt. Once the request has
 * ended the record is stored as its JSON in bytes, a quarter of the objects' size, because a relay
 * remembers thousands.
 */
public final class Decision {
  private record Step(String stage, long atMs, JsonObject details) {}

  public final String id;
  public final long number;

  /** The caller's own id of it, where it has one. */
  String callerId = "";

  private final long receivedAtMs;
  private final String receivedAt = Instant.now().toString();
  private List<Step> steps = new ArrayList<>(10);
  private byte[] endedJson;
  private String outcome = "";

  public Decision(String id, long nr, long came) {
    this.id = id;
    this.number = nr;
    this.receivedAtMs = came;
  }

  public synchronized void add(String stage, long now, JsonObject what) {
    if (endedJson == null) steps.add(new Step(stage, now - receivedAtMs, what));
  }

  public synchronized void setOutcome(String o) {
    outcome = o;
  }

  public synchronized String outcome() {
    return outcome;
  }

  /** Nothing is added from now on. */
  public synchronized void end() {
    if (endedJson != null) return;
    endedJson = toJson().toString().getBytes(StandardCharsets.UTF_8);
    steps = null;
  }

  /** The record as text, whole or so far. */
  public synchronized byte[] toBytes() {
    return endedJson != null ? endedJson : toJson().toString().getBytes(StandardCharsets.UTF_8);
  }

  public synchronized JsonObject toJson() {
    if (endedJson != null)
      return Json.parse(new String(endedJson, StandardCharsets.UTF_8)).asObject();
    JsonArray array = new JsonArray();
    for (Step r : steps) {
      JsonObject json = Json.object().add("stage", r.stage).add("atMs", r.atMs);
      r.details.forEach(m -> json.add(m.getName(), m.getValue()));
      array.add(json);
    }
    return Json.object()
        .add("order", id)
        .add("came", receivedAt)
        .add("outcome", outcome.isEmpty() ? "live" : outcome)
        .add("stages", array);
  }
}
