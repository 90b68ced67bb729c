package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of a core in which two members have no contact with each other and each has with the rest.
 */
final class PartialCutTest {
  private static final int SEEDS = 10;

  private enum Cut {
    BOTH_WAYS,
    OWNER_IS_NOT_HEARD,
    OWNER_DOES_NOT_HEAR
  }

  private static int ousted(Cut cut, String other, boolean connections) {
    int ousted = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation world = Takeover.fleet(seed, true);
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
          Takeover.longestGap(world) <= 30, cut + " " + Takeover.longestGap(world));
      ousted += world.lostOwnerships;
    }
    return ousted;
  }

  private static void noneIsOusted(boolean connections) {
    for (Cut cut : Cut.values())
      for (String other : new String[] {"c1", "c2"})
        Assertions.assertEquals(0, ousted(cut, other, connections), cut + " " + other);
  }

  @Test
  void noWorkingOwnerIsOustedByAMemberThatHasNoContactWithIt() {
    noneIsOusted(true);
  }

  /** Where records find their own way, a one-way cut leaves the other way open. */
  @Test
  void norWhereTheOtherWayStaysOpen() {
    noneIsOusted(false);
  }

  /** Two of five may each promise to the other what neither hears the owner of. */
  @Test
  void ofFiveMembersTwoThatDoNotHearTheOwnerOustItOnceAtMost() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation world = Takeover.fleet(seed, 5, true);
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
          world.lostOwnerships <= Takeover.keys().size(), world.lostOwnerships + ", seed " + seed);
      Assertions.assertTrue(Takeover.longestGap(world) <= 30);
    }
  }
}
