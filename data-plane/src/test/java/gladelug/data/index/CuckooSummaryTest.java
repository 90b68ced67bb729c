package gladelug.data.index;

import static gladelug.data.index.CuckooSummary.BUCKET_SLOTS;
import static gladelug.data.index.CuckooSummary.MAX_DISPLACEMENTS;
import static gladelug.data.index.CuckooSummary.fingerprintBits;
import static gladelug.data.index.CuckooSummary.mix;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of CuckooSummary. */
final class CuckooSummaryTest {
  private static final class Model {
    final Map<Long, Map<Integer, Integer>> copiesByBlock = new HashMap<>();

    void insert(long block, int holder) {
      copiesByBlock.computeIfAbsent(block, k -> new HashMap<>()).merge(holder, 1, Integer::sum);
    }

    boolean remove(long block, int holder) {
      Map<Integer, Integer> copiesByHolder = copiesByBlock.get(block);
      if (copiesByHolder == null || !copiesByHolder.containsKey(holder)) return false;
      copiesByHolder.computeIfPresent(holder, (key, count) -> count == 1 ? null : count - 1);
      return true;
    }
  }

  private static void assertNoFalseNegative(CuckooSummary summary, Model model, String when) {
    model.copiesByBlock.forEach(
        (block, holderCopies) ->
            holderCopies
                .keySet()
                .forEach(
                    holder ->
                        Assertions.assertTrue(
                            (summary.lookup(block) & 1L << holder) != 0,
                            () -> when + ": block " + block + " holder " + holder)));
  }

  @Test
  void longRandomHistoriesHaveNoFalseNegativeAgainstAnExactModel() {
    for (int seed = 1; seed <= 12; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      CuckooSummary summary = new CuckooSummary(2000, seed % 2 == 0 ? 10 : 16, seed);
      Model model = new Model();
      for (int i = 0; i < 30_000; i++) {
        long block = mix(random.nextInt(seed % 3 == 0 ? 160 : 400));
        int holder = random.nextInt(13);
        boolean has =
            model.copiesByBlock.containsKey(block)
                && model.copiesByBlock.get(block).containsKey(holder);
        if (!has && summary.size() < 1900) {
          model.insert(block, holder);
          summary.insert(block, holder);
        } else if (has && random.nextInt(3) > 0) {
          Assertions.assertTrue(model.remove(block, holder));
          Assertions.assertTrue(summary.remove(block, holder));
        }
        if (i % 5000 == 4999) {
          int removedHolder = random.nextInt(13);
          model.copiesByBlock.values().forEach(copies -> copies.remove(removedHolder));
          summary.clear(removedHolder);
        }
        if (i % 1000 == 0) assertNoFalseNegative(summary, model, "seed " + seed + " step " + i);
      }
      assertNoFalseNegative(summary, model, "seed " + seed);
      int entries =
          model.copiesByBlock.values().stream()
              .mapToInt(copies -> copies.values().stream().mapToInt(count -> count).sum())
              .sum();
      Assertions.assertEquals(entries, summary.size(), "entries, seed " + seed);
      model.copiesByBlock.forEach(
          (block, holderCopies) ->
              holderCopies.forEach(
                  (holder, copies) -> {
                    for (int j = 0; j < copies; j++)
                      Assertions.assertTrue(summary.remove(block, holder));
                  }));
      Assertions.assertEquals(0, summary.size());
      Assertions.assertEquals(0, summary.overflowEntries());
    }
  }

  @Test
  void thirteenHoldersOfOnePrefixAreAllFoundWithFewDisplacements() {
    CuckooSummary summary = new CuckooSummary(20_000, 16, 1);
    for (long block = 0; block < 100; block++)
      for (int holder = 0; holder < 13; holder++) summary.insert(mix(block + 77), holder);
    for (long block = 0; block < 100; block++)
      Assertions.assertEquals((1L << 13) - 1, summary.lookup(mix(block + 77)) & (1L << 13) - 1);
    // Five copies of each block overflow, and a few more of two blocks that share a bucket.
    Assertions.assertTrue(
        summary.overflowEntries() >= 500 && summary.overflowEntries() <= 520,
        "overflow " + summary.overflowEntries());
    Assertions.assertTrue(summary.strayCount() <= 60, "strays " + summary.strayCount());
    Assertions.assertTrue(
        summary.displacements() <= 20 * MAX_DISPLACEMENTS,
        "displacements " + summary.displacements());
    Assertions.assertFalse(summary.isFull());
    for (long block = 0; block < 100; block++)
      for (int holder = 0; holder < 9; holder++) summary.remove(mix(block + 77), holder);
    Assertions.assertEquals(0, summary.overflowEntries(), "the overflow moved back into the table");
  }

  @Test
  void theSmallestTableCanBeCreatedWithEachFingerprintWidth() {
    for (int fingerprintBits : new int[] {10, 12, 16})
      Assertions.assertTrue(new CuckooSummary(1, fingerprintBits, 3).capacity() > 0);
  }

  @Test
  void atNinetyPercentOccupancyEveryEntryIsPlacedAndFalsePositivesStayWithinTheBound() {
    for (int fingerprintBits : new int[] {10, 12, 16}) {
      CuckooSummary summary = new CuckooSummary(58_000, fingerprintBits, 3);
      int entries = summary.capacity() * 9 / 10;
      for (int i = 0; i < entries; i++) summary.insert(mix(i), i % 13);
      for (int i = 0; i < entries; i++)
        Assertions.assertTrue((summary.lookup(mix(i)) & 1L << i % 13) != 0);
      Assertions.assertEquals(0, summary.unplacedEntries());
      int wrong = 0, tries = 400_000;
      for (int i = 0; i < tries; i++) if (summary.lookup(mix(i + 10_000_000L)) != 0) wrong++;
      double rate = (double) wrong / tries, bound = 2.0 * BUCKET_SLOTS / (1 << fingerprintBits);
      double slack = 4 * Math.sqrt(bound / tries);
      Assertions.assertTrue(
          rate <= bound + slack, "f " + fingerprintBits + " rate " + rate + " bound " + bound);
      Assertions.assertTrue(
          rate >= bound / 2, "f " + fingerprintBits + " implausibly few false positives: " + rate);
    }
  }

  @Test
  void aRemovalLeavesTheEntriesOfOtherHolders() {
    CuckooSummary summary = new CuckooSummary(1000, 10, 9);
    for (int i = 0; i < 800; i++) summary.insert(mix(i), i % 2);
    int before = summary.size(), wrongly = 0;
    for (int i = 0; i < 800; i++) if (summary.remove(mix(i), 2)) wrongly++;
    Assertions.assertEquals(0, wrongly, "holder 2 has no entries");
    Assertions.assertEquals(before, summary.size());
  }

  @Test
  void aFalsePositiveRateOfOnePercentNeedsTenBits() {
    Assertions.assertEquals(10, fingerprintBits(0.01));
  }

  @Test
  void repeatedInsertsLeaveOneEntryEvenInTheOverflow() {
    CuckooSummary summary = new CuckooSummary(1000, 16, BUCKET_SLOTS, 300, 5);
    for (int round = 0; round < 3; round++)
      for (int holder = 0; holder < 300; holder++)
        Assertions.assertEquals(round == 0, summary.insertOnce(mix(7), holder));
    Assertions.assertEquals(300, summary.size());
    Assertions.assertEquals(292, summary.overflowEntries());
    for (int holder = 0; holder < 300; holder++) {
      Assertions.assertTrue(summary.contains(mix(7), holder));
      Assertions.assertTrue(summary.remove(mix(7), holder));
      Assertions.assertFalse(summary.contains(mix(7), holder));
      Assertions.assertFalse(summary.remove(mix(7), holder), "there was a second copy");
    }
    Assertions.assertEquals(0, summary.size());
    Assertions.assertEquals(0, summary.overflowEntries());
  }

  @Test
  void copiesOfOneHolderInTheOverflowAreCounted() {
    CuckooSummary summary = new CuckooSummary(1000, 16, BUCKET_SLOTS, 1024, 5);
    for (int i = 0; i < 20; i++) summary.insert(mix(7), 1000);
    Assertions.assertEquals(12, summary.overflowEntries());
    for (int i = 0; i < 20; i++) Assertions.assertTrue(summary.remove(mix(7), 1000));
    Assertions.assertFalse(summary.remove(mix(7), 1000));
    Assertions.assertEquals(0, summary.size());
  }

  @Test
  void manyHoldersAgreeWithAnExactModel() {
    for (int holders : new int[] {65, 128, 500, 1024}) {
      SplittableRandom random = new SplittableRandom(holders);
      CuckooSummary summary = new CuckooSummary(20_000, 16, BUCKET_SLOTS, holders, holders);
      Map<Long, BitSet> groundTruth = new HashMap<>();
      long[] found = new long[summary.bitsetWords()];
      int entries = 0;
      for (int i = 0; i < 120_000; i++) {
        // A quarter of the operations concern 20 blocks that most holders keep.
        long block = mix(random.nextInt(4) == 0 ? random.nextInt(20) : 100 + random.nextInt(2000));
        int holder = random.nextInt(holders);
        BitSet holdersOfBlock = groundTruth.computeIfAbsent(block, k -> new BitSet());
        if (random.nextInt(5) < 3 && entries < 18_000) {
          Assertions.assertEquals(!holdersOfBlock.get(holder), summary.insertOnce(block, holder));
          if (!holdersOfBlock.get(holder)) entries++;
          holdersOfBlock.set(holder);
        } else {
          Assertions.assertEquals(holdersOfBlock.get(holder), summary.remove(block, holder));
          if (holdersOfBlock.get(holder)) entries--;
          holdersOfBlock.clear(holder);
        }
        if (i % 20_000 == 19_999) {
          int removedHolder = random.nextInt(holders);
          for (BitSet remainingHolders : groundTruth.values()) {
            if (remainingHolders.get(removedHolder)) entries--;
            remainingHolders.clear(removedHolder);
          }
          summary.clear(removedHolder);
        }
        Assertions.assertEquals(entries, summary.size());
      }
      groundTruth.forEach(
          (block, holdersOfBlock) -> {
            Assertions.assertEquals(!holdersOfBlock.isEmpty(), summary.lookup(block, found));
            Assertions.assertEquals(holdersOfBlock, BitSet.valueOf(found), holders + " holders");
          });
    }
  }

  @Test
  void manyHoldersOfOnePrefixDoNotMakeTheTableCountAsFull() {
    int holders = 100, blocks = 300;
    CuckooSummary summary = new CuckooSummary((long) holders * blocks, 16, BUCKET_SLOTS, 512, 1);
    for (int holder = 0; holder < holders; holder++)
      for (long block = 0; block < blocks; block++) summary.insertOnce(mix(block + 77), holder);
    Assertions.assertEquals(holders * blocks, summary.size());
    Assertions.assertTrue(
        summary.overflowEntries() >= (holders - 2 * BUCKET_SLOTS) * blocks,
        "overflow " + summary.overflowEntries());
    Assertions.assertFalse(summary.isFull(), "strays " + summary.strayCount());
    for (int holder = 0; holder < holders - 4; holder++)
      for (long block = 0; block < blocks; block++)
        Assertions.assertTrue(summary.remove(mix(block + 77), holder));
    Assertions.assertEquals(0, summary.overflowEntries(), "the overflow moved back into the table");
  }

  @Test
  void anUndersizedTableCountsAsFull() {
    CuckooSummary summary = new CuckooSummary(1000, 16, BUCKET_SLOTS, 512, 1);
    for (int i = 0; i < 4000; i++) summary.insertOnce(mix(i), i % 100);
    Assertions.assertEquals(4000, summary.size());
    Assertions.assertTrue(summary.isFull());
  }

  @Test
  void bitsOfHoldersAndFingerprintFitOneInt() {
    Assertions.assertEquals(6, CuckooSummary.holderBits(64));
    Assertions.assertEquals(7, CuckooSummary.holderBits(65));
    Assertions.assertEquals(10, CuckooSummary.holderBits(1024));
    Assertions.assertThrows(
        IllegalArgumentException.class, () -> new CuckooSummary(10, 22, BUCKET_SLOTS, 1024, 1));
    Assertions.assertThrows(
        IllegalArgumentException.class, () -> new CuckooSummary(10, 16, BUCKET_SLOTS, 1025, 1));
    CuckooSummary summary = new CuckooSummary(10, 21, BUCKET_SLOTS, 1024, 1);
    summary.insert(1, 1023);
    long[] found = new long[16];
    Assertions.assertTrue(summary.lookup(1, found));
    Assertions.assertEquals(1L << 63, found[15]);
  }
}
