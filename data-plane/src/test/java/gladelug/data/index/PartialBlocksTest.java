package gladelug.data.index;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of PartialBlocks. */
final class PartialBlocksTest {
  @Test
  void longHistoriesAgreeWithAnExactMap() {
    for (int seed = 1; seed <= 10; seed++) {
      SplittableRandom r = new SplittableRandom(seed);
      PartialBlocks p = new PartialBlocks();
      Map<Long, Integer> m = new HashMap<>();
      for (int i = 0; i < 30_000; i++) {
        long b = CuckooSummary.mix(r.nextInt(800));
        if (r.nextInt(2) == 0) {
          int n = 1 + r.nextInt(256);
          Assertions.assertTrue(p.put(b, n));
          m.put(b, n);
        } else {
          p.remove(b);
          m.remove(b);
        }
        Assertions.assertEquals(m.size(), p.size());
        if (i % 500 == 0)
          for (int j = 0; j < 800; j++)
            Assertions.assertEquals(
                m.getOrDefault(CuckooSummary.mix(j), 0), p.get(CuckooSummary.mix(j)));
      }
      p.clear();
      Assertions.assertEquals(0, p.size());
      for (int j = 0; j < 800; j++) Assertions.assertEquals(0, p.get(CuckooSummary.mix(j)));
    }
  }

  @Test
  void pastItsBoundABlockGoesOnCountingAsWhole() {
    PartialBlocks p = new PartialBlocks();
    Assertions.assertEquals(0, p.bytes());
    int room = PartialBlocks.MAX_SLOTS / 4 * 3;
    for (int i = 0; i < room; i++) Assertions.assertTrue(p.put(CuckooSummary.mix(i), 9));
    Assertions.assertFalse(p.put(CuckooSummary.mix(room), 9));
    Assertions.assertTrue(p.put(CuckooSummary.mix(3), 5), "one that is there can change");
    Assertions.assertEquals(0, p.get(CuckooSummary.mix(room)));
    Assertions.assertEquals(1, p.refusedCount());
    Assertions.assertEquals(512 * 1024, p.bytes());
    p.remove(CuckooSummary.mix(3));
    Assertions.assertTrue(p.put(CuckooSummary.mix(room), 9));
  }
}
