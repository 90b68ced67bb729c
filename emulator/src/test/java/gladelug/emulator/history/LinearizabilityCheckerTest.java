package gladelug.emulator.history;

import static gladelug.emulator.history.Outcome.ACKNOWLEDGED;
import static gladelug.emulator.history.Outcome.NOT_TAKEN;
import static gladelug.emulator.history.Outcome.UNKNOWN;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of LinearizabilityChecker and Counterexample on histories made by hand. */
final class LinearizabilityCheckerTest {
  private static final Change A = new Change("A", 0, 1);
  private static final Change B = new Change("B", 0, 1);
  private static final Change C = new Change("C", 1, 2);

  private static History.Builder history() {
    return new History.Builder();
  }

  private static void assertLinearizable(History.Builder history) {
    Counterexample.of(history.build()).ifPresent(x -> Assertions.fail(x.timeline()));
  }

  private static Counterexample assertViolates(History.Builder history, Violation violation) {
    Counterexample found = Counterexample.of(history.build()).orElseThrow();
    Assertions.assertEquals(violation, found.violation(), found.timeline());
    return found;
  }

  @Test
  void changesOneAfterTheOtherAreReadBack() {
    assertLinearizable(
        history()
            .read("op1", "c1", 0, 5, 0, "")
            .change("op1", "c1", 10, 20, A, ACKNOWLEDGED)
            .read("op2", "c2", 25, 30, 1, "A")
            .change("op2", "c2", 40, 50, C, ACKNOWLEDGED)
            .read("op1", "c3", 60, 65, 2, "C"));
  }

  @Test
  void ofTwoChangesAtOnceOneIsRefused() {
    assertLinearizable(
        history()
            .change("op1", "c1", 10, 20, A, ACKNOWLEDGED)
            .refused("op2", "c2", 10, 30, B, 1)
            .read("op1", "c1", 40, 50, 1, "A"));
  }

  @Test
  void aChangeWithoutAnAnswerMayTakeEffectLateOrNever() {
    assertLinearizable(
        history()
            .change("op1", "c1", 10, 0, A, UNKNOWN)
            .read("op2", "c2", 100, 110, 0, "")
            .read("op2", "c2", 200, 210, 1, "A"));
    assertLinearizable(
        history()
            .change("op1", "c1", 10, 0, A, UNKNOWN)
            .change("op2", "c2", 100, 110, B, ACKNOWLEDGED)
            .read("op2", "c2", 200, 210, 1, "B"));
  }

  @Test
  void anAcknowledgedChangeIsAcknowledgedAgainAlsoOnceReplaced() {
    assertLinearizable(
        history()
            .change("op1", "c1", 10, 0, A, UNKNOWN)
            .change("op1", "c2", 1010, 1020, A, ACKNOWLEDGED)
            .change("op2", "c2", 1030, 1040, C, ACKNOWLEDGED)
            .change("op1", "c3", 1050, 1060, A, ACKNOWLEDGED)
            .read("op1", "c3", 1070, 1080, 2, "C"));
  }

  @Test
  void aReadDuringAChangeShowsEither() {
    assertLinearizable(
        history()
            .change("op1", "c1", 10, 100, A, ACKNOWLEDGED)
            .read("op2", "c2", 20, 30, 0, "")
            .read("op2", "c2", 40, 50, 1, "A"));
    assertViolates(
        history()
            .change("op1", "c1", 10, 100, A, ACKNOWLEDGED)
            .read("op2", "c2", 20, 30, 1, "A")
            .read("op2", "c2", 40, 50, 0, ""),
        Violation.STALE_READ);
  }

  @Test
  void twoChangesConfirmedOnOneVersionAreFound() {
    Counterexample found =
        assertViolates(
            history()
                .change("op1", "c1", 10, 20, A, ACKNOWLEDGED)
                .change("op2", "c2", 10, 30, B, ACKNOWLEDGED)
                .read("op1", "c1", 40, 50, 1, "A"),
            Violation.TWO_CHANGES_CONFIRMED_ON_ONE_VERSION);
    String expected =
        """
        TWO_CHANGES_CONFIRMED_ON_ONE_VERSION
              10       20 [------------------]                     op1  c1   changes 0 to 1 A: acknowledged
              10       30 [--------------------------------------] op2  c2   changes 0 to 1 B: acknowledged
        """;
    Assertions.assertEquals(expected, found.timeline());
  }

  @Test
  void anAcknowledgedChangeThatIsMissingLaterIsFound() {
    assertViolates(
        history()
            .change("op2", "c2", 5, 0, B, UNKNOWN)
            .change("op1", "c1", 10, 20, A, ACKNOWLEDGED)
            .read("op1", "c1", 40, 50, 1, "B"),
        Violation.ACKNOWLEDGED_CHANGE_MISSING);
  }

  @Test
  void anAcknowledgedChangeReplacedWithoutBeingTheBaseIsFound() {
    Change other = new Change("D", 0, 2);
    assertViolates(
        history()
            .change("op2", "c2", 5, 0, other, UNKNOWN)
            .change("op1", "c1", 10, 20, A, ACKNOWLEDGED)
            .read("op1", "c1", 40, 50, 2, "D"),
        Violation.OTHER);
  }

  @Test
  void aRefusedChangeInForceIsFound() {
    assertViolates(
        history()
            .change("op2", "c1", 5, 0, B, UNKNOWN)
            .refused("op1", "c1", 10, 20, A, Call.ChangeCall.UNKNOWN_VERSION)
            .change("op1", "c2", 10, 0, A, UNKNOWN)
            .read("op2", "c2", 40, 50, 1, "A"),
        Violation.REFUSED_AND_IN_FORCE);
  }

  @Test
  void aChangeNotTakenByItsOnlyCallIsNotInForce() {
    assertViolates(
        history().change("op1", "c1", 10, 20, A, NOT_TAKEN).read("op2", "c2", 40, 50, 1, "A"),
        Violation.OTHER);
  }

  @Test
  void anAcknowledgedChangeRefusedWhenSentAgainIsFound() {
    assertViolates(
        history()
            .change("op1", "c1", 10, 20, A, ACKNOWLEDGED)
            .change("op2", "c1", 30, 40, C, ACKNOWLEDGED)
            .refused("op1", "c2", 50, 60, A, 2),
        Violation.ACKNOWLEDGED_AND_REFUSED);
  }

  @Test
  void aRefusalBeforeTheAcknowledgementOfTheSameChangeIsFound() {
    assertViolates(
        history()
            .change("op2", "c1", 5, 0, B, UNKNOWN)
            .refused("op1", "c2", 10, 20, A, Call.ChangeCall.UNKNOWN_VERSION)
            .change("op1", "c1", 30, 40, A, ACKNOWLEDGED),
        Violation.ACKNOWLEDGED_AND_REFUSED);
  }

  @Test
  void aStaleReadIsFound() {
    assertViolates(
        history().change("op1", "c1", 10, 20, A, ACKNOWLEDGED).read("op2", "c2", 30, 40, 0, ""),
        Violation.STALE_READ);
  }

  @Test
  void aRefusalWhileItsBaseIsCurrentIsFound() {
    assertViolates(
        history().change("op1", "c1", 10, 20, A, ACKNOWLEDGED).refused("op2", "c2", 30, 40, C, 0),
        Violation.REFUSED_WITHOUT_REASON);
  }

  @Test
  void aRefusalThatNamesAnOutdatedVersionIsFound() {
    Change late = new Change("D", 5, 6);
    assertViolates(
        history()
            .change("op1", "c1", 10, 20, A, ACKNOWLEDGED)
            .change("op1", "c1", 30, 40, C, ACKNOWLEDGED)
            .refused("op2", "c2", 50, 60, late, 1),
        Violation.REFUSED_WITHOUT_REASON);
  }

  @Test
  void aChangeMayNotTakeEffectBeforeItWasSent() {
    assertViolates(
        history().read("op2", "c2", 10, 20, 1, "A").change("op1", "c1", 30, 40, A, ACKNOWLEDGED),
        Violation.OTHER);
  }

  /**
   * Guards the search time: eight concurrent changes for each of hundreds of versions, half of the
   * versions without an answer.
   */
  @Test
  void hundredsOfChangesEightAtOnceAreJudged() {
    History.Builder history = history();
    int version = 0;
    for (; version < 400; version++) {
      long at = version * 100L;
      for (int operator = 0; operator < 8; operator++) {
        Change change = new Change(version + "/" + operator, version, version + 1);
        if (operator == version % 8 && version % 2 == 0)
          history.change("op" + operator, "c1", at, at + 50, change, ACKNOWLEDGED);
        else history.change("op" + operator, "c1", at, 0, change, UNKNOWN);
      }
    }
    assertLinearizable(history.read("op1", "c1", 50_000, 50_010, 400, "399/3"));
    assertViolates(history.read("op2", "c1", 50_020, 50_030, 399, "398/6"), Violation.STALE_READ);
  }
}
