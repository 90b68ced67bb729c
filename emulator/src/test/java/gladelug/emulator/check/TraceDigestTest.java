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
        "35 steps before, depth 4, 1669 states, 3033 moves, 196698 "
            + "0c75e5a86cac4a49aacb3c82308d353040333e7474a260366ed51c6295aa6813",
        explored(Scenario.twoOwners(Mutation.NONE), 4));
  }

  @Test
  void aChangeOfMembersIsExploredTheSameAsBefore() {
    Assertions.assertEquals(
        "99 steps before, depth 2, 140 states, 240 moves, 25227 "
            + "a2ab5f32aa67c9f977a3d56ec6661a242b487156047d5600f1db93001fb81054",
        explored(Scenario.membershipChange(Mutation.NONE), 2));
  }

  @Test
  void theFoundingIsExploredTheSameAsBefore() {
    Assertions.assertEquals(
        "0 steps before, depth 5, 9071 states, 16332 moves, 323790 "
            + "d67477f3a2909ab0ba6b08c11e27221247d1c21b1d12491545f0114df76c89f9",
        explored(Scenario.founding(Mutation.NONE), 5));
  }

  @Test
  void aFoundedCoreOfThreeWalksTheSameAsBefore() {
    Assertions.assertEquals(
        "6000 steps, 42 done, 60 reads, 11 generations, 156244 "
            + "a40d502abc08cb036e8db58871be29d5f5d494e2e1c4579b92f5a475742d1ef5",
        walked(3, 7));
  }

  @Test
  void aCoreOfThreeThatIsFoundedFirstWalksTheSameAsBefore() {
    Assertions.assertEquals(
        "6000 steps, 24 done, 19 reads, 3 generations, 325333 "
            + "5b63a8ad6dd626217360d300cb5868d8a25385a2bbdfa1985c6ad4d18c7c591b",
        walked(3, 4));
  }

  @Test
  void aCoreOfFiveWalksTheSameAsBefore() {
    Assertions.assertEquals(
        "6000 steps, 28 done, 14 reads, 5 generations, 242569 "
            + "dcb8ca464770082aada057995fdadec8375ace91848251f4da743528175d121f",
        walked(5, 2));
  }
}
