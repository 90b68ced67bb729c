package gladelug.data.index;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of RecentPlacements. */
final class RecentPlacementsTest {
  private static final long[] CHAIN = {11, 12, 13};

  @Test
  void aPlacementCountsAsAPrefixForALimitedTime() {
    RecentPlacements placements = new RecentPlacements();
    placements.recordPlacement(CHAIN, "a", 0);
    placements.recordPlacement(new long[] {12}, "b", 0);
    Assertions.assertEquals(3, placements.leadingBlocks(CHAIN, "a", 1));
    Assertions.assertEquals(
        0, placements.leadingBlocks(CHAIN, "b", 1), "a later block without the first is no prefix");
    Assertions.assertEquals(1, placements.leadingBlocks(new long[] {11, 99}, "a", 1));
    Assertions.assertEquals(
        0,
        placements.leadingBlocks(CHAIN, "a", RecentPlacements.LIFETIME_MS),
        "the placement has expired");
  }

  @Test
  void theOldestPlacementsAreEvicted() {
    RecentPlacements placements = new RecentPlacements();
    placements.recordPlacement(CHAIN, "a", 0);
    for (int i = 0; i < RecentPlacements.MAX_ENTRIES; i++)
      placements.recordPlacement(new long[] {1000 + i}, "b", 0);
    Assertions.assertEquals(0, placements.leadingBlocks(CHAIN, "a", 1));
    Assertions.assertEquals(
        1, placements.leadingBlocks(new long[] {1000 + RecentPlacements.MAX_ENTRIES - 1}, "b", 1));
  }
}
