package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The plan of a soak test. Its file is JSON with these fields. Each object in `events` has the
 * fields `atMs` and `kind`, and `target` and `forMs` (the duration) if the kind has them.
 *
 * @param seed the seed of the plan and of the clients' requests
 * @param seconds how long events go on; the recovery period without events follows
 * @param machines number of machines, each with a relay; the first three also have a member of the
 *     core
 * @param replicas number of replicas
 * @param events the events, sorted by their times
 */
record SoakPlan(long seed, int seconds, int machines, int replicas, List<SoakEvent> events) {
  static final int MEMBERS = 3;
  static final int TENANTS = 5;
  static final int MAX_SECONDS = 7200;
  static final int MAX_MACHINES = 60;
  static final int MAX_REPLICAS = 16;
  private static final int MAX_EVENT_DURATION_MS = 60_000;

  SoakPlan {
    List<SoakEvent> sorted = new ArrayList<>(events);
    sorted.sort(Comparator.comparingLong(SoakEvent::atMs));
    events = List.copyOf(sorted);
  }

  SoakPlan withEvents(List<SoakEvent> events) {
    return new SoakPlan(seed, seconds, machines, replicas, events);
  }

  /** Returns the number of targets of a kind in this plan. */
  int targetCount(EventKind.Target target) {
    return switch (target) {
      case NONE -> 0;
      case RELAY -> machines;
      case MEMBER -> MEMBERS;
      case TENANT -> TENANTS;
      case REPLICA -> replicas;
    };
  }

  String toJson() {
    JsonArray all = new JsonArray();
    for (SoakEvent event : events) {
      JsonObject one = Json.object().add("atMs", event.atMs()).add("kind", event.kind().id());
      if (event.target() > 0) one.add("target", event.target());
      if (event.durationMs() > 0) one.add("forMs", event.durationMs());
      all.add(one);
    }
    return Json.object()
        .add("seed", seed)
        .add("seconds", seconds)
        .add("machines", machines)
        .add("replicas", replicas)
        .add("events", all)
        .toString(WriterConfig.PRETTY_PRINT);
  }

  /**
   * Reads a plan from the text of a file; returns the findings with their places if it is invalid.
   */
  static Result<SoakPlan> read(String text) {
    return LocatedJson.parse(text).flatMap(SoakPlan::read);
  }

  private static Result<SoakPlan> read(LocatedJson json) {
    Findings findings = new Findings();
    LocatedJson.Fields fields = json.fields(findings);
    long seed = fields.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE);
    int seconds = (int) fields.integer("seconds", 1, MAX_SECONDS);
    int machines = (int) fields.integer("machines", MEMBERS, MAX_MACHINES);
    int replicas = (int) fields.integer("replicas", 1, MAX_REPLICAS);
    List<LocatedJson> items = fields.list("events", true);
    fields.reportUnknownFields();
    SoakPlan planWithoutEvents = new SoakPlan(seed, seconds, machines, replicas, List.of());
    List<SoakEvent> events = new ArrayList<>();
    for (LocatedJson item : items) readEvent(item, planWithoutEvents, findings, events);
    return Result.of(findings, () -> planWithoutEvents.withEvents(events));
  }

  private static void readEvent(
      LocatedJson item, SoakPlan plan, Findings findings, List<SoakEvent> events) {
    LocatedJson.Fields fields = item.fields(findings);
    long atMs = fields.integer("atMs", 0, plan.seconds * 1000L);
    String id = fields.text("kind");
    EventKind kind = EventKind.of(id).orElse(null);
    int durationMs = (int) fields.integer("forMs", 0, 0, MAX_EVENT_DURATION_MS);
    if (kind == null) {
      if (!id.isEmpty())
        findings.add(fields.place("kind"), "must be one of " + String.join(", ", EventKind.ids()));
      return;
    }
    int targetCount = plan.targetCount(kind.target);
    int target = targetCount == 0 ? 0 : (int) fields.integer("target", 1, targetCount);
    fields.reportUnknownFields();
    events.add(new SoakEvent(atMs, kind, target, durationMs));
  }
}
