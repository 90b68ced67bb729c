package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.emulator.soak.SoakLedger.Call;
import gladelug.emulator.soak.SoakLedger.Change;
import gladelug.emulator.soak.SoakLedger.ChangeOutcome;
import gladelug.emulator.soak.SoakLedger.Disturbance;
import gladelug.emulator.soak.SoakLedger.End;
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
 * Checks the rules of a soak test against its ledger alone. The bounds are those of the platform's
 * specification plus some slack, since this machine also runs the clients and replicas. Checks that
 * depend on the configuration in force report only what breaks the rule under every configuration
 * that may have been in force.
 */
final class SoakJudge {
  private static final int REVOCATION_MS = 5000;
  private static final int APPLY_MS = 2000;
  private static final int RECOVERY_MS = 12_000;

  /** Slack for the delays that this machine adds to the bounds of the specification. */
  private static final int TIMING_SLACK_MS = 1500;

  /** How long after its route's deadline an answer may come; the specification has 500 ms. */
  private static final int MAX_ANSWER_DELAY_MS = 2000;

  private static final int MIN_OFFENDERS = 3;
  private static final int MAX_LOST_CALLS = 3;
  private static final int MAX_DENIED_CALLS = 5;
  private static final int MAX_DENIED_ONE_IN = 500;

  /**
   * A request that has used a larger fraction of its time counts as one that would have ended late
   * anyway.
   */
  private static final double MAX_DEADLINE_FRACTION_USED = 0.7;

  private static final int SAMPLE_INTERVAL_MS = 100;
  private static final int RETRY_WINDOW_MS = 10_000;
  private static final double RETRY_RATIO = 0.2;
  private static final int RETRY_SLACK = 62;

  /**
   * A relay may cut a request in the last sixth of the grace period only if it was sent before
   * SIGTERM or at most this long after it.
   */
  private static final int ACCEPTED_AFTER_TERM_MS = 3000;

  private final SoakLedger ledger;
  private final Set<SoakRule> disabledRules;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, List<Run>> runsById = new HashMap<>();
  private final List<Change> changes;
  private final List<Disturbance> disturbances;
  private final DisturbanceWindows disturbanceWindows;

  private SoakJudge(SoakLedger ledger, Set<SoakRule> disabledRules) {
    this.ledger = ledger;
    this.disabledRules = disabledRules;
    this.changes = ledger.changes();
    this.disturbances = ledger.disturbances();
    this.disturbanceWindows = new DisturbanceWindows(disturbances);
    for (Run run : ledger.runs())
      runsById.computeIfAbsent(run.id, id -> new ArrayList<>()).add(run);
  }

  /**
   * Checks all rules and returns the violations.
   *
   * @param disabledRules rules that are not checked; tests use them to show that a violation is
   *     found by one rule only
   */
  static List<Violation> judge(SoakLedger ledger, Set<SoakRule> disabledRules) {
    SoakJudge judge = new SoakJudge(ledger, disabledRules);
    judge.checkRequests();
    judge.checkRuns();
    judge.checkIsolation();
    judge.checkUnanswered();
    judge.checkLost();
    judge.checkRetryBudget();
    judge.checkConfigurations();
    judge.checkProcesses();
    judge.checkRecovery();
    return judge.violations;
  }

  private void addViolation(SoakRule rule, long atMs, List<String> ids, String description) {
    if (!disabledRules.contains(rule)) violations.add(new Violation(rule, atMs, ids, description));
  }

  private void addViolation(SoakRule rule, Call call, String description) {
    addViolation(rule, call.endedAtMs, List.of(call.id), description);
  }

  private List<Run> runsOf(Call call) {
    return runsById.getOrDefault(call.id, List.of());
  }

  private void checkRequests() {
    List<Call> denied = new ArrayList<>();
    for (Call call : ledger.calls.values()) {
      List<Run> runs = runsOf(call);
      if (call.isServed()) checkAnswer(call, runs);
      if (!call.kind.isRepeatable() && runs.size() > 1)
        addViolation(SoakRule.TWICE, call, runs.size() + " runs of a request of kind " + call.kind);
      if (!call.kind.isRepeatable() && call.isRefusedUnexecuted() && !runs.isEmpty())
        addViolation(SoakRule.REFUSED, call, "answered with " + call.status + ", but ran");
      if (!runs.isEmpty() && isKeyCertainlyRevoked(call.key, call.sentAtMs))
        addViolation(SoakRule.KEY, call, "ran with the revoked key " + call.key);
      if (isWronglyDenied(call)) denied.add(call);
    }
    if (denied.size() > MAX_DENIED_CALLS + ledger.calls.size() / MAX_DENIED_ONE_IN)
      addViolation(
          SoakRule.DENIED,
          denied.get(0).endedAtMs,
          ids(denied),
          denied.size() + " valid requests were denied");
  }

  private static List<String> ids(List<Call> calls) {
    return calls.stream().map(call -> call.id).toList();
  }

  private void checkAnswer(Call call, List<Run> runs) {
    boolean bodyReplacedByFault =
        runs.stream().anyMatch(run -> run.spoiledBy == EventKind.ANSWER_HUGE);
    if (!call.seal.endsWith("-" + call.id))
      addViolation(SoakRule.MIXED, call, "successful answer with the seal '" + call.seal + "'");
    else if (!call.echoedId.equals(call.id))
      addViolation(SoakRule.MIXED, call, "got the answer to " + call.echoedId);
    else if (!call.bodyProblem.isEmpty() && !bodyReplacedByFault)
      addViolation(SoakRule.MIXED, call, call.bodyProblem);
  }

  private boolean isWronglyDenied(Call call) {
    boolean refused = call.status == 401 || call.status == 403 || call.status == 404;
    return call.end == End.ANSWERED
        && refused
        && holdsForAllPossible(
            call.sentAtMs, APPLY_MS, model -> model.tenantOfKey(call.key) != null)
        && disturbanceWindows.isUndisturbed(call.machine, call.sentAtMs, call.endedAtMs);
  }

  private boolean isKeyCertainlyRevoked(String key, long sentAtMs) {
    return holdsForAllPossible(sentAtMs, REVOCATION_MS, model -> model.tenantOfKey(key) == null);
  }

  /**
   * Returns whether a condition holds for every configuration that may be in force at a time: the
   * newest one that was acknowledged at least the grace time before, and all later ones that were
   * not refused.
   */
  private boolean holdsForAllPossible(
      long atMs, long graceMs, Predicate<ConfigurationModel> holds) {
    Change newest = null;
    for (Change change : changes)
      if (change.isAcknowledged()
          && change.acknowledgedAtMs + graceMs + TIMING_SLACK_MS < atMs
          && (newest == null || change.revision > newest.revision)) newest = change;
    if (newest == null || !holds.test(newest.configuration)) return false;
    for (Change change : changes)
      if (change.valid
          && change.revision > newest.revision
          && change.outcome != ChangeOutcome.REFUSED
          && !holds.test(change.configuration)) return false;
    return true;
  }

  private void checkRuns() {
    for (Run run : ledger.runs()) {
      Call call = ledger.calls.get(run.id);
      if (call == null) {
        addViolation(SoakRule.UNASKED, run.atMs, List.of(run.id), "no client sent it");
        continue;
      }
      if (!run.bodyDigest.equals(call.bodyDigest))
        addViolation(SoakRule.UNASKED, call, "ran with a different body");
      if (!run.tenant.equals(ConfigurationModel.ownerOfKey(call.key)))
        addViolation(SoakRule.UNASKED, call, "ran as tenant '" + run.tenant + "'");
      if (!run.leakedKey.isEmpty())
        addViolation(SoakRule.UNASKED, call, "the replica received the client's key");
    }
    Map<String, String> holders = new HashMap<>();
    for (SoakLedger.Order order : ledger.orders()) {
      String fence = order.instance() + " fence " + order.fence();
      String earlierHolder = holders.putIfAbsent(fence, order.holder());
      if (earlierHolder != null && !earlierHolder.equals(order.holder()))
        addViolation(
            SoakRule.FENCE,
            order.atMs(),
            List.of(),
            fence + ": " + earlierHolder + ", " + order.holder());
    }
  }

  private void checkIsolation() {
    for (PartUse use : ledger.partUses()) {
      Call call = ledger.calls.get(use.id());
      if (call == null || use.tenant().equals(use.creatorTenant())) continue;
      boolean inTouch = disturbanceWindows.isUndisturbed(call.machine, call.sentAtMs, use.atMs());
      long graceMs = inTouch ? APPLY_MS : REVOCATION_MS;
      for (String tenant : List.of(use.tenant(), use.creatorTenant()))
        if (holdsForAllPossible(call.sentAtMs, graceMs, model -> model.isIsolated(tenant)))
          addViolation(
              SoakRule.WALL,
              use.atMs(),
              List.of(use.id(), use.creatorId()),
              use.tenant()
                  + " used a cached part of "
                  + use.creatorTenant()
                  + "; "
                  + tenant
                  + " is isolated");
    }
  }

  /**
   * The specification's bound: at most half of the calls that are open at their deadline may stay
   * without an answer for longer than MAX_ANSWER_DELAY_MS.
   */
  private void checkUnanswered() {
    List<Call> openAtDeadline = new ArrayList<>(), late = new ArrayList<>();
    for (Call call : ledger.calls.values()) {
      long dueMs = call.sentAtMs + call.deadlineMs;
      boolean sent = call.writtenAtMs >= 0 && call.writtenAtMs < dueMs;
      if (!sent || call.end == End.OPEN || call.end == End.GIVEN_UP || call.endedAtMs <= dueMs)
        continue;
      if (!disturbanceWindows.isUndisturbed(
          call.machine, call.sentAtMs, dueMs + MAX_ANSWER_DELAY_MS)) continue;
      openAtDeadline.add(call);
      if (call.endedAtMs > dueMs + MAX_ANSWER_DELAY_MS) late.add(call);
    }
    if (late.size() >= MIN_OFFENDERS && late.size() * 2 > openAtDeadline.size())
      addViolation(
          SoakRule.ANSWERED,
          late.get(0).sentAtMs,
          ids(late),
          late.size()
              + " of "
              + openAtDeadline.size()
              + " calls open at their deadline had no answer "
              + MAX_ANSWER_DELAY_MS
              + " ms later");
  }

  private void checkLost() {
    List<Call> lost = new ArrayList<>(), duringChanges = new ArrayList<>();
    int atOtherTimes = 0;
    for (Call call : ledger.calls.values()) {
      if (call.end != End.CUT || call.endedAtMs >= ledger.interruptedAtMs()) continue;
      if (!ranWithoutReplicaFault(call)) continue;
      if (call.endedAtMs >= call.sentAtMs + call.deadlineMs - TIMING_SLACK_MS) continue;
      Disturbance stop = relayStopDuring(call);
      boolean planned =
          disturbanceWindows.isOnlyDisturbance(stop, call.machine, call.sentAtMs, call.endedAtMs);
      if (planned
          && call.endedAtMs < call.sentAtMs + MAX_DEADLINE_FRACTION_USED * call.deadlineMs) {
        if (isDuringChange(call.endedAtMs)) duringChanges.add(call);
        else atOtherTimes++;
      }
      if (stop != null) checkLostAtStop(call, stop);
      else if (disturbanceWindows.isUndisturbed(call.machine, call.sentAtMs, call.endedAtMs))
        lost.add(call);
    }
    checkLostAtChanges(duringChanges, atOtherTimes);
    if (lost.size() > MAX_LOST_CALLS)
      addViolation(
          SoakRule.LOST,
          lost.get(0).endedAtMs,
          ids(lost),
          lost.size() + " connections ended without a complete answer");
  }

  /**
   * The specification's bound: calls may be lost at most three times as often during configuration
   * changes as at other times.
   */
  private void checkLostAtChanges(List<Call> duringChanges, int atOtherTimes) {
    long changingMs = 0;
    for (long atMs = 0; atMs < ledger.nowMs(); atMs += SAMPLE_INTERVAL_MS)
      if (isDuringChange(atMs)) changingMs += SAMPLE_INTERVAL_MS;
    long otherMs = Math.max(SAMPLE_INTERVAL_MS, ledger.nowMs() - changingMs);
    double lostPerMs = duringChanges.size() / (double) Math.max(1, changingMs);
    if (duringChanges.size() >= MIN_OFFENDERS && lostPerMs > 3.0 * atOtherTimes / otherMs)
      addViolation(
          SoakRule.LOST_AT_CHANGE,
          duringChanges.get(0).endedAtMs,
          ids(duringChanges),
          duringChanges.size()
              + " cut during configuration changes, "
              + atOtherTimes
              + " at other times");
  }

  private boolean isDuringChange(long atMs) {
    for (Change change : changes)
      if (change.valid
          && change.outcome != ChangeOutcome.REFUSED
          && change.sentAtMs <= atMs
          && (change.acknowledgedAtMs < 0 || change.acknowledgedAtMs + APPLY_MS + 1000 >= atMs))
        return true;
    return false;
  }

  /**
   * Returns whether the call reached a replica and no fault of a replica affected any of its runs.
   */
  private boolean ranWithoutReplicaFault(Call call) {
    List<Run> runs = runsOf(call);
    return !runs.isEmpty()
        && runs.stream().allMatch(run -> run.spoiledBy == null && !isReplicaDisturbed(run));
  }

  private boolean isReplicaDisturbed(Run run) {
    String process = "replica-" + run.instance.split("-")[1];
    return disturbances.stream()
        .anyMatch(
            disturbance ->
                disturbance.process().equals(process)
                    && disturbance.toMs() + DisturbanceWindows.SETTLING_MS >= run.atMs
                    && (run.endedAtMs < 0
                        || disturbance.fromMs() <= run.endedAtMs + TIMING_SLACK_MS));
  }

  /** Returns a planned stop of the call's relay that overlaps the call, or null. */
  private Disturbance relayStopDuring(Call call) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.kind().stopsRelay()
          && DisturbanceWindows.affectsRelay(disturbance, call.machine)
          && call.sentAtMs <= disturbance.toMs()
          && call.endedAtMs >= disturbance.fromMs()) return disturbance;
    }
    return null;
  }

  private void checkLostAtStop(Call call, Disturbance stop) {
    long lastSixthMs = stop.fromMs() + SoakMachines.TERMINATION_GRACE_MS * 5L / 6;
    boolean cutLate =
        call.endedAtMs >= lastSixthMs && call.sentAtMs <= stop.fromMs() + ACCEPTED_AFTER_TERM_MS;
    if (!cutLate
        && disturbanceWindows.isOnlyDisturbance(stop, call.machine, call.sentAtMs, call.endedAtMs))
      addViolation(
          SoakRule.LOST_AT_STOP,
          call,
          "cut "
              + (call.endedAtMs - stop.fromMs())
              + " ms after SIGTERM, sent "
              + (call.sentAtMs - stop.fromMs())
              + " ms after it");
  }

  private void checkRetryBudget() {
    TreeMap<Long, int[]> bySecond = new TreeMap<>();
    for (Call call : ledger.calls.values())
      bySecond.computeIfAbsent(call.sentAtMs / 1000, second -> new int[2])[0]++;
    runsById.values().stream()
        .flatMap(runs -> runs.stream().skip(1))
        .forEach(run -> bySecond.computeIfAbsent(run.atMs / 1000, second -> new int[2])[1]++);
    for (long second : bySecond.keySet()) {
      int requests = 0, retries = 0;
      for (int[] counts : bySecond.subMap(second, second + RETRY_WINDOW_MS / 1000).values()) {
        requests += counts[0];
        retries += counts[1];
      }
      if (retries > RETRY_RATIO * requests + RETRY_SLACK) {
        String description = retries + " retries for " + requests + " requests";
        addViolation(SoakRule.BUDGET, second * 1000, List.of(), description);
        return;
      }
    }
  }

  private void checkConfigurations() {
    Map<Long, Change> byBase = new HashMap<>();
    for (Change change : changes) {
      if (change.refusedAfterAcknowledgement)
        addViolation(SoakRule.SENT_AGAIN, change.acknowledgedAtMs, List.of(), describe(change));
      if (!change.isAcknowledged()) continue;
      if (!change.valid)
        addViolation(SoakRule.INVALID, change.acknowledgedAtMs, List.of(), describe(change));
      Change otherChange = byBase.put(change.baseRevision, change);
      if (otherChange != null)
        addViolation(
            SoakRule.ONE_WINNER,
            change.acknowledgedAtMs,
            List.of(),
            describe(change) + ", " + describe(otherChange));
    }
    checkReadBack();
  }

  private static String describe(Change change) {
    String answer = change.answers.substring(0, Math.min(200, change.answers.length()));
    return "revision "
        + change.revision
        + " based on "
        + change.baseRevision
        + " answered "
        + answer;
  }

  private void checkReadBack() {
    long newest =
        changes.stream()
            .filter(Change::isAcknowledged)
            .mapToLong(change -> change.revision)
            .max()
            .orElse(0);
    String text = ledger.finalConfiguration();
    if (newest == 0 || ledger.endOfEventsMs() < 0) return;
    String problem =
        text == null ? "no configuration could be read" : describeWrongReadBack(text, newest);
    if (!problem.isEmpty()) addViolation(SoakRule.READ_BACK, ledger.nowMs(), List.of(), problem);
  }

  private String describeWrongReadBack(String text, long newest) {
    JsonObject json = Json.parse(text).asObject();
    long revision = json.getLong("Revision", -1);
    if (revision < newest)
      return "revision " + revision + " was read after the acknowledgement of " + newest;
    for (Change change : changes)
      if (change.revision == revision && change.outcome != ChangeOutcome.REFUSED)
        return tenants(json).equals(change.configuration.tenants())
            ? ""
            : "revision " + revision + " has other tenants than the one that was sent";
    return "revision " + revision + ", which no operator sent";
  }

  private static Map<String, ConfigurationModel.Tenant> tenants(JsonObject json) {
    Map<String, ConfigurationModel.Tenant> tenants = new HashMap<>();
    JsonValue items = json.get("Tenants");
    for (JsonValue item : items == null ? new JsonArray() : items.asArray()) {
      JsonObject tenant = item.asObject();
      tenants.put(
          tenant.getString("Name", ""),
          new ConfigurationModel.Tenant(
              tenant.get("ApiKeys").asArray().get(0).asString(),
              tenant.getBoolean("Isolated", false)));
    }
    return tenants;
  }

  private void checkProcesses() {
    for (SoakLedger.UnexpectedExit exit : ledger.unexpectedExits())
      addViolation(
          SoakRule.EXIT,
          exit.atMs(),
          List.of(),
          exit.process() + " ended with exit code " + exit.code());
    for (SoakLedger.MemoryReading reading : ledger.memory())
      if (reading.rssKb() > SoakMachines.MEMORY_LIMIT_MB * 1024L) {
        String description = reading.process() + " used " + reading.rssKb() + " kB of memory";
        addViolation(SoakRule.MEMORY, reading.atMs(), List.of(), description);
        return;
      }
  }

  /**
   * Checks readiness and the share of served calls once the time to recover after the last event is
   * over.
   */
  private void checkRecovery() {
    if (ledger.endOfEventsMs() < 0) return;
    long recoveredAtMs = ledger.endOfEventsMs() + RECOVERY_MS;
    int sent = 0, served = 0;
    for (Call call : ledger.calls.values()) {
      if (call.sentAtMs < recoveredAtMs || call.end == End.GIVEN_UP || call.end == End.OPEN)
        continue;
      sent++;
      if (call.isServed() || call.status == 401) served++;
    }
    if (served * 4 < sent || sent == 0)
      addViolation(
          SoakRule.RECOVERS,
          recoveredAtMs,
          List.of(),
          served + " of " + sent + " calls were served");
    Map<Integer, Boolean> ready = new TreeMap<>();
    for (SoakLedger.Readiness answer : ledger.readiness())
      if (answer.atMs() >= recoveredAtMs)
        ready.merge(answer.machine(), answer.ready(), Boolean::logicalOr);
    ready.forEach(
        (machine, wasReady) -> {
          if (!wasReady)
            addViolation(
                SoakRule.READY, recoveredAtMs, List.of(), "relay " + machine + " is not ready");
        });
  }
}
