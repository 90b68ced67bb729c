package gladelug.data.index;

import gladelug.data.index.CacheEventFeed.Effects;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of CacheEventFeed. */
final class CacheEventFeedTest {
  /** A holder with a true set of blocks, and a line that loses, repeats and reorders its events. */
  @Test
  void whateverTheLineDoesTheSummaryComesToTheHoldersTruth() {
    for (int seed = 1; seed <= 40; seed++) {
      Random random = new Random(seed);
      Set<Long> truth = new HashSet<>();
      Map<Long, Integer> seen = new HashMap<>();
      long[] asked = {0, 0};
      boolean[] never = {false};
      CacheEventFeed f =
          new CacheEventFeed(
              new Effects() {
                @Override
                public void setKept(long b, int units, boolean part) {
                  if (seen.merge(b, units > 0 ? 1 : -1, Integer::sum) < 0) never[0] = true;
                  seen.remove(b, 0);
                }

                @Override
                public void clear() {
                  seen.clear();
                }

                @Override
                public void replaceAll(BlockList list) {
                  seen.clear();
                  for (long b : list.blocks()) setKept(b, 1, false);
                }

                @Override
                public void requestList(long nr) {
                  asked[0] = nr;
                }
              });
      String inc = "i0";
      long seq = 0, now = 0;
      List<Runnable> line = new ArrayList<>();
      f.resync(now);
      for (int step = 0; step < 4000; step++) {
        now += 5;
        long t = now;
        if (step < 3500) {
          if (random.nextInt(700) == 0) {
            inc = "i" + step;
            seq = 0;
            truth.clear();
          }
          long b = random.nextInt(50);
          boolean store = truth.add(b);
          if (!store) truth.remove(b);
          long s = ++seq;
          String i = inc;
          CacheEvent event = store ? CacheEvent.store(i, s, b, 1) : CacheEvent.evict(i, s, b, 0);
          Runnable task = () -> f.onEvent(event, t);
          int c = random.nextInt(100);
          if (c >= 2) line.add(task);
          if (c > 95) line.add(task);
        }
        if (random.nextInt(20) == 0 || step > 3500) {
          long s = seq;
          String i = inc;
          line.add(() -> f.onPulse(i, s, t));
        }
        while (line.size() > 4 || step > 3500 && !line.isEmpty())
          line.remove(random.nextInt(Math.min(line.size(), 4))).run();
        f.tick(now);
        if (asked[0] != asked[1] && random.nextInt(10) == 0) {
          asked[1] = asked[0];
          f.onList(asked[0], BlockList.whole(inc, seq, truth.stream().mapToLong(x -> x).toArray()));
        }
      }
      Assertions.assertTrue(f.isFollowing(), "seed " + seed);
      Assertions.assertEquals(truth, seen.keySet(), "seed " + seed);
      Assertions.assertFalse(never[0], "removed what was never inserted, seed " + seed);
      Assertions.assertTrue(
          f.resyncCount() > 1 && f.duplicateCount() > 0, "the line did nothing, seed " + seed);
    }
  }

  /** What a feed did, in words. */
  private static final class Log implements Effects {
    final List<String> said = new ArrayList<>();

    @Override
    public void setKept(long b, int units, boolean part) {
      said.add(b + "=" + units + (part ? "p" : ""));
    }

    @Override
    public void clear() {
      said.add("clear");
    }

    @Override
    public void replaceAll(BlockList list) {
      said.add("load " + list.blocks().length);
    }

    @Override
    public void requestList(long nr) {
      said.add("list " + nr);
    }

    String since() {
      String text = String.join(" ", said);
      said.clear();
      return text;
    }
  }

  private static final CacheEventFeed.Policy TOLERANT =
      CacheEventFeed.Policy.STRICT.withGaps(CacheEventFeed.GapPolicy.tolerant(3, 100));

  private static CacheEventFeed begun(Log log, CacheEventFeed.Policy p) {
    CacheEventFeed f = new CacheEventFeed(log, p);
    f.resync(0);
    f.onList(1, BlockList.whole("i", 10, new long[0]));
    Assertions.assertEquals("list 1 load 0", log.since());
    return f;
  }

  @Test
  void aTolerantFeedGoesOnOverAGapWhenItsPatienceIsOver() {
    Log log = new Log();
    CacheEventFeed f = begun(log, TOLERANT);
    f.onEvent(CacheEvent.store("i", 12, 5, 1), 1000);
    f.onEvent(CacheEvent.store("i", 13, 6, 1), 1001);
    f.tick(1300);
    Assertions.assertEquals("", log.since(), "still waits");
    f.tick(1301);
    Assertions.assertEquals("5=1 6=1", log.since());
    Assertions.assertEquals(1, f.missedCount());
    f.onEvent(CacheEvent.store("i", 11, 7, 1), 1400);
    f.onEvent(CacheEvent.store("i", 11, 7, 1), 1401);
    Assertions.assertEquals("7=1", log.since(), "late, once");
    Assertions.assertEquals(0, f.missedCount());
    f.onEvent(CacheEvent.evict("i", 15, 6, 0), 2000);
    f.tick(2400);
    f.onEvent(CacheEvent.store("i", 14, 6, 1), 2500);
    Assertions.assertEquals("6=0", log.since(), "late, and something newer told of that block");
    f.onPulse("i", 17, 3000);
    f.tick(3301);
    Assertions.assertEquals(17, f.appliedSequence(), "the last ones lost");
    Assertions.assertEquals(2, f.missedCount());
    Assertions.assertEquals(1, f.resyncCount());
  }

  @Test
  void tooManyMissingOfTheLastMeanAList() {
    Log log = new Log();
    CacheEventFeed f = begun(log, TOLERANT);
    long n = 10, t = 1000;
    for (int i = 0; i < 20; i++) {
      n += 2;
      f.onEvent(CacheEvent.store("i", n, 1, 1), t += 400);
      f.tick(t += 400);
      for (int j = 0; j < 38; j++) f.onEvent(CacheEvent.store("i", ++n, 1, 1), t);
    }
    Assertions.assertEquals(20, f.missedCount());
    Assertions.assertEquals(1, f.resyncCount(), "never more than 3 of the last 100");
    log.since();
    n += 5;
    f.onEvent(CacheEvent.store("i", n, 2, 1), t += 400);
    f.tick(t += 400);
    Assertions.assertEquals("list 2", log.since(), "four at once");
    f.onEvent(CacheEvent.store("i", n + 1, 3, 1), t);
    f.onList(2, BlockList.whole("i", n, new long[4]));
    f.onList(2, BlockList.whole("i", n, new long[4]));
    Assertions.assertEquals("load 4 3=1", log.since());
    f.onEvent(CacheEvent.store("i", n + 1_000_000_000_000L, 3, 1), t += 400);
    f.tick(t += 400);
    Assertions.assertEquals("list 3", log.since());
  }

  @Test
  void aHolderThatLostEventsIsListedButNoOftenerThanThePause() {
    for (CacheEventFeed.Policy p :
        List.of(
            TOLERANT.minListIntervalMs(5000),
            CacheEventFeed.Policy.STRICT.minListIntervalMs(5000))) {
      Log log = new Log();
      CacheEventFeed f = begun(log, p);
      f.onEvent(CacheEvent.store("i", 11, 1, 1).afterLoss(), 1000);
      f.onEvent(CacheEvent.store("i", 12, 2, 1), 1100);
      f.tick(4999);
      Assertions.assertEquals(
          p.gaps() == CacheEventFeed.GapPolicy.STRICT ? "" : "1=1 2=1", log.since());
      Assertions.assertEquals(p.gaps() != CacheEventFeed.GapPolicy.STRICT, f.isFollowing());
      f.tick(5000);
      Assertions.assertEquals("list 2", log.since());
      f.onEvent(CacheEvent.store("i", 20, 3, 1).afterLoss(), 5100);
      f.onList(2, BlockList.whole("i", 15, new long[2]));
      Assertions.assertEquals("load 2", log.since());
      f.tick(9999);
      f.tick(10_000);
      Assertions.assertEquals("list 3", log.since(), "lost after that list was made");
      f.onListFailed(3, 10_010);
      f.tick(14_999);
      Assertions.assertEquals("", log.since());
      f.tick(15_000);
      Assertions.assertEquals("list 4", log.since());
      f.onList(4, BlockList.whole("i", 20, new long[3]));
      f.tick(30_000);
      Assertions.assertEquals("load 3", log.since());
    }
  }

  @Test
  void aFeedListedForAnotherReasonGoesOnUntilTheListIsAskedFor() {
    for (CacheEventFeed.Policy p :
        List.of(
            TOLERANT.minListIntervalMs(5000),
            CacheEventFeed.Policy.STRICT.minListIntervalMs(5000))) {
      Log log = new Log();
      CacheEventFeed f = begun(log, p);
      f.requestList(1000);
      f.onEvent(CacheEvent.store("i", 11, 1, 1), 1000);
      Assertions.assertTrue(f.isFollowing());
      f.tick(5000);
      Assertions.assertEquals("1=1 list 2", log.since());
      Assertions.assertFalse(f.isFollowing());
      f.onEvent(CacheEvent.store("i", 12, 2, 1), 5001);
      f.onList(2, BlockList.whole("i", 11, new long[1]));
      Assertions.assertEquals("load 1 2=1", log.since());
    }
  }

  @Test
  void aTolerantFeedThatMissesTooMuchGoesOnUntilItsListMayBeAskedFor() {
    Log log = new Log();
    CacheEventFeed f = begun(log, TOLERANT.minListIntervalMs(5000));
    f.onEvent(CacheEvent.store("i", 50, 1, 1), 1000);
    f.tick(1301);
    f.onEvent(CacheEvent.store("i", 51, 2, 1), 1302);
    f.onEvent(CacheEvent.store("i", 60, 3, 1), 1303);
    f.tick(1700);
    Assertions.assertEquals("1=1 2=1 3=1", log.since());
    f.tick(5000);
    Assertions.assertEquals("list 2", log.since());
    f.onEvent(CacheEvent.store("j", 1, 1, 1), 5100);
    f.onList(2, BlockList.whole("i", 60, new long[1]));
    f.onEvent(CacheEvent.store("j", 2, 1, 1), 5200);
    Assertions.assertEquals("load 1 clear", log.since());
    f.tick(10_000);
    Assertions.assertEquals("list 3", log.since());
  }

  @Test
  void aNewIncarnationClearsAtOnceAndTheOldOnesLateEventsDoNothing() {
    for (CacheEventFeed.Policy p : List.of(TOLERANT, CacheEventFeed.Policy.STRICT)) {
      Log log = new Log();
      CacheEventFeed f = begun(log, p);
      f.onEvent(CacheEvent.store("i", 11, 1, 1), 1000);
      f.onEvent(CacheEvent.store("j", 1, 2, 1), 1001);
      Assertions.assertEquals("1=1 clear list 2", log.since());
      f.onEvent(CacheEvent.store("i", 12, 3, 1), 1002);
      f.onList(2, BlockList.whole("j", 0, new long[0]));
      f.onEvent(CacheEvent.store("i", 13, 3, 1), 1003);
      f.onPulse("i", 13, 1004);
      Assertions.assertEquals("load 0 2=1", log.since());
      Assertions.assertTrue(f.isFollowing());
    }
  }
}
