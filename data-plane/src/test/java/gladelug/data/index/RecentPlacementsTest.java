package gladelug.data.index;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of RecentPlacements. */
final class RecentPlacementsTest {
  private static final long[] CHAIN = {11, 12, 13};

  @Test
  void whatWasSentCountsFromTheFirstBlockOnAndForAWhile() {
    RecentPlacements p = new RecentPlacements();
    p.recordPlacement(CHAIN, "a", 0);
    p.recordPlacement(new long[] {12}, "b", 0);
    Assertions.assertEquals(3, p.leadingBlocks(CHAIN, "a", 1));
    Assertions.assertEquals(
        0, p.leadingBlocks(CHAIN, "b", 1), "a later block without the first is no prefix");
    Assertions.assertEquals(1, p.leadingBlocks(new long[] {11, 99}, "a", 1));
    Assertions.assertEquals(
        0, p.leadingBlocks(CHAIN, "a", RecentPlacements.LIFETIME_MS), "events have told by then");
  }

  @Test
  void theOldestGiveWay() {
    RecentPlacements p = new RecentPlacements();
    p.recordPlacement(CHAIN, "a", 0);
    for (int i = 0; i < RecentPlacements.MAX_ENTRIES; i++)
      p.recordPlacement(new long[] {1000 + i}, "b", 0);
    Assertions.assertEquals(0, p.leadingBlocks(CHAIN, "a", 1));
    Assertions.assertEquals(
        1, p.leadingBlocks(new long[] {1000 + RecentPlacements.MAX_ENTRIES - 1}, "b", 1));
  }
}
