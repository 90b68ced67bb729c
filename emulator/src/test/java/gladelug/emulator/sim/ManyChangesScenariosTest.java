package gladelug.emulator.sim;

import org.junit.jupiter.api.Test;

/**
 * Scenarios of members that return after hundreds of changes: they return nothing old, count as
 * caught up within two seconds, and hold everything acknowledged when other members are lost next.
 * The owner of the configuration is c3.
 */
final class ManyChangesScenariosTest {
  private static final int CHANGES = 400;

  /** The member is read in small steps from its start on. */
  @Test
  void aRestartedMemberCountsWithinTwoSecondsAndShowsNothingOld() {
    for (int delayMs = 0; delayMs <= 2000; delayMs += 200)
      OperatorScenario.play(
          delayMs / 200,
          3,
          """
          t     | c2    | calls
          4000  | .     | series %d at c1
          6000  | power | .
          70000 | .     | series over
          70000 | up    | .
          %d    | .     | read at c2
          72000 | .     | newest at c2"""
              .formatted(CHANGES, 70_000 + delayMs));
  }

  /** The first owner returns, and a member that has all changes is lost from 0 to 4 s later. */
  @Test
  void aRestartedOwnerHasAllChangesThoughAnotherMemberIsLostNext() {
    for (int delayMs = 0; delayMs <= 4000; delayMs += 400)
      OperatorScenario.play(
          delayMs / 400,
          3,
          """
          t     | c1    | c3    | calls
          4000  | .     | .     | series %d at c2
          5000  | .     | power | .
          70000 | .     | up    | series over
          %d    | power | .     | .
          70500 | .     | .     | read at c3
          78000 | .     | .     | Z on %d at c3
          79100 | .     | .     | Z acknowledged, read at c2, newest at c3"""
              .formatted(CHANGES, 70_000 + delayMs, CHANGES));
  }

  /**
   * The disk is lost; the member is admitted again with everything before another member is lost.
   */
  @Test
  void aMemberBackEmptyCarriesAllWhenAnotherIsLost() {
    for (int delayMs = 4000; delayMs <= 8000; delayMs += 800)
      OperatorScenario.play(
          delayMs / 800,
          3,
          """
          t     | c1    | c2    | calls
          4000  | .     | .     | series %d at c3
          70000 | .     | empty | series over
          74000 | .     | .     | newest at c2
          %d    | power | .     | .
          82000 | .     | .     | Z on %d at c2
          83100 | .     | .     | Z acknowledged, read at c3, newest at c2"""
              .formatted(CHANGES, 70_000 + delayMs, CHANGES));
  }

  /** All members lose power right after the last change, or up to 400 ms later. */
  @Test
  void allChangesSurviveAPowerLossOfAllMembers() {
    for (int delayMs = 0; delayMs <= 400; delayMs += 40)
      OperatorScenario.play(
          delayMs / 40,
          3,
          """
          t     | c1    | c2    | c3    | calls
          4000  | .     | .     | .     | series %d at c1
          70000 | .     | .     | .     | series over, Z on %d at c2
          %d    | power | power | power | .
          72000 | up    | up    | up    | .
          78000 | .     | .     | .     | Z on %d at c3
          79100 | .     | .     | .     | Z acknowledged, read at c1"""
              .formatted(CHANGES, CHANGES, 70_000 + delayMs, CHANGES));
  }
}
