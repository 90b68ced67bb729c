package gladelug.emulator.check;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of the exhaustive part of the model checker. */
final class ExplorationTest {
  private static final long MAX_STATES = 200_000;

  private static void noRuleBreaks(Scenario scenario, int depth) {
    Exploration.Result result = Exploration.explore(scenario, depth, MAX_STATES);
    System.out.println(result);
    if (result.rule() != null) Assertions.fail(StepTable.draw(scenario.setup(), result.broken()));
    Assertions.assertEquals(depth, result.depth(), result.toString());
  }

  @Test
  void noRuleBreaksBetweenTwoOwners() {
    noRuleBreaks(Scenario.twoOwners(Mutation.NONE), 4);
  }

  @Test
  void noRuleBreaksInAChangeOfMembers() {
    noRuleBreaks(Scenario.membershipChange(Mutation.NONE), 2);
  }

  @Test
  void noRuleBreaksInTheFounding() {
    noRuleBreaks(Scenario.founding(Mutation.NONE), 5);
  }

  /**
   * Guards against a fleet that is never founded, or founded twice, when a founder returns with an
   * empty disk.
   */
  @Test
  void noRuleBreaksWhereAFounderComesBackEmpty() {
    noRuleBreaks(Scenario.founderDiskLoss(Mutation.NONE), 5);
  }

  /**
   * Guards against a fleet that is never founded, or founded twice, because founders lack disks.
   */
  @Test
  void noRuleBreaksInAFoundingWithWitnesses() {
    for (int witnesses : new int[] {1, 3})
      noRuleBreaks(Scenario.foundingWithWitnesses(witnesses, Mutation.NONE), 2);
  }

  @Test
  void findsPromisesThatAreNotDurable() {
    Scenario original = Scenario.twoOwners(Mutation.PROMISE_NOT_DURABLE);
    Scenario.Menu requests =
        new Scenario.Menu(
            List.of(), 0, 1, 0, 1, 0, Set.of("PrepareRequest", "PrepareResponse", "AcceptRequest"));
    Scenario scenario =
        new Scenario(original.name(), original.setup(), original.prefix(), requests);
    Exploration.Result result = Exploration.explore(scenario, 7, MAX_STATES);
    System.out.println(result);
    Assertions.assertNotNull(result.rule(), result.toString());
    Assertions.assertEquals(Rules.Rule.CHOSEN_IS_KEPT, result.rule().rule(), result.toString());
  }
}
