package gladelug.data.request;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Records why a request was routed as it was: what each filter found and chose, in order, with the
 * time in ms since the request was received. Written by the request thread, readable from any
 * thread. Contains names, numbers and reasons, never an API key or a prompt. When the request ends,
 * the record is stored as JSON bytes, a quarter of the size of the objects, because a relay keeps
 * thousands of records.
 */
public final class Decision {
  private record Step(String stage, long atMs, JsonObject details) {}

  public final String id;
  public final long number;

  /** The id that the caller gave the request; empty if it gave none. */
  String callerId = "";

  private final long receivedAtMs;
  private final String receivedAt = Instant.now().toString();
  private List<Step> steps = new ArrayList<>(10);
  private byte[] endedJson;
  private String outcome = "";

  public Decision(String id, long number, long receivedAtMs) {
    this.id = id;
    this.number = number;
    this.receivedAtMs = receivedAtMs;
  }

  /** Adds what a stage decided; ignored once the record is closed. */
  public synchronized void add(String stage, long nowMs, JsonObject details) {
    if (endedJson == null) steps.add(new Step(stage, nowMs - receivedAtMs, details));
  }

  public synchronized void setOutcome(String newOutcome) {
    outcome = newOutcome;
  }

  public synchronized String outcome() {
    return outcome;
  }

  /** Closes the record: nothing is added from now on. */
  public synchronized void end() {
    if (endedJson != null) return;
    endedJson = toJson().toString().getBytes(StandardCharsets.UTF_8);
    steps = null;
  }

  /** Returns the record as JSON text in UTF-8, complete or as far as it goes now. */
  public synchronized byte[] toBytes() {
    return endedJson != null ? endedJson : toJson().toString().getBytes(StandardCharsets.UTF_8);
  }

  public synchronized JsonObject toJson() {
    if (endedJson != null)
      return Json.parse(new String(endedJson, StandardCharsets.UTF_8)).asObject();
    JsonArray array = new JsonArray();
    for (Step step : steps) {
      JsonObject json = Json.object().add("stage", step.stage).add("atMs", step.atMs);
      step.details.forEach(member -> json.add(member.getName(), member.getValue()));
      array.add(json);
    }
    return Json.object()
        .add("order", id)
        .add("came", receivedAt)
        .add("outcome", outcome.isEmpty() ? "live" : outcome)
        .add("stages", array);
  }
}
