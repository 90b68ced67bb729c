package gladelug.emulator.sim;

import gladelug.emulator.history.Counterexample;
import gladelug.emulator.sim.OperatorsRun.Plan;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests that histories show when a rule of the core is broken: each rule is switched off under the
 * troubles that need it, and seeds are tried until the checker objects.
 */
final class BrokenRulesTest {
  private static final int SEEDS = 60;

  private static Plan plan(long seed, FaultKind... kinds) {
    return new Plan(seed % 2 == 0, 3, 2, 3, 900, 0, 25, List.of(kinds), 1200);
  }

  /** The first seed whose history contradicts itself; the rule kept, the same run does not. */
  private static void isNoticed(BrokenRule rule, FaultKind... kinds) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      OperatorsRun run = OperatorsRun.play(seed, plan(seed, kinds), rule);
      if (Counterexample.of(run.history()).isEmpty()) continue;
      OperatorsRun kept = OperatorsRun.play(seed, plan(seed, kinds), BrokenRule.NONE);
      Assertions.assertEquals(List.of(), kept.findings(), kept::report);
      return;
    }
    Assertions.fail(rule + " is broken and no history of " + SEEDS + " seeds shows it");
  }

  @Test
  void keysOwnedWithoutAMajorityOfPromisesAreNoticed() {
    isNoticed(
        BrokenRule.PROMISES_OF_A_MAJORITY, FaultKind.SPLIT, FaultKind.ONE_WAY_CUT, FaultKind.KILL);
  }

  @Test
  void acknowledgementsBeforeAMajorityHasWrittenAreNoticed() {
    isNoticed(
        BrokenRule.WRITES_OF_A_MAJORITY,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.POWER_AFTER_ACKNOWLEDGEMENT,
        FaultKind.FREEZE,
        FaultKind.DISK_SLOW);
  }

  @Test
  void readsAndRefusalsWithoutAConfirmedRoundAreNoticed() {
    isNoticed(
        BrokenRule.CONFIRMATIONS_OF_A_MAJORITY,
        FaultKind.FREEZE,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT);
  }

  @Test
  void answersBeforeTheDiskHasThemAreNoticed() {
    isNoticed(
        BrokenRule.DURABLE_BEFORE_ANSWERED,
        FaultKind.DISK_SLOW,
        FaultKind.DISK_STALL,
        FaultKind.POWER_AFTER_ACKNOWLEDGEMENT,
        FaultKind.ALL_LOSE_POWER);
  }

  @Test
  void takenChangesThatAreForgottenAreNoticed() {
    isNoticed(
        BrokenRule.TAKEN_CHANGES_REMEMBERED,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.FREEZE,
        FaultKind.KILL);
  }

  @Test
  void aLostDiskThatCountsAsTheSameIsNoticed() {
    isNoticed(
        BrokenRule.EMPTY_DISK_IS_ANOTHER,
        FaultKind.WIPE_AFTER_ACKNOWLEDGEMENT,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.ALL_KILLED,
        FaultKind.KILL);
  }
}
