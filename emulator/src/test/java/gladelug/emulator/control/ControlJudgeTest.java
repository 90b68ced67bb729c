package gladelug.emulator.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladelug.emulator.LedgerChecker.Finding;
import gladelug.emulator.control.ChangeLedger.Attempt;
import gladelug.emulator.control.ChangeLedger.Outcome;
import gladelug.emulator.control.ChangeLedger.Reading;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that each rule of ControlJudge finds the violation planted for it, that no other rule does,
 * and that the most similar correct behavior breaks no rule.
 */
final class ControlJudgeTest {
  private static final long LONGEST_GAP_MS = 12_000;
  private final ChangeLedger ledger = new ChangeLedger();

  /** Content 1 is confirmed under number 1 at 100 ms, content 2 under number 2 at 1100 ms. */
  @BeforeEach
  void twoChanges() {
    attempt(1, 0, 0, 100, Outcome.CONFIRMED, 1);
    attempt(2, 1, 1000, 1100, Outcome.CONFIRMED, 2);
  }

  private void attempt(
      int content, long basedOn, long sentAtMs, long answeredAtMs, Outcome outcome, long number) {
    int status =
        switch (outcome) {
          case CONFIRMED -> 200;
          case REFUSED_AS_STALE -> 412;
          case REFUSED -> 400;
          case NOT_TAKEN -> 503;
          case UNKNOWN -> 504;
        };
    ledger.record(
        new Attempt("x", "a", content, basedOn, sentAtMs, answeredAtMs, outcome, status, number));
  }

  private void reading(long sentAtMs, long number, int content) {
    ledger.record(new Reading("a", sentAtMs, sentAtMs + 10, 200, number, content));
  }

  private void assertBrokenRules(String... rules) {
    assertEquals(
        List.of(rules),
        ControlJudge.judge(ledger, LONGEST_GAP_MS).stream()
            .filter(finding -> !finding.passed())
            .map(Finding::rule)
            .toList());
  }

  @Test
  void confirmedChangesAndCurrentReadsBreakNoRule() {
    reading(50, 0, -1);
    reading(200, 1, 1);
    reading(1200, 2, 2);
    assertBrokenRules();
  }

  @Test
  void anOldStateShownAfterAConfirmationIsFound() {
    reading(1101, 1, 1);
    assertBrokenRules(ControlJudge.OLD_STATE_SHOWN);
  }

  @Test
  void anOldStateShownWhileTheChangeIsInProgressIsAllowed() {
    reading(1100, 1, 1);
    assertBrokenRules();
  }

  @Test
  void aRefusalOnOldStateIsFound() {
    attempt(3, 2, 1200, 1300, Outcome.REFUSED_AS_STALE, 1);
    assertBrokenRules(ControlJudge.REFUSED_ON_OLD_STATE);
  }

  @Test
  void aRefusalOfAChangeBasedOnTheCurrentNumberIsFound() {
    attempt(3, 2, 1200, 1300, Outcome.REFUSED_AS_STALE, 2);
    assertBrokenRules(ControlJudge.REFUSED_ON_OLD_STATE);
  }

  @Test
  void aRefusalOfAnOutdatedChangeIsAllowed() {
    attempt(3, 1, 1200, 1300, Outcome.REFUSED_AS_STALE, 2);
    assertBrokenRules();
  }

  @Test
  void twoContentsConfirmedUnderOneNumberAreFound() {
    attempt(3, 1, 1000, 1150, Outcome.CONFIRMED, 2);
    assertBrokenRules(ControlJudge.TWO_UNDER_ONE_NUMBER);
  }

  @Test
  void oneContentConfirmedUnderTwoNumbersIsFound() {
    attempt(2, 1, 1200, 1300, Outcome.CONFIRMED, 3);
    assertBrokenRules(ControlJudge.CONFIRMED_TWICE);
  }

  @Test
  void theSameContentConfirmedAgainUnderItsNumberIsAllowed() {
    attempt(2, 1, 1200, 1300, Outcome.CONFIRMED, 2);
    assertBrokenRules();
  }

  @Test
  void aTakenChangeThatIsRefusedWhenSentAgainIsFound() {
    attempt(3, 2, 1200, 1250, Outcome.UNKNOWN, -1);
    reading(1300, 3, 3);
    attempt(3, 2, 1400, 1450, Outcome.REFUSED_AS_STALE, 3);
    assertBrokenRules(ControlJudge.TAKEN_CHANGE_REFUSED);
  }

  @Test
  void aConfirmedChangeThatIsRefusedWhenSentAgainIsFound() {
    attempt(2, 1, 1200, 1300, Outcome.REFUSED, -1);
    assertBrokenRules(ControlJudge.TAKEN_CHANGE_REFUSED);
  }

  @Test
  void aLostChangeThatIsRefusedWhenSentAgainIsAllowed() {
    attempt(3, 1, 1050, 1060, Outcome.UNKNOWN, -1);
    attempt(3, 1, 1200, 1250, Outcome.REFUSED_AS_STALE, 2);
    assertBrokenRules();
  }

  @Test
  void aRefusedChangeThatWasTakenIsFound() {
    attempt(3, 2, 1200, 1250, Outcome.REFUSED, -1);
    reading(1300, 3, 3);
    assertBrokenRules(ControlJudge.REFUSED_CHANGE_TAKEN);
  }

  @Test
  void anotherContentUnderAConfirmedNumberIsFound() {
    reading(1200, 2, 9);
    assertBrokenRules(ControlJudge.CONFIRMED_LOST);
  }

  @Test
  void aLongTimeWithoutAConfirmedChangeIsFound() {
    attempt(3, 2, 12_000, 1100 + LONGEST_GAP_MS, Outcome.CONFIRMED, 3);
    assertBrokenRules();
    attempt(4, 3, 20_000, 1101 + 2 * LONGEST_GAP_MS, Outcome.CONFIRMED, 4);
    assertBrokenRules(ControlJudge.NO_CHANGE_FOR_TOO_LONG);
  }

  @Test
  void aRunWithoutAConfirmedChangeIsFound() {
    assertEquals(
        List.of("no change was confirmed at all"),
        ControlJudge.judge(new ChangeLedger(), LONGEST_GAP_MS).get(7).offenders());
  }
}
