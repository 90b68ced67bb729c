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
 * Tests of ControlJudge: each rule finds the violation that is planted for it and no other rule
 * does, and the nearest innocent neighbour passes.
 */
final class ControlJudgeTest {
  private static final long LONGEST_GAP_MS = 12_000;
  private final ChangeLedger ledger = new ChangeLedger();

  /** Content 1 is confirmed as 1 at 100, content 2 as 2 at 1100. */
  @BeforeEach
  void twoChanges() {
    attempt(1, 0, 0, 100, Outcome.CONFIRMED, 1);
    attempt(2, 1, 1000, 1100, Outcome.CONFIRMED, 2);
  }

  private void attempt(
      int content, long basedOn, long sentAt, long answeredAt, Outcome outcome, long number) {
    int status =
        switch (outcome) {
          case CONFIRMED -> 200;
          case REFUSED_AS_STALE -> 412;
          case REFUSED -> 400;
          case NOT_TAKEN -> 503;
          case UNKNOWN -> 504;
        };
    ledger.note(
        new Attempt("x", "a", content, basedOn, sentAt, answeredAt, outcome, status, number));
  }

  private void reading(long askedAt, long number, int content) {
    ledger.note(new Reading("a", askedAt, askedAt + 10, 200, number, content));
  }

  private void broken(String... rules) {
    assertEquals(
        List.of(rules),
        ControlJudge.judge(ledger, LONGEST_GAP_MS).stream()
            .filter(finding -> !finding.passed())
            .map(Finding::rule)
            .toList());
  }

  @Test
  void aDayOfConfirmedChangesIsClean() {
    reading(50, 0, -1);
    reading(200, 1, 1);
    reading(1200, 2, 2);
    broken();
  }

  @Test
  void anOldStateShownAfterAConfirmationIsFound() {
    reading(1101, 1, 1);
    broken(ControlJudge.OLD_STATE_SHOWN);
  }

  @Test
  void anOldStateShownWhileTheChangeIsUnderWayIsBorne() {
    reading(1100, 1, 1);
    broken();
  }

  @Test
  void aRefusalOnOldStateIsFound() {
    attempt(3, 2, 1200, 1300, Outcome.REFUSED_AS_STALE, 1);
    broken(ControlJudge.REFUSED_ON_OLD_STATE);
  }

  @Test
  void aRefusalOfJustTheCurrentNumberIsFound() {
    attempt(3, 2, 1200, 1300, Outcome.REFUSED_AS_STALE, 2);
    broken(ControlJudge.REFUSED_ON_OLD_STATE);
  }

  @Test
  void aRefusalOfWhatIsNoLongerCurrentIsBorne() {
    attempt(3, 1, 1200, 1300, Outcome.REFUSED_AS_STALE, 2);
    broken();
  }

  @Test
  void twoContentsConfirmedUnderOneNumberAreFound() {
    attempt(3, 1, 1000, 1150, Outcome.CONFIRMED, 2);
    broken(ControlJudge.TWO_UNDER_ONE_NUMBER);
  }

  @Test
  void oneContentConfirmedUnderTwoNumbersIsFound() {
    attempt(2, 1, 1200, 1300, Outcome.CONFIRMED, 3);
    broken(ControlJudge.CONFIRMED_TWICE);
  }

  @Test
  void theSameContentConfirmedAgainUnderItsNumberIsBorne() {
    attempt(2, 1, 1200, 1300, Outcome.CONFIRMED, 2);
    broken();
  }

  @Test
  void aTakenChangeThatIsRefusedWhenSentAgainIsFound() {
    attempt(3, 2, 1200, 1250, Outcome.UNKNOWN, -1);
    reading(1300, 3, 3);
    attempt(3, 2, 1400, 1450, Outcome.REFUSED_AS_STALE, 3);
    broken(ControlJudge.TAKEN_AND_REFUSED);
  }

  @Test
  void aConfirmedChangeThatIsRefusedWhenSentAgainIsFound() {
    attempt(2, 1, 1200, 1300, Outcome.REFUSED, -1);
    broken(ControlJudge.TAKEN_AND_REFUSED);
  }

  @Test
  void aLostChangeThatIsRefusedWhenSentAgainIsBorne() {
    attempt(3, 1, 1050, 1060, Outcome.UNKNOWN, -1);
    attempt(3, 1, 1200, 1250, Outcome.REFUSED_AS_STALE, 2);
    broken();
  }

  @Test
  void aRefusedChangeThatWasTakenIsFound() {
    attempt(3, 2, 1200, 1250, Outcome.REFUSED, -1);
    reading(1300, 3, 3);
    broken(ControlJudge.REFUSED_AND_TAKEN);
  }

  @Test
  void anotherContentUnderAConfirmedNumberIsFound() {
    reading(1200, 2, 9);
    broken(ControlJudge.CONFIRMED_LOST);
  }

  @Test
  void aLongTimeWithoutAConfirmedChangeIsFound() {
    attempt(3, 2, 12_000, 1100 + LONGEST_GAP_MS, Outcome.CONFIRMED, 3);
    broken();
    attempt(4, 3, 20_000, 1101 + 2 * LONGEST_GAP_MS, Outcome.CONFIRMED, 4);
    broken(ControlJudge.NO_MAJORITY_FOR_LONG);
  }

  @Test
  void aDayWithNoConfirmedChangeIsFound() {
    assertEquals(
        List.of("no change was confirmed at all"),
        ControlJudge.judge(new ChangeLedger(), LONGEST_GAP_MS).get(7).offenders());
  }
}
