package gladelug.emulator.check;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of the exhaustive part of the model checker. */
final class ExplorationTest {
  private static final long MOST_STATES = 200_000;

  private static void noRuleBreaks(Scenario scenario, int depth) {
    Exploration.Result r = Exploration.explore(scenario, depth, MOST_STATES);
    System.out.println(r);
    if (r.rule() != null) Assertions.fail(StepTable.draw(scenario.setup(), r.broken()));
    Assertions.assertEquals(depth, r.depth(), r.toString());
  }

  @Test
  void noRuleBreaksBetweenTwoOwners() {
    noRuleBreaks(Scenario.twoOwners(Mutation.NONE), 4);
  }

  @Test
  void noRuleBreaksInAChangeOfMembers() {
    noRuleBreaks(Scenario.changeOfMembers(Mutation.NONE), 2);
  }

  @Test
  void noRuleBreaksInTheFounding() {
    noRuleBreaks(Scenario.founding(Mutation.NONE), 5);
  }

  /** Guards against a fleet that never comes to be, or twice, where a founder came back empty. */
  @Test
  void noRuleBreaksWhereAFounderComesBackEmpty() {
    noRuleBreaks(Scenario.lossAtTheFounding(Mutation.NONE), 5);
  }

  @Test
  void findsPromisesThatAreNotDurable() {
    Scenario whole = Scenario.twoOwners(Mutation.PROMISE_NOT_DURABLE);
    Scenario.Menu requests =
        new Scenario.Menu(
            List.of(), 0, 1, 0, 1, 0, Set.of("PrepareRequest", "PrepareResponse", "AcceptRequest"));
    Scenario scenario = new Scenario(whole.name(), whole.setup(), whole.prefix(), requests);
    Exploration.Result r = Exploration.explore(scenario, 7, MOST_STATES);
    System.out.println(r);
    Assertions.assertNotNull(r.rule(), r.toString());
    Assertions.assertEquals(Rules.Rule.CHOSEN_IS_KEPT, r.rule().rule(), r.toString());
  }
}
