package gladelug.emulator.check;

import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the first start of a fleet whose founders may lack disks and may be lost meanwhile. */
final class FirstStartTest {
  private static final int FOUNDERS = 3;
  private static final int ROUNDS_UNTIL_FOUNDED = 200;
  private static final int LAST_ROUND_OF_LOSS = 16;

  /** Every founder lost for good at each moment of the start, with one to three witnesses. */
  static Stream<Arguments> losses() {
    return IntStream.rangeClosed(1, FOUNDERS)
        .boxed()
        .flatMap(
            witnesses ->
                Stream.of("a", "b", "c")
                    .flatMap(
                        lost ->
                            IntStream.rangeClosed(0, LAST_ROUND_OF_LOSS)
                                .mapToObj(round -> Arguments.of(witnesses, lost, round))));
  }

  /** Guards against a fleet that is never founded because a seed has no disk, or is lost. */
  @ParameterizedTest
  @MethodSource("losses")
  void aFleetIsFoundedAlthoughAFounderIsLostForGood(int witnesses, String lost, int round) {
    FirstStartSchedule start = new FirstStartSchedule(Setup.withWitnesses(FOUNDERS, witnesses, 0));
    Set<String> machines = new TreeSet<>();
    for (CheckedMachine machine : start.world.machines()) machines.add(machine.name);
    start.run(machines, round);
    machines.remove(lost);
    start.run(machines, ROUNDS_UNTIL_FOUNDED);
    Assertions.assertNull(start.world.rules.brokenRule());
    Assertions.assertTrue(start.memberCount() >= 2, "members: " + start.memberCount());
  }

  /**
   * One founder and a witness found the fleet while the other witness hears nobody; then the first
   * witness ends, and both are cut off from the fleet together with a machine that has a disk.
   */
  private static Rules.Broken splitAfterWitnessEnded(Mutation mutation) {
    Setup setup = Setup.withWitnesses(FOUNDERS, 2, 0).withSpares(3).with(mutation);
    FirstStartSchedule start = new FirstStartSchedule(setup);
    start.run(Set.of("a", "b", "d", "e"), ROUNDS_UNTIL_FOUNDED);
    Assertions.assertEquals(3, start.memberCount());
    start.crash("b");
    Assertions.assertEquals(mutation == Mutation.WITNESS_VOTES_AGAIN, start.restart("b"));
    start.run(Set.of("b", "c", "f"), ROUNDS_UNTIL_FOUNDED);
    return start.world.rules.brokenRule();
  }

  /** Guards against a fleet that is founded twice by a witness that forgot its vote. */
  @Test
  void aWitnessThatForgotItsVoteFoundsNothing() {
    Assertions.assertNull(splitAfterWitnessEnded(Mutation.NONE));
  }

  /** Guards against a fleet that is founded twice when the first start is cut in two. */
  @Test
  void aFirstStartThatIsCutInTwoFoundsOneFleet() {
    Assertions.assertEquals("", new LossAtFirstStartScenario().get());
    Assertions.assertEquals("", new FoundingScenario().get());
  }

  @Test
  void theCheckerFindsAWitnessThatVotesAgain() {
    Rules.Broken broken = splitAfterWitnessEnded(Mutation.WITNESS_VOTES_AGAIN);
    Assertions.assertNotNull(broken);
    Assertions.assertEquals(Rules.Rule.ONE_SET_PER_GENERATION, broken.rule(), broken.toString());
  }
}
