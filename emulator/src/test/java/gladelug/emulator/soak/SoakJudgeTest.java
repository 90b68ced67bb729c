package gladelug.emulator.soak;

import gladelug.emulator.soak.ConfigurationModel.Tenant;
import gladelug.emulator.soak.SoakLedger.Call;
import gladelug.emulator.soak.SoakLedger.Change;
import gladelug.emulator.soak.SoakLedger.ChangeOutcome;
import gladelug.emulator.soak.SoakLedger.Disturbance;
import gladelug.emulator.soak.SoakLedger.End;
import gladelug.emulator.soak.SoakLedger.MemoryReading;
import gladelug.emulator.soak.SoakLedger.Order;
import gladelug.emulator.soak.SoakLedger.PartUse;
import gladelug.emulator.soak.SoakLedger.Readiness;
import gladelug.emulator.soak.SoakLedger.Run;
import gladelug.emulator.soak.SoakLedger.UnexpectedExit;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that SoakJudge finds a planted violation of each rule, by that rule and by no other. */
final class SoakJudgeTest {
  /** The time of all planted violations, long after the first configuration. */
  private static final long AT_MS = 100_000;

  private static final ConfigurationModel FIRST = ConfigurationModel.initial("127.0.0.1:1");
  private static final Map<SoakRule, Consumer<SoakLedger>> BREACHES = breaches();

  /**
   * Returns the ledger of a run without violations: requests are served after the events, under one
   * configuration.
   */
  private static SoakLedger cleanLedger() {
    SoakLedger ledger = new SoakLedger();
    change(ledger, 1, 0, FIRST, 1000);
    for (int i = 0; i < 40; i++) served(ledger, "well-" + i, RequestKind.READ, AT_MS + i);
    ledger.recordFinalConfiguration(FIRST.toJson(1));
    ledger.recordEndOfEvents(AT_MS - 20_000);
    ledger.recordReadiness(new Readiness(1, true, AT_MS));
    return ledger;
  }

  private static Change change(
      SoakLedger ledger, long revision, long base, ConfigurationModel meaning, long atMs) {
    Change change =
        ledger.recordChange(
            new Change(revision, base, "PUT", meaning.toJson(revision), true, meaning, atMs));
    change.outcome = ChangeOutcome.ACKNOWLEDGED;
    change.acknowledgedAtMs = atMs;
    return change;
  }

  private static Call call(SoakLedger ledger, String id, RequestKind kind, long atMs, End end) {
    Call call = new Call(id, "tenant-1", "key-1-0", kind, 1, atMs, kind.deadlineMs);
    call.bodyDigest = "digest";
    call.writtenAtMs = atMs;
    call.endedAtMs = atMs + 100;
    call.end = end;
    ledger.recordCall(call);
    return call;
  }

  private static Run run(SoakLedger ledger, Call call) {
    return ledger.recordRun(
        new Run(
            call.id,
            "i-1-1",
            ConfigurationModel.SERVICE,
            ConfigurationModel.ownerOfKey(call.key),
            call.sentAtMs,
            call.bodyDigest,
            ""));
  }

  private static Call served(SoakLedger ledger, String id, RequestKind kind, long atMs) {
    Call call = call(ledger, id, kind, atMs, End.ANSWERED);
    call.status = 200;
    call.seal = "seal-i-1-1-" + id;
    call.echoedId = id;
    run(ledger, call);
    return call;
  }

  private static void cut(SoakLedger ledger, int number, long atMs, long endedAtMs) {
    Call call = call(ledger, "cut-" + number, RequestKind.LONG_STREAM, atMs, End.CUT);
    call.endedAtMs = endedAtMs;
    run(ledger, call);
  }

  private static ConfigurationModel withFirstTenant(boolean isolated, String key) {
    return FIRST.withTenant("tenant-1", new Tenant(key, isolated));
  }

  private static Map<SoakRule, Consumer<SoakLedger>> breaches() {
    Map<SoakRule, Consumer<SoakLedger>> all = new EnumMap<>(SoakRule.class);
    all.put(
        SoakRule.MIXED, ledger -> served(ledger, "x", RequestKind.READ, AT_MS).echoedId = "well-1");
    all.put(
        SoakRule.UNASKED,
        ledger ->
            ledger.recordRun(
                new Run("nobody's", "i-1-1", ConfigurationModel.SERVICE, "", AT_MS, "digest", "")));
    all.put(SoakRule.TWICE, ledger -> run(ledger, served(ledger, "x", RequestKind.ASK, AT_MS)));
    all.put(
        SoakRule.REFUSED,
        ledger -> {
          Call call = call(ledger, "x", RequestKind.ASK, AT_MS, End.ANSWERED);
          call.status = 503;
          run(ledger, call);
        });
    all.put(
        SoakRule.KEY,
        ledger -> {
          ConfigurationModel other = withFirstTenant(false, "key-1-1");
          ledger.recordFinalConfiguration(other.toJson(2));
          change(ledger, 2, 1, other, AT_MS + 1000);
          served(ledger, "x", RequestKind.READ, AT_MS + 8000);
        });
    all.put(
        SoakRule.WALL,
        ledger -> {
          ConfigurationModel other = withFirstTenant(true, "key-1-0");
          ledger.recordFinalConfiguration(other.toJson(2));
          change(ledger, 2, 1, other, AT_MS + 1000);
          served(ledger, "x", RequestKind.READ, AT_MS + 5000);
          ledger.recordPartUse(new PartUse("x", "tenant-1", "well-1", "tenant-2", AT_MS + 5010));
        });
    all.put(
        SoakRule.DENIED,
        ledger -> {
          for (int i = 0; i < 8; i++)
            call(ledger, "x" + i, RequestKind.READ, AT_MS, End.ANSWERED).status = 404;
        });
    answersAndStops(all);
    changesAndProcesses(all);
    return all;
  }

  private static void answersAndStops(Map<SoakRule, Consumer<SoakLedger>> all) {
    all.put(
        SoakRule.ANSWERED,
        ledger -> {
          for (int i = 0; i < 4; i++)
            call(ledger, "x" + i, RequestKind.READ, AT_MS, End.SILENT).endedAtMs = AT_MS + 9500;
        });
    all.put(
        SoakRule.LOST_AT_STOP,
        ledger -> {
          ledger.recordDisturbance(
              new Disturbance(AT_MS, AT_MS + 8000, EventKind.RELAY_TERM, "relay-1"));
          cut(ledger, 1, AT_MS + 1000, AT_MS + 4000);
        });
    all.put(
        SoakRule.LOST_AT_CHANGE,
        ledger -> {
          change(ledger, 2, 1, FIRST, AT_MS + 1000);
          ledger.recordFinalConfiguration(FIRST.toJson(2));
          for (int i = 0; i < 3; i++) cut(ledger, i, AT_MS + 1000, AT_MS + 1500);
        });
    all.put(
        SoakRule.LOST,
        ledger -> {
          for (int i = 0; i < 5; i++) cut(ledger, i, AT_MS, AT_MS + 500);
        });
    all.put(
        SoakRule.BUDGET,
        ledger -> {
          for (int i = 0; i < 120; i++)
            run(ledger, served(ledger, "x" + i, RequestKind.READ, AT_MS));
        });
  }

  private static void changesAndProcesses(Map<SoakRule, Consumer<SoakLedger>> all) {
    all.put(
        SoakRule.ONE_WINNER,
        ledger -> {
          change(ledger, 2, 1, FIRST, AT_MS);
          change(ledger, 3, 1, FIRST, AT_MS);
          ledger.recordFinalConfiguration(FIRST.toJson(3));
        });
    all.put(
        SoakRule.INVALID,
        ledger -> {
          Change change = ledger.recordChange(new Change(2, 1, "PUT", "{}", false, FIRST, AT_MS));
          change.outcome = ChangeOutcome.ACKNOWLEDGED;
          ledger.recordFinalConfiguration(FIRST.toJson(2));
        });
    all.put(
        SoakRule.SENT_AGAIN, ledger -> ledger.changes().get(0).refusedAfterAcknowledgement = true);
    all.put(SoakRule.READ_BACK, ledger -> ledger.recordFinalConfiguration(null));
    all.put(
        SoakRule.FENCE,
        ledger -> {
          ledger.recordOrder(new Order("i-1-1", "node-1", 7, AT_MS));
          ledger.recordOrder(new Order("i-1-1", "node-2", 7, AT_MS));
        });
    all.put(SoakRule.EXIT, ledger -> ledger.recordExit(new UnexpectedExit("relay-1", 4, AT_MS)));
    all.put(
        SoakRule.MEMORY,
        ledger -> ledger.recordMemory(new MemoryReading("relay-1", 431L << 10, AT_MS)));
    all.put(SoakRule.READY, ledger -> ledger.recordReadiness(new Readiness(2, false, AT_MS)));
    all.put(
        SoakRule.RECOVERS,
        ledger -> {
          for (int i = 0; i < 200; i++)
            call(ledger, "x" + i, RequestKind.READ, AT_MS, End.ANSWERED).status = 500;
        });
  }

  private static Set<SoakRule> brokenRules(SoakLedger ledger, Set<SoakRule> without) {
    return SoakJudge.judge(ledger, without).stream()
        .map(Violation::rule)
        .collect(Collectors.toCollection(() -> EnumSet.noneOf(SoakRule.class)));
  }

  @Test
  void aRunWithoutFaultsBreaksNoRule() {
    Assertions.assertEquals(List.of(), SoakJudge.judge(cleanLedger(), Set.of()));
  }

  @ParameterizedTest
  @EnumSource
  void aPlantedViolationIsFoundByItsRuleAlone(SoakRule rule) {
    SoakLedger ledger = cleanLedger();
    BREACHES.get(rule).accept(ledger);
    Set<SoakRule> found = brokenRules(ledger, Set.of());
    Assertions.assertEquals(Set.of(rule), found);
    Assertions.assertFalse(
        brokenRules(ledger, Set.of(rule)).contains(rule), "a disabled rule reports nothing");
  }

  @Test
  void usesAllowedByAConfigurationThatMayBeInForceBreakNoRule() {
    SoakLedger ledger = cleanLedger();
    ConfigurationModel isolated = withFirstTenant(true, "key-1-1");
    change(ledger, 2, 1, isolated, AT_MS + 1000);
    Change unknown = ledger.recordChange(new Change(3, 2, "PUT", "", true, FIRST, AT_MS + 2000));
    Assertions.assertEquals(ChangeOutcome.UNKNOWN, unknown.outcome);
    ledger.recordFinalConfiguration(isolated.toJson(2));
    served(ledger, "x", RequestKind.READ, AT_MS + 9000);
    ledger.recordPartUse(new PartUse("x", "tenant-1", "well-1", "tenant-2", AT_MS + 9010));
    Assertions.assertEquals(List.of(), SoakJudge.judge(ledger, Set.of()));
  }

  @Test
  void aStreamThatIsCutAtTheEndOfTheGracePeriodBreaksNoRule() {
    SoakLedger ledger = cleanLedger();
    ledger.recordDisturbance(new Disturbance(AT_MS, AT_MS + 8000, EventKind.RELAY_TERM, "relay-1"));
    cut(ledger, 1, AT_MS - 1000, AT_MS + 7500);
    Assertions.assertEquals(List.of(), SoakJudge.judge(ledger, Set.of()));
  }

  @Test
  void requestsThatAreCutWhenTheSoakIsInterruptedBreakNoRule() {
    SoakLedger ledger = cleanLedger();
    for (int i = 0; i < 5; i++) cut(ledger, i, AT_MS, AT_MS + 500);
    ledger.recordInterruption(AT_MS + 500);
    Assertions.assertEquals(List.of(), SoakJudge.judge(ledger, Set.of()));
  }

  @Test
  void answersThatAReplicaFaultCutBreakNoRule() {
    SoakLedger ledger = cleanLedger();
    for (int i = 0; i < 6; i++) {
      Call call = call(ledger, "x" + i, RequestKind.STREAM, AT_MS, End.CUT);
      run(ledger, call).spoiledBy = EventKind.ANSWER_CUT;
    }
    Assertions.assertEquals(List.of(), SoakJudge.judge(ledger, Set.of()));
  }
}
