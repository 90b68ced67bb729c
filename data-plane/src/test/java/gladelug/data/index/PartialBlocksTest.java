package gladelug.data.index;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of PartialBlocks. */
final class PartialBlocksTest {
  @Test
  void longRandomHistoriesAgreeWithAnExactMap() {
    for (int seed = 1; seed <= 10; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      PartialBlocks partialBlocks = new PartialBlocks();
      Map<Long, Integer> expected = new HashMap<>();
      for (int i = 0; i < 30_000; i++) {
        long block = CuckooSummary.mix(random.nextInt(800));
        if (random.nextInt(2) == 0) {
          int units = 1 + random.nextInt(256);
          Assertions.assertTrue(partialBlocks.put(block, units));
          expected.put(block, units);
        } else {
          partialBlocks.remove(block);
          expected.remove(block);
        }
        Assertions.assertEquals(expected.size(), partialBlocks.size());
        if (i % 500 == 0)
          for (int j = 0; j < 800; j++)
            Assertions.assertEquals(
                expected.getOrDefault(CuckooSummary.mix(j), 0),
                partialBlocks.get(CuckooSummary.mix(j)));
      }
      partialBlocks.clear();
      Assertions.assertEquals(0, partialBlocks.size());
      for (int j = 0; j < 800; j++)
        Assertions.assertEquals(0, partialBlocks.get(CuckooSummary.mix(j)));
    }
  }

  @Test
  void aBlockBeyondTheBoundCountsAsWhole() {
    PartialBlocks partialBlocks = new PartialBlocks();
    Assertions.assertEquals(0, partialBlocks.bytes());
    int room = PartialBlocks.MAX_SLOTS / 4 * 3;
    for (int i = 0; i < room; i++)
      Assertions.assertTrue(partialBlocks.put(CuckooSummary.mix(i), 9));
    Assertions.assertFalse(partialBlocks.put(CuckooSummary.mix(room), 9));
    Assertions.assertTrue(
        partialBlocks.put(CuckooSummary.mix(3), 5), "an existing block can still be updated");
    Assertions.assertEquals(0, partialBlocks.get(CuckooSummary.mix(room)));
    Assertions.assertEquals(1, partialBlocks.refusedCount());
    Assertions.assertEquals(512 * 1024, partialBlocks.bytes());
    partialBlocks.remove(CuckooSummary.mix(3));
    Assertions.assertTrue(partialBlocks.put(CuckooSummary.mix(room), 9));
  }
}
