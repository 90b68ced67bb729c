package gladelug.emulator.check;

import gladelug.common.message.WireRecord;
import gladelug.emulator.TraceDigest;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests that behaviour is unchanged: a different digest means that behaviour changed. A commit that
 * changes behaviour on purpose says so and gives the new digest. The digests cover the bytes of
 * every message in flight and on every disk after every step, and the numbers of states and moves
 * explored, but no names of the code.
 */
final class TraceDigestTest {
  private static final long MAX_STATES = 200_000;
  private static final int WALK_STEPS = 6000;

  private static void add(TraceDigest trace, CheckedWorld world) {
    trace.add(world.network.inFlight().size());
    for (InFlightMessage flight : world.network.inFlight())
      trace.add(flight.from()).add(flight.to()).add(WireRecord.encode(flight.envelope()));
    for (CheckedMachine machine : world.machines())
      trace.add(machine.isRunning()).add(machine.disk.pendingWrites()).add(machine.disk.digest());
  }

  private static String explored(Scenario scenario, int depth) {
    TraceDigest trace = new TraceDigest();
    Exploration.Result result =
        Exploration.explore(scenario, depth, MAX_STATES, world -> add(trace, world));
    return String.format(
        "%d steps before, depth %d, %d states, %d moves, %s",
        scenario.prefix().size(), result.depth(), result.states(), result.moves(), trace.result());
  }

  private static String walked(int members, long seed) {
    Setup setup = ModelCheck.setup(members, seed);
    RandomWalk.Result walk = RandomWalk.run(setup, seed, WALK_STEPS);
    List<Step> steps = walk.steps();
    TraceDigest trace = new TraceDigest();
    CheckedWorld world = CheckedWorld.forReplay(setup, false);
    for (Step step : steps) {
      Replay.apply(world, step);
      trace.add(step.machine()).add(step.amount());
      add(trace, world);
    }
    Recovery.run(world);
    add(trace, world);
    return String.format(
        "%d steps, %d done, %d reads, %d generations, %s",
        steps.size(),
        walk.acknowledgedCount(),
        walk.readCount(),
        walk.generation(),
        trace.result());
  }

  @Test
  void twoOwnersAreExploredTheSameAsBefore() {
    Assertions.assertEquals(
        "64 steps before, depth 4, 1835 states, 3348 moves, 291678 "
            + "ed1301de7c59984846ce8cf9eae4d18b881fadb9a93646c856cd2e2712964037",
        explored(Scenario.twoOwners(Mutation.NONE), 4));
  }

  @Test
  void aChangeOfMembersIsExploredTheSameAsBefore() {
    Assertions.assertEquals(
        "105 steps before, depth 2, 124 states, 201 moves, 27201 "
            + "a7aff74e7a14f85fbec0dc230a0d10e0beba3b54d9706ae2c253cfb8a4363607",
        explored(Scenario.membershipChange(Mutation.NONE), 2));
  }

  @Test
  void theFoundingIsExploredTheSameAsBefore() {
    Assertions.assertEquals(
        "0 steps before, depth 5, 8844 states, 16182 moves, 321012 "
            + "32386085ead3326865b6b2fcb04fd28686dcb4e87dae9b7b40af7c2d6db76972",
        explored(Scenario.founding(Mutation.NONE), 5));
  }

  @Test
  void aFoundedCoreOfThreeWalksTheSameAsBefore() {
    Assertions.assertEquals(
        "6000 steps, 44 done, 50 reads, 11 generations, 218317 "
            + "ce1178ee5a52707aca4893bf09649834af86d71145d73b0e10ffddf8a5bf3db5",
        walked(3, 7));
  }

  @Test
  void aCoreOfThreeThatIsFoundedFirstWalksTheSameAsBefore() {
    Assertions.assertEquals(
        "6000 steps, 78 done, 78 reads, 4 generations, 218404 "
            + "47af4c412922b8825b7e9a6207832ac08731d8a5784a9bba575ff6acd016de09",
        walked(3, 4));
  }

  @Test
  void aCoreOfFiveWalksTheSameAsBefore() {
    Assertions.assertEquals(
        "6000 steps, 13 done, 9 reads, 5 generations, 254299 "
            + "baf35c95cba2155df4f4811df5b12c8f99485b9c0db19b7297d035f01919a965",
        walked(5, 2));
  }
}
