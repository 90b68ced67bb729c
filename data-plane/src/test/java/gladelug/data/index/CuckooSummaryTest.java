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

    void insert(long b, int h) {
      copiesByBlock.computeIfAbsent(b, k -> new HashMap<>()).merge(h, 1, Integer::sum);
    }

    boolean remove(long b, int h) {
      Map<Integer, Integer> x = copiesByBlock.get(b);
      if (x == null || !x.containsKey(h)) return false;
      x.computeIfPresent(h, (k, v) -> v == 1 ? null : v - 1);
      return true;
    }
  }

  private static void noFalseNegative(CuckooSummary s, Model m, String when) {
    m.copiesByBlock.forEach(
        (b, hs) ->
            hs.keySet()
                .forEach(
                    h ->
                        Assertions.assertTrue(
                            (s.lookup(b) & 1L << h) != 0,
                            () -> when + ": block " + b + " holder " + h)));
  }

  @Test
  void longHistoriesHaveNoFalseNegativeAgainstAnExactModel() {
    for (int seed = 1; seed <= 12; seed++) {
      SplittableRandom r = new SplittableRandom(seed);
      CuckooSummary s = new CuckooSummary(2000, seed % 2 == 0 ? 10 : 16, seed);
      Model m = new Model();
      for (int i = 0; i < 30_000; i++) {
        long b = mix(r.nextInt(seed % 3 == 0 ? 160 : 400));
        int h = r.nextInt(13);
        boolean has = m.copiesByBlock.containsKey(b) && m.copiesByBlock.get(b).containsKey(h);
        if (!has && s.size() < 1900) {
          m.insert(b, h);
          s.insert(b, h);
        } else if (has && r.nextInt(3) > 0) {
          Assertions.assertTrue(m.remove(b, h));
          Assertions.assertTrue(s.remove(b, h));
        }
        if (i % 5000 == 4999) {
          int out = r.nextInt(13);
          m.copiesByBlock.values().forEach(x -> x.remove(out));
          s.clear(out);
        }
        if (i % 1000 == 0) noFalseNegative(s, m, "seed " + seed + " step " + i);
      }
      noFalseNegative(s, m, "seed " + seed);
      int n =
          m.copiesByBlock.values().stream()
              .mapToInt(x -> x.values().stream().mapToInt(v -> v).sum())
              .sum();
      Assertions.assertEquals(n, s.size(), "entries, seed " + seed);
      m.copiesByBlock.forEach(
          (b, hs) ->
              hs.forEach(
                  (h, c) -> {
                    for (int j = 0; j < c; j++) Assertions.assertTrue(s.remove(b, h));
                  }));
      Assertions.assertEquals(0, s.size());
      Assertions.assertEquals(0, s.overflowEntries());
    }
  }

  @Test
  void thirteenHoldersOfOnePrefixAreAllFoundWithoutChurn() {
    CuckooSummary s = new CuckooSummary(20_000, 16, 1);
    for (long b = 0; b < 100; b++) for (int h = 0; h < 13; h++) s.insert(mix(b + 77), h);
    for (long b = 0; b < 100; b++)
      Assertions.assertEquals((1L << 13) - 1, s.lookup(mix(b + 77)) & (1L << 13) - 1);
    // five of each go over; two blocks that happen to share a bucket send a few more
    Assertions.assertTrue(
        s.overflowEntries() >= 500 && s.overflowEntries() <= 520,
        "overflow " + s.overflowEntries());
    Assertions.assertTrue(s.strayCount() <= 60, "strays " + s.strayCount());
    Assertions.assertTrue(
        s.displacements() <= 20 * MAX_DISPLACEMENTS, "churned " + s.displacements());
    Assertions.assertFalse(s.isFull());
    for (long b = 0; b < 100; b++) for (int h = 0; h < 9; h++) s.remove(mix(b + 77), h);
    Assertions.assertEquals(0, s.overflowEntries(), "moved back into the table");
  }

  @Test
  void theSmallestTableCanBeMadeWithEachFingerprint() {
    for (int fingerprintBits : new int[] {10, 12, 16})
      Assertions.assertTrue(new CuckooSummary(1, fingerprintBits, 3).capacity() > 0);
  }

  @Test
  void atNinetyPercentEveryEntryIsPlacedAndFalsePositivesKeepToTheBound() {
    for (int f : new int[] {10, 12, 16}) {
      CuckooSummary s = new CuckooSummary(58_000, f, 3);
      int n = s.capacity() * 9 / 10;
      for (int i = 0; i < n; i++) s.insert(mix(i), i % 13);
      for (int i = 0; i < n; i++) Assertions.assertTrue((s.lookup(mix(i)) & 1L << i % 13) != 0);
      Assertions.assertEquals(0, s.unplacedEntries());
      int wrong = 0, tries = 400_000;
      for (int i = 0; i < tries; i++) if (s.lookup(mix(i + 10_000_000L)) != 0) wrong++;
      double rate = (double) wrong / tries, bound = 2.0 * BUCKET_SLOTS / (1 << f);
      double slack = 4 * Math.sqrt(bound / tries);
      Assertions.assertTrue(rate <= bound + slack, "f " + f + " rate " + rate + " bound " + bound);
      Assertions.assertTrue(rate >= bound / 2, "f " + f + " suspiciously few: " + rate);
    }
  }

  @Test
  void aRemovalTakesNobodyElsesEntry() {
    CuckooSummary s = new CuckooSummary(1000, 10, 9);
    for (int i = 0; i < 800; i++) s.insert(mix(i), i % 2);
    int before = s.size(), wrongly = 0;
    for (int i = 0; i < 800; i++) if (s.remove(mix(i), 2)) wrongly++;
    Assertions.assertEquals(0, wrongly, "holder 2 never had anything");
    Assertions.assertEquals(before, s.size());
  }

  @Test
  void thePapersWidthForOnePercent() {
    Assertions.assertEquals(10, fingerprintBits(0.01));
  }

  @Test
  void repeatedInsertsLeaveOneEntryAlsoInTheOverflow() {
    CuckooSummary s = new CuckooSummary(1000, 16, BUCKET_SLOTS, 300, 5);
    for (int round = 0; round < 3; round++)
      for (int h = 0; h < 300; h++) Assertions.assertEquals(round == 0, s.insertOnce(mix(7), h));
    Assertions.assertEquals(300, s.size());
    Assertions.assertEquals(292, s.overflowEntries());
    for (int h = 0; h < 300; h++) {
      Assertions.assertTrue(s.contains(mix(7), h));
      Assertions.assertTrue(s.remove(mix(7), h));
      Assertions.assertFalse(s.contains(mix(7), h));
      Assertions.assertFalse(s.remove(mix(7), h), "a second copy");
    }
    Assertions.assertEquals(0, s.size());
    Assertions.assertEquals(0, s.overflowEntries());
  }

  @Test
  void copiesOfOneHolderInTheOverflowAreCounted() {
    CuckooSummary s = new CuckooSummary(1000, 16, BUCKET_SLOTS, 1024, 5);
    for (int i = 0; i < 20; i++) s.insert(mix(7), 1000);
    Assertions.assertEquals(12, s.overflowEntries());
    for (int i = 0; i < 20; i++) Assertions.assertTrue(s.remove(mix(7), 1000));
    Assertions.assertFalse(s.remove(mix(7), 1000));
    Assertions.assertEquals(0, s.size());
  }

  @Test
  void manyHoldersAgainstAnExactModel() {
    for (int holders : new int[] {65, 128, 500, 1024}) {
      SplittableRandom r = new SplittableRandom(holders);
      CuckooSummary s = new CuckooSummary(20_000, 16, BUCKET_SLOTS, holders, holders);
      Map<Long, BitSet> truth = new HashMap<>();
      long[] found = new long[s.bitsetWords()];
      int n = 0;
      for (int i = 0; i < 120_000; i++) {
        // a few blocks that everybody keeps, and others
        long b = mix(r.nextInt(4) == 0 ? r.nextInt(20) : 100 + r.nextInt(2000));
        int h = r.nextInt(holders);
        BitSet bs = truth.computeIfAbsent(b, k -> new BitSet());
        if (r.nextInt(5) < 3 && n < 18_000) {
          Assertions.assertEquals(!bs.get(h), s.insertOnce(b, h));
          if (!bs.get(h)) n++;
          bs.set(h);
        } else {
          Assertions.assertEquals(bs.get(h), s.remove(b, h));
          if (bs.get(h)) n--;
          bs.clear(h);
        }
        if (i % 20_000 == 19_999) {
          int out = r.nextInt(holders);
          for (BitSet x : truth.values()) {
            if (x.get(out)) n--;
            x.clear(out);
          }
          s.clear(out);
        }
        Assertions.assertEquals(n, s.size());
      }
      truth.forEach(
          (b, bs) -> {
            Assertions.assertEquals(!bs.isEmpty(), s.lookup(b, found));
            Assertions.assertEquals(bs, BitSet.valueOf(found), holders + " holders");
          });
    }
  }

  @Test
  void manyHoldersOfOnePrefixDoNotMakeTheTableCountAsFull() {
    int holders = 100, blocks = 300;
    CuckooSummary s = new CuckooSummary((long) holders * blocks, 16, BUCKET_SLOTS, 512, 1);
    for (int h = 0; h < holders; h++)
      for (long b = 0; b < blocks; b++) s.insertOnce(mix(b + 77), h);
    Assertions.assertEquals(holders * blocks, s.size());
    Assertions.assertTrue(
        s.overflowEntries() >= (holders - 2 * BUCKET_SLOTS) * blocks,
        "overflow " + s.overflowEntries());
    Assertions.assertFalse(s.isFull(), "strays " + s.strayCount());
    for (int h = 0; h < holders - 4; h++)
      for (long b = 0; b < blocks; b++) Assertions.assertTrue(s.remove(mix(b + 77), h));
    Assertions.assertEquals(0, s.overflowEntries(), "moved back into the table");
  }

  @Test
  void aTableTooSmallCountsAsFull() {
    CuckooSummary s = new CuckooSummary(1000, 16, BUCKET_SLOTS, 512, 1);
    for (int i = 0; i < 4000; i++) s.insertOnce(mix(i), i % 100);
    Assertions.assertEquals(4000, s.size());
    Assertions.assertTrue(s.isFull());
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
    CuckooSummary s = new CuckooSummary(10, 21, BUCKET_SLOTS, 1024, 1);
    s.insert(1, 1023);
    long[] found = new long[16];
    Assertions.assertTrue(s.lookup(1, found));
    Assertions.assertEquals(1L << 63, found[15]);
  }
}
