package gladelug.emulator.sim;

import gladelug.emulator.history.Counterexample;
import gladelug.emulator.sim.OperatorsRun.Plan;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests that the linearizability check detects a disabled rule of the core: each rule is disabled
 * under faults that make it matter, and seeds are tried until a history is contradictory.
 */
final class BrokenRulesTest {
  private static final int SEEDS = 60;

  private static Plan plan(long seed, FaultKind... kinds) {
    return new Plan(seed % 2 == 0, 3, 2, 3, 900, 0, 25, List.of(kinds), 1200);
  }

  /**
   * Finds a seed whose history is contradictory, and requires that the same run is correct with the
   * rule enabled.
   */
  private static void assertDetected(BrokenRule rule, FaultKind... kinds) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      OperatorsRun run = OperatorsRun.play(seed, plan(seed, kinds), rule);
      if (Counterexample.of(run.history()).isEmpty()) continue;
      OperatorsRun correctRun = OperatorsRun.play(seed, plan(seed, kinds), BrokenRule.NONE);
      Assertions.assertEquals(List.of(), correctRun.findings(), correctRun::report);
      return;
    }
    Assertions.fail(rule + " is broken and no history of " + SEEDS + " seeds shows it");
  }

  @Test
  void keysOwnedWithoutAMajorityOfPromisesAreNoticed() {
    assertDetected(
        BrokenRule.PROMISES_OF_A_MAJORITY, FaultKind.SPLIT, FaultKind.ONE_WAY_CUT, FaultKind.KILL);
  }

  @Test
  void acknowledgementsBeforeAMajorityHasWrittenAreNoticed() {
    assertDetected(
        BrokenRule.WRITES_OF_A_MAJORITY,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.POWER_AFTER_ACKNOWLEDGEMENT,
        FaultKind.FREEZE,
        FaultKind.DISK_SLOW);
  }

  @Test
  void readsAndRefusalsWithoutAConfirmedRoundAreNoticed() {
    assertDetected(
        BrokenRule.CONFIRMATIONS_OF_A_MAJORITY,
        FaultKind.FREEZE,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT);
  }

  @Test
  void answersBeforeTheDiskHasThemAreNoticed() {
    assertDetected(
        BrokenRule.DURABLE_BEFORE_ANSWERED,
        FaultKind.DISK_SLOW,
        FaultKind.DISK_STALL,
        FaultKind.POWER_AFTER_ACKNOWLEDGEMENT,
        FaultKind.ALL_LOSE_POWER);
  }

  @Test
  void takenChangesThatAreForgottenAreNoticed() {
    assertDetected(
        BrokenRule.TAKEN_CHANGES_REMEMBERED,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.FREEZE,
        FaultKind.KILL);
  }

  @Test
  void aLostDiskThatCountsAsTheSameIsNoticed() {
    assertDetected(
        BrokenRule.EMPTY_DISK_IS_ANOTHER,
        FaultKind.WIPE_AFTER_ACKNOWLEDGEMENT,
        FaultKind.SHORT_CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.ALL_KILLED,
        FaultKind.KILL);
  }
}
