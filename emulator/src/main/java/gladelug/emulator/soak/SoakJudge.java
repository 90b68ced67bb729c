package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.emulator.soak.SoakLedger.Call;
import gladelug.emulator.soak.SoakLedger.Change;
import gladelug.emulator.soak.SoakLedger.Disturbance;
import gladelug.emulator.soak.SoakLedger.End;
import gladelug.emulator.soak.SoakLedger.Fate;
import gladelug.emulator.soak.SoakLedger.PartUse;
import gladelug.emulator.soak.SoakLedger.Run;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Judges a soak from its ledger alone. The bounds are those of the platform's pages, with some time
 * more for a machine that also plays clients and replicas; a check that needs to know which
 * configuration was in force judges only what is certain of every one that may have been.
 */
final class SoakJudge {
  private static final int REVOCATION_MS = 5000;
  private static final int APPLY_MS = 2000;
  private static final int RECOVERY_MS = 12_000;

  /** For what this machine adds to the bounds of the pages. */
  private static final int SLACK_MS = 1500;

  /** Half a second on the pages; how much later than its route's time an answer may come here. */
  private static final int LATE_MS = 2000;

  private static final int UNANSWERED_LEAST = 3;
  private static final int LOST_MOST = 3;
  private static final int DENIED_MOST = 5;
  private static final int DENIED_IN = 500;

  /** A request that has used more of its time counts as one that would have ended late anyway. */
  private static final double SPENT = 0.7;

  private static final int SAMPLE_MS = 100;
  private static final int RETRY_WINDOW_MS = 10_000;
  private static final double RETRY_RATIO = 0.2;
  private static final int RETRY_SLACK = 62;

  /** Requests sent later than this after SIGTERM may be cut late without breaking a rule. */
  private static final int TAKEN_AFTER_TERM_MS = 3000;

  private final SoakLedger ledger;
  private final Set<SoakRule> without;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, List<Run>> runsById = new HashMap<>();
  private final List<Change> changes;
  private final List<Disturbance> disturbances;
  private final Calm calm;

  private SoakJudge(SoakLedger ledger, Set<SoakRule> without) {
    this.ledger = ledger;
    this.without = without;
    this.changes = ledger.changes();
    this.disturbances = ledger.disturbances();
    this.calm = new Calm(disturbances);
    for (Run run : ledger.runs())
      runsById.computeIfAbsent(run.id, id -> new ArrayList<>()).add(run);
  }

  /**
   * Every rule that was broken, the first of each kind first.
   *
   * @param without rules that are switched off, to see that a breach is found by them alone
   */
  static List<Violation> judge(SoakLedger ledger, Set<SoakRule> without) {
    SoakJudge judge = new SoakJudge(ledger, without);
    judge.requests();
    judge.runs();
    judge.walls();
    judge.unanswered();
    judge.lost();
    judge.budget();
    judge.configurations();
    judge.processes();
    judge.end();
    return judge.violations;
  }

  private void broken(SoakRule rule, long atMs, List<String> ids, String what) {
    if (!without.contains(rule)) violations.add(new Violation(rule, atMs, ids, what));
  }

  private void broken(SoakRule rule, Call call, String what) {
    broken(rule, call.endedAtMs, List.of(call.id), what);
  }

  private List<Run> runs(Call call) {
    return runsById.getOrDefault(call.id, List.of());
  }

  private void requests() {
    List<Call> denied = new ArrayList<>();
    for (Call call : ledger.calls.values()) {
      List<Run> runs = runs(call);
      if (call.served()) mixed(call, runs);
      if (!call.kind.repeatable() && runs.size() > 1)
        broken(SoakRule.TWICE, call, runs.size() + " runs of a request of " + call.kind);
      if (!call.kind.repeatable() && call.promisedNotRun() && !runs.isEmpty())
        broken(SoakRule.REFUSED, call, "answered " + call.status + " and ran");
      if (!runs.isEmpty() && certainlyWithout(call.key, call.sentAtMs))
        broken(SoakRule.KEY, call, "ran on the key " + call.key);
      if (denied(call)) denied.add(call);
    }
    if (denied.size() > DENIED_MOST + ledger.calls.size() / DENIED_IN)
      broken(
          SoakRule.DENIED,
          denied.get(0).endedAtMs,
          ids(denied),
          denied.size() + " proper requests were denied");
  }

  private static List<String> ids(List<Call> calls) {
    return calls.stream().map(call -> call.id).toList();
  }

  private void mixed(Call call, List<Run> runs) {
    boolean other = runs.stream().anyMatch(run -> run.spoiltBy == EventKind.ANSWER_HUGE);
    if (!call.seal.endsWith("-" + call.id))
      broken(SoakRule.MIXED, call, "a success with the seal '" + call.seal + "'");
    else if (!call.echoedId.equals(call.id))
      broken(SoakRule.MIXED, call, "the answer to " + call.echoedId);
    else if (!call.wrongBody.isEmpty() && !other) broken(SoakRule.MIXED, call, call.wrongBody);
  }

  private boolean denied(Call call) {
    boolean refused = call.status == 401 || call.status == 403 || call.status == 404;
    return call.end == End.ANSWERED
        && refused
        && certain(call.sentAtMs, APPLY_MS, model -> model.tenantOfKey(call.key) != null)
        && calm.inTouch(call.machine, call.sentAtMs, call.endedAtMs);
  }

  private boolean certainlyWithout(String key, long sentAtMs) {
    return certain(sentAtMs, REVOCATION_MS, model -> model.tenantOfKey(key) == null);
  }

  /**
   * Whether something holds of every configuration that may be in force at a time: of the newest
   * that was acknowledged so long before, and of all that were sent since.
   */
  private boolean certain(long atMs, long graceMs, Predicate<ConfigurationModel> holds) {
    Change newest = null;
    for (Change change : changes)
      if (change.acknowledged()
          && change.ackedAtMs + graceMs + SLACK_MS < atMs
          && (newest == null || change.revision > newest.revision)) newest = change;
    if (newest == null || !holds.test(newest.meaning)) return false;
    for (Change change : changes)
      if (change.valid
          && change.revision > newest.revision
          && change.fate != Fate.REFUSED
          && !holds.test(change.meaning)) return false;
    return true;
  }

  private void runs() {
    for (Run run : ledger.runs()) {
      Call call = ledger.calls.get(run.id);
      if (call == null) {
        broken(SoakRule.UNASKED, run.atMs, List.of(run.id), "nobody sent it");
        continue;
      }
      if (!run.bodyDigest.equals(call.bodyDigest))
        broken(SoakRule.UNASKED, call, "ran with another body");
      if (!run.tenant.equals(ConfigurationModel.ownerOfKey(call.key)))
        broken(SoakRule.UNASKED, call, "ran in the name of '" + run.tenant + "'");
      if (!run.leakedKey.isEmpty()) broken(SoakRule.UNASKED, call, "the replica got its key");
    }
    Map<String, String> holders = new HashMap<>();
    for (SoakLedger.Order order : ledger.orders()) {
      String fence = order.instance() + " fence " + order.fence();
      String before = holders.putIfAbsent(fence, order.holder());
      if (before != null && !before.equals(order.holder()))
        broken(
            SoakRule.FENCE, order.atMs(), List.of(), fence + ": " + before + ", " + order.holder());
    }
  }

  private void walls() {
    for (PartUse use : ledger.partUses()) {
      Call call = ledger.calls.get(use.id());
      if (call == null || use.tenant().equals(use.maker())) continue;
      boolean inTouch = calm.inTouch(call.machine, call.sentAtMs, use.atMs());
      long graceMs = inTouch ? APPLY_MS : REVOCATION_MS;
      for (String tenant : List.of(use.tenant(), use.maker()))
        if (certain(call.sentAtMs, graceMs, model -> model.isolates(tenant)))
          broken(
              SoakRule.WALL,
              use.atMs(),
              List.of(use.id(), use.makerId()),
              use.tenant() + " used a part of " + use.maker() + "; " + tenant + " is isolated");
    }
  }

  /** The pages: more than half of those unanswered at their time have no answer soon after. */
  private void unanswered() {
    List<Call> open = new ArrayList<>(), late = new ArrayList<>();
    for (Call call : ledger.calls.values()) {
      long dueMs = call.sentAtMs + call.deadlineMs;
      boolean sent = call.wroteAtMs >= 0 && call.wroteAtMs < dueMs;
      if (!sent || call.end == End.OPEN || call.end == End.GIVEN_UP || call.endedAtMs <= dueMs)
        continue;
      if (!calm.inTouch(call.machine, call.sentAtMs, dueMs + LATE_MS)) continue;
      open.add(call);
      if (call.endedAtMs > dueMs + LATE_MS) late.add(call);
    }
    if (late.size() >= UNANSWERED_LEAST && late.size() * 2 > open.size())
      broken(
          SoakRule.ANSWERED,
          late.get(0).sentAtMs,
          ids(late),
          late.size()
              + " of "
              + open.size()
              + " had no answer "
              + LATE_MS
              + " ms after their time");
  }

  private void lost() {
    List<Call> lost = new ArrayList<>(), besideChanges = new ArrayList<>();
    int atOtherTimes = 0;
    for (Call call : ledger.calls.values()) {
      if (call.end != End.CUT || call.endedAtMs >= ledger.interruptedAtMs()) continue;
      if (!soundRuns(call)) continue;
      if (call.endedAtMs >= call.sentAtMs + call.deadlineMs - SLACK_MS) continue;
      Disturbance stop = stopOf(call);
      boolean planned = calm.nothingElse(stop, call.machine, call.sentAtMs, call.endedAtMs);
      if (planned && call.endedAtMs < call.sentAtMs + SPENT * call.deadlineMs) {
        if (besideChange(call.endedAtMs)) besideChanges.add(call);
        else atOtherTimes++;
      }
      if (stop != null) lostAtStop(call, stop);
      else if (calm.inTouch(call.machine, call.sentAtMs, call.endedAtMs)) lost.add(call);
    }
    lostAtChanges(besideChanges, atOtherTimes);
    if (lost.size() > LOST_MOST)
      broken(
          SoakRule.LOST,
          lost.get(0).endedAtMs,
          ids(lost),
          lost.size() + " connections ended without an answer");
  }

  /** The pages: over three times as often beside configurations as at other times. */
  private void lostAtChanges(List<Call> besideChanges, int atOtherTimes) {
    long changingMs = 0;
    for (long atMs = 0; atMs < ledger.nowMs(); atMs += SAMPLE_MS)
      if (besideChange(atMs)) changingMs += SAMPLE_MS;
    long otherMs = Math.max(SAMPLE_MS, ledger.nowMs() - changingMs);
    double share = besideChanges.size() / (double) Math.max(1, changingMs);
    if (besideChanges.size() >= UNANSWERED_LEAST && share > 3.0 * atOtherTimes / otherMs)
      broken(
          SoakRule.LOST_AT_CHANGE,
          besideChanges.get(0).endedAtMs,
          ids(besideChanges),
          besideChanges.size() + " cut beside configurations, " + atOtherTimes + " otherwise");
  }

  private boolean besideChange(long atMs) {
    for (Change change : changes)
      if (change.valid
          && change.fate != Fate.REFUSED
          && change.sentAtMs <= atMs
          && (change.ackedAtMs < 0 || change.ackedAtMs + APPLY_MS + 1000 >= atMs)) return true;
    return false;
  }

  /** Whether it was passed on and no replica's fault cut it. */
  private boolean soundRuns(Call call) {
    List<Run> runs = runs(call);
    return !runs.isEmpty()
        && runs.stream().allMatch(run -> run.spoiltBy == null && !replicaDisturbed(run));
  }

  private boolean replicaDisturbed(Run run) {
    String process = "replica-" + run.instance.split("-")[1];
    return disturbances.stream()
        .anyMatch(
            disturbance ->
                disturbance.process().equals(process)
                    && disturbance.toMs() + Calm.CONTACT_MS >= run.atMs
                    && (run.endedAtMs < 0 || disturbance.fromMs() <= run.endedAtMs + SLACK_MS));
  }

  private Disturbance stopOf(Call call) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.kind().stopsRelay()
          && Calm.ofRelay(disturbance, call.machine)
          && call.sentAtMs <= disturbance.toMs()
          && call.endedAtMs >= disturbance.fromMs()) return disturbance;
    }
    return null;
  }

  private void lostAtStop(Call call, Disturbance stop) {
    long lastSixthMs = stop.fromMs() + SoakMachines.GRACE_MS * 5L / 6;
    boolean cutLate =
        call.endedAtMs >= lastSixthMs && call.sentAtMs <= stop.fromMs() + TAKEN_AFTER_TERM_MS;
    if (!cutLate && calm.nothingElse(stop, call.machine, call.sentAtMs, call.endedAtMs))
      broken(
          SoakRule.LOST_AT_STOP,
          call,
          "cut "
              + (call.endedAtMs - stop.fromMs())
              + " ms after SIGTERM, sent "
              + (call.sentAtMs - stop.fromMs())
              + " ms after it");
  }

  private void budget() {
    TreeMap<Long, int[]> bySecond = new TreeMap<>();
    for (Call call : ledger.calls.values())
      bySecond.computeIfAbsent(call.sentAtMs / 1000, second -> new int[2])[0]++;
    runsById.values().stream()
        .flatMap(runs -> runs.stream().skip(1))
        .forEach(run -> bySecond.computeIfAbsent(run.atMs / 1000, second -> new int[2])[1]++);
    for (long second : bySecond.keySet()) {
      int requests = 0, further = 0;
      for (int[] counts : bySecond.subMap(second, second + RETRY_WINDOW_MS / 1000).values()) {
        requests += counts[0];
        further += counts[1];
      }
      if (further > RETRY_RATIO * requests + RETRY_SLACK) {
        String what = further + " further tries beside " + requests + " requests";
        broken(SoakRule.BUDGET, second * 1000, List.of(), what);
        return;
      }
    }
  }

  private void configurations() {
    Map<Long, Change> byBase = new HashMap<>();
    for (Change change : changes) {
      if (change.refusedAgain)
        broken(SoakRule.SENT_AGAIN, change.ackedAtMs, List.of(), told(change));
      if (!change.acknowledged()) continue;
      if (!change.valid) broken(SoakRule.INVALID, change.ackedAtMs, List.of(), told(change));
      Change other = byBase.put(change.base, change);
      if (other != null)
        broken(SoakRule.ONE_WINNER, change.ackedAtMs, List.of(), told(change) + ", " + told(other));
    }
    readBack();
  }

  private static String told(Change change) {
    String answer = change.answer.substring(0, Math.min(200, change.answer.length()));
    return "revision " + change.revision + " on " + change.base + " answered " + answer;
  }

  private void readBack() {
    long newest =
        changes.stream()
            .filter(Change::acknowledged)
            .mapToLong(change -> change.revision)
            .max()
            .orElse(0);
    String text = ledger.finalConfiguration();
    if (newest == 0 || ledger.endOfEventsMs() < 0) return;
    String wrong = text == null ? "it did not come" : wrongReadBack(text, newest);
    if (!wrong.isEmpty()) broken(SoakRule.READ_BACK, ledger.nowMs(), List.of(), wrong);
  }

  private String wrongReadBack(String text, long newest) {
    JsonObject json = Json.parse(text).asObject();
    long revision = json.getLong("Revision", -1);
    if (revision < newest) return "revision " + revision + " after " + newest;
    for (Change change : changes)
      if (change.revision == revision && change.fate != Fate.REFUSED)
        return tenants(json).equals(change.meaning.tenants())
            ? ""
            : "revision " + revision + " has other tenants than were sent";
    return "revision " + revision + ", which nobody sent";
  }

  private static Map<String, ConfigurationModel.Tenant> tenants(JsonObject json) {
    Map<String, ConfigurationModel.Tenant> tenants = new HashMap<>();
    JsonValue items = json.get("Tenants");
    for (JsonValue item : items == null ? new JsonArray() : items.asArray()) {
      JsonObject one = item.asObject();
      tenants.put(
          one.getString("Name", ""),
          new ConfigurationModel.Tenant(
              one.get("ApiKeys").asArray().get(0).asString(), one.getBoolean("Isolated", false)));
    }
    return tenants;
  }

  private void processes() {
    for (SoakLedger.OwnExit exit : ledger.ownExits())
      broken(SoakRule.EXIT, exit.atMs(), List.of(), exit.process() + " ended with " + exit.code());
    for (SoakLedger.Memory reading : ledger.memory())
      if (reading.rssKb() > SoakMachines.MEMORY_MB * 1024L) {
        String what = reading.process() + " took " + reading.rssKb() + " kB";
        broken(SoakRule.MEMORY, reading.atMs(), List.of(), what);
        return;
      }
  }

  /** After the last event: readiness, and what is served once there was the time to recover. */
  private void end() {
    if (ledger.endOfEventsMs() < 0) return;
    long fromMs = ledger.endOfEventsMs() + RECOVERY_MS;
    int sent = 0, served = 0;
    for (Call call : ledger.calls.values()) {
      if (call.sentAtMs < fromMs || call.end == End.GIVEN_UP || call.end == End.OPEN) continue;
      sent++;
      if (call.served() || call.status == 401) served++;
    }
    if (served * 4 < sent || sent == 0)
      broken(SoakRule.RECOVERS, fromMs, List.of(), served + " of " + sent + " were served");
    Map<Integer, Boolean> ready = new TreeMap<>();
    for (SoakLedger.Readiness answer : ledger.readiness())
      if (answer.atMs() >= fromMs)
        ready.merge(answer.machine(), answer.ready(), Boolean::logicalOr);
    ready.forEach(
        (machine, was) -> {
          if (!was) broken(SoakRule.READY, fromMs, List.of(), "relay " + machine + " is not ready");
        });
  }
}
