package gladelug.emulator.check;

import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of the model checker of the core: no rule is broken in seeded walks, and each disabled rule
 * of the protocol is detected.
 */
final class ModelCheckTest {
  private static final int STEPS = 6000;

  /** Shorter walks, so that counterexamples are shortened quickly. */
  private static final int STEPS_OF_MUTATIONS = 1200;

  private static final int MAX_WALKS = 800;

  private static void noRuleBreaks(int members, int walks) {
    for (int seed = 0; seed < walks; seed++) {
      Setup setup = ModelCheck.setup(members, seed);
      RandomWalk.Result result = RandomWalk.run(setup, seed, STEPS);
      if (result.broken() == null) continue;
      List<Step> shortened = Replay.shrink(setup, result.steps(), result.broken().rule());
      Assertions.fail("seed " + seed + "\n" + StepTable.draw(setup, shortened));
    }
  }

  /**
   * Requires that some walk breaks the rule and that the shortened steps still reproduce it. Walks
   * that break another rule first are only counted.
   */
  private static void findsMutation(Mutation mutation, Rules.Rule rule) {
    long walked = 0;
    for (int seed = 0; seed < MAX_WALKS; seed++) {
      Setup setup = ModelCheck.setup(3, seed).with(mutation);
      RandomWalk.Result result = RandomWalk.run(setup, seed, STEPS_OF_MUTATIONS);
      walked += result.steps().size();
      if (result.broken() == null || result.broken().rule() != rule) continue;
      List<Step> shortened = Replay.shrink(setup, result.steps(), rule);
      Assertions.assertEquals(rule, Replay.replay(setup, shortened).rules.brokenRule().rule());
      Assertions.assertTrue(
          StepTable.draw(setup, shortened).contains("broken: " + rule.description));
      System.out.println(mutation + ": found after " + walked + " steps, by " + shortened.size());
      return;
    }
    Assertions.fail(mutation + " was not found");
  }

  @Test
  void noRuleBreaksWithThreeMembers() {
    noRuleBreaks(3, 24);
  }

  @Test
  void noRuleBreaksWithFiveMembers() {
    noRuleBreaks(5, 12);
  }

  /**
   * Guards against a checker that sees a disk only after the last write of a sync: an acceptance
   * that a later write of the same sync replaces counts towards a majority.
   */
  @Test
  void anAcceptanceThatTheSameSyncReplacesCounts() {
    Assertions.assertNull(RandomWalk.run(ModelCheck.setup(3, 12827), 12827, 500).broken());
    Assertions.assertNull(RandomWalk.run(ModelCheck.setup(5, 6342), 6342, 500).broken());
  }

  @Test
  void walksReachAcknowledgementsReadsAndChangesOfMembers() {
    long acknowledged = 0, readCount = 0, generations = 0;
    for (int seed = 1; seed <= 10; seed++) {
      RandomWalk.Result result = RandomWalk.run(ModelCheck.setup(3, seed), seed, STEPS);
      acknowledged += result.acknowledgedCount();
      readCount += result.readCount();
      generations += result.generation();
    }
    Assertions.assertTrue(acknowledged > 50, acknowledged + " changes acknowledged");
    Assertions.assertTrue(readCount > 50, readCount + " reads answered");
    Assertions.assertTrue(generations > 20, generations + " generations");
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    Setup setup = ModelCheck.setup(3, 7);
    Assertions.assertEquals(
        RandomWalk.run(setup, 7, STEPS).steps(), RandomWalk.run(setup, 7, STEPS).steps());
  }

  @Test
  void findsAnswersBeforeTheSync() {
    findsMutation(Mutation.ANSWER_BEFORE_SYNC, Rules.Rule.SERVED_IS_CHOSEN);
  }

  @Test
  void findsAMajorityOfOne() {
    findsMutation(Mutation.MAJORITY_OF_ONE, Rules.Rule.SERVED_IS_CHOSEN);
  }

  @Test
  void findsServingWithoutWritingAgain() {
    findsMutation(Mutation.SERVING_WITHOUT_REWRITE, Rules.Rule.SERVED_IS_CHOSEN);
  }

  @Test
  void findsConfirmationsBelowThePromise() {
    findsMutation(Mutation.CONFIRM_BELOW_PROMISE, Rules.Rule.READ_IS_NEWEST);
  }

  @Test
  void findsPromisesForgottenAtARestart() {
    findsMutation(Mutation.PROMISE_FORGOTTEN, Rules.Rule.EPOCHS_RISE);
  }

  @Test
  void findsASealWithoutAMajority() {
    findsMutation(Mutation.SEAL_WITHOUT_MAJORITY, Rules.Rule.SEALED_BEFORE_NEXT);
  }

  @Test
  void findsMembersDurableBeforeTheirValues() {
    findsMutation(Mutation.MEMBERS_BEFORE_CELLS, Rules.Rule.NEXT_HAS_ALL);
  }

  @Test
  void findsAnEmptyDiskUnderTheOldId() {
    findsMutation(Mutation.EMPTY_DISK_KEEPS_ID, Rules.Rule.EPOCHS_RISE);
  }

  @Test
  void findsACoreThatDoesNotRecover() {
    findsMutation(Mutation.NEXT_NEVER_TOLD, Rules.Rule.RECOVERS);
  }

  @Test
  void findsReadsWithoutARound() {
    findsMutation(Mutation.READ_WITHOUT_ROUND, Rules.Rule.READ_IS_NEWEST);
  }
}
