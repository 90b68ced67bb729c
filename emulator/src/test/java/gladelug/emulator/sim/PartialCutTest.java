package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of a core in which two members are cut off from each other while each still reaches the
 * rest.
 */
final class PartialCutTest {
  private static final int SEEDS = 10;

  private enum Cut {
    BOTH_WAYS,
    OWNER_IS_NOT_HEARD,
    OWNER_DOES_NOT_HEAR
  }

  private static int lostOwnerships(Cut cut, String other, boolean connections) {
    int lostOwnerships = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation world = TakeoverObserver.startFleet(seed, true);
      world.usesConnections = connections;
      String owner = world.ownersOf(StateKeys.CONFIGURATION);
      world.lostOwnerships = 0;
      if (cut != Cut.OWNER_DOES_NOT_HEAR) world.cutLink(owner, other);
      if (cut != Cut.OWNER_IS_NOT_HEARD) world.cutLink(other, owner);
      world.run(20_000);
      world.healAll();
      world.run(5000);
      Assertions.assertEquals(List.of(), world.violations);
      Assertions.assertTrue(
          TakeoverObserver.longestGapMs(world) <= 30,
          cut + " " + TakeoverObserver.longestGapMs(world));
      lostOwnerships += world.lostOwnerships;
    }
    return lostOwnerships;
  }

  private static void assertNoOwnershipLost(boolean connections) {
    for (Cut cut : Cut.values())
      for (String other : new String[] {"c1", "c2"})
        Assertions.assertEquals(0, lostOwnerships(cut, other, connections), cut + " " + other);
  }

  @Test
  void noWorkingOwnerIsOustedByAMemberThatHasNoContactWithIt() {
    assertNoOwnershipLost(true);
  }

  /** Without connections a one-way cut leaves the other direction open. */
  @Test
  void noWorkingOwnerIsOustedWhereTheOtherDirectionStaysOpen() {
    assertNoOwnershipLost(false);
  }

  /** Two of five members that cannot hear the owner may each promise their vote to the other. */
  @Test
  void ofFiveMembersTwoThatDoNotHearTheOwnerOustItOnceAtMost() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation world = TakeoverObserver.startFleet(seed, 5, true);
      String owner = world.ownersOf(StateKeys.CONFIGURATION);
      List<String> others = new ArrayList<>(world.controlNames());
      others.remove(owner);
      world.lostOwnerships = 0;
      for (String other : others.subList(0, 2)) {
        world.cutLink(owner, other);
        world.cutLink(other, owner);
      }
      world.run(20_000);
      Assertions.assertEquals(0, world.lostOwnerships, "during the cut, seed " + seed);
      world.healAll();
      world.run(5000);
      Assertions.assertEquals(List.of(), world.violations);
      Assertions.assertTrue(
          world.lostOwnerships <= TakeoverObserver.keys().size(),
          world.lostOwnerships + ", seed " + seed);
      Assertions.assertTrue(TakeoverObserver.longestGapMs(world) <= 30);
    }
  }
}
