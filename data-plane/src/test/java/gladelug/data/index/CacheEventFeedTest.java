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
  /**
   * Follows a holder over a connection that loses, repeats and reorders events, and checks that the
   * followed set converges to the blocks that the holder keeps.
   */
  @Test
  void theFollowedSetConvergesToTheHoldersBlocksDespiteLossAndReordering() {
    for (int seed = 1; seed <= 40; seed++) {
      Random random = new Random(seed);
      Set<Long> held = new HashSet<>();
      Map<Long, Integer> seen = new HashMap<>();
      long[] asked = {0, 0};
      boolean[] unknown = {false};
      CacheEventFeed f =
          new CacheEventFeed(
              new Effects() {
                @Override
                public void setKept(long b, int units, boolean part) {
                  if (seen.merge(b, units > 0 ? 1 : -1, Integer::sum) < 0) unknown[0] = true;
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
      String id = "i0";
      long last = 0, now = 0;
      List<Runnable> inFlight = new ArrayList<>();
      f.resync(now);
      for (int step = 0; step < 4000; step++) {
        now += 5;
        long t = now;
        if (step < 3500) {
          if (random.nextInt(700) == 0) {
            id = "i" + step;
            last = 0;
            held.clear();
          }
          long b = random.nextInt(50);
          boolean store = held.add(b);
          if (!store) held.remove(b);
          long seq = ++last;
          String inc = id;
          CacheEvent event =
              store ? CacheEvent.store(inc, seq, b, 1) : CacheEvent.evict(inc, seq, b, 0);
          Runnable task = () -> f.onEvent(event, t);
          int roll = random.nextInt(100);
          if (roll >= 2) inFlight.add(task);
          if (roll > 95) inFlight.add(task);
        }
        if (random.nextInt(20) == 0 || step > 3500) {
          long seq = last;
          String inc = id;
          inFlight.add(() -> f.onPulse(inc, seq, t));
        }
        while (inFlight.size() > 4 || step > 3500 && !inFlight.isEmpty())
          inFlight.remove(random.nextInt(Math.min(inFlight.size(), 4))).run();
        f.tick(now);
        if (asked[0] != asked[1] && random.nextInt(10) == 0) {
          asked[1] = asked[0];
          f.onList(asked[0], BlockList.whole(id, last, held.stream().mapToLong(b -> b).toArray()));
        }
      }
      Assertions.assertTrue(f.isFollowing(), "seed " + seed);
      Assertions.assertEquals(held, seen.keySet(), "seed " + seed);
      Assertions.assertFalse(unknown[0], "removed, seed " + seed);
      Assertions.assertTrue(f.resyncCount() > 1 && f.duplicateCount() > 0, "no loss, seed " + seed);
    }
  }

  /** Records the effects of a feed as text. */
  private static final class RecordedEffects implements Effects {
    final List<String> recorded = new ArrayList<>();

    @Override
    public void setKept(long block, int units, boolean partial) {
      recorded.add(block + "=" + units + (partial ? "p" : ""));
    }

    @Override
    public void clear() {
      recorded.add("clear");
    }

    @Override
    public void replaceAll(BlockList list) {
      recorded.add("load " + list.blocks().length);
    }

    @Override
    public void requestList(long requestNumber) {
      recorded.add("list " + requestNumber);
    }

    String takeRecorded() {
      String text = String.join(" ", recorded);
      recorded.clear();
      return text;
    }
  }

  private static final CacheEventFeed.Policy TOLERANT =
      CacheEventFeed.Policy.STRICT.withGaps(CacheEventFeed.GapPolicy.tolerant(3, 100));

  private static CacheEventFeed startFeed(RecordedEffects effects, CacheEventFeed.Policy policy) {
    CacheEventFeed feed = new CacheEventFeed(effects, policy);
    feed.resync(0);
    feed.onList(1, BlockList.whole("i", 10, new long[0]));
    Assertions.assertEquals("list 1 load 0", effects.takeRecorded());
    return feed;
  }

  @Test
  void aTolerantFeedSkipsAGapAfterTheTimeout() {
    RecordedEffects effects = new RecordedEffects();
    CacheEventFeed feed = startFeed(effects, TOLERANT);
    feed.onEvent(CacheEvent.store("i", 12, 5, 1), 1000);
    feed.onEvent(CacheEvent.store("i", 13, 6, 1), 1001);
    feed.tick(1300);
    Assertions.assertEquals("", effects.takeRecorded(), "the gap has not timed out");
    feed.tick(1301);
    Assertions.assertEquals("5=1 6=1", effects.takeRecorded());
    Assertions.assertEquals(1, feed.missedCount());
    feed.onEvent(CacheEvent.store("i", 11, 7, 1), 1400);
    feed.onEvent(CacheEvent.store("i", 11, 7, 1), 1401);
    Assertions.assertEquals("7=1", effects.takeRecorded(), "a late event is applied once");
    Assertions.assertEquals(0, feed.missedCount());
    feed.onEvent(CacheEvent.evict("i", 15, 6, 0), 2000);
    feed.tick(2400);
    feed.onEvent(CacheEvent.store("i", 14, 6, 1), 2500);
    Assertions.assertEquals(
        "6=0", effects.takeRecorded(), "a late event is dropped if a newer one reported its block");
    feed.onPulse("i", 17, 3000);
    feed.tick(3301);
    Assertions.assertEquals(17, feed.appliedSequence(), "the last events were lost");
    Assertions.assertEquals(2, feed.missedCount());
    Assertions.assertEquals(1, feed.resyncCount());
  }

  @Test
  void tooManyMissingEventsCauseAListRequest() {
    RecordedEffects effects = new RecordedEffects();
    CacheEventFeed feed = startFeed(effects, TOLERANT);
    long sequence = 10, nowMs = 1000;
    for (int i = 0; i < 20; i++) {
      sequence += 2;
      feed.onEvent(CacheEvent.store("i", sequence, 1, 1), nowMs += 400);
      feed.tick(nowMs += 400);
      for (int j = 0; j < 38; j++) feed.onEvent(CacheEvent.store("i", ++sequence, 1, 1), nowMs);
    }
    Assertions.assertEquals(20, feed.missedCount());
    Assertions.assertEquals(1, feed.resyncCount(), "at most 3 of the last 100 were missing");
    effects.takeRecorded();
    sequence += 5;
    feed.onEvent(CacheEvent.store("i", sequence, 2, 1), nowMs += 400);
    feed.tick(nowMs += 400);
    Assertions.assertEquals("list 2", effects.takeRecorded(), "four missing at once");
    feed.onEvent(CacheEvent.store("i", sequence + 1, 3, 1), nowMs);
    feed.onList(2, BlockList.whole("i", sequence, new long[4]));
    feed.onList(2, BlockList.whole("i", sequence, new long[4]));
    Assertions.assertEquals("load 4 3=1", effects.takeRecorded());
    feed.onEvent(CacheEvent.store("i", sequence + 1_000_000_000_000L, 3, 1), nowMs += 400);
    feed.tick(nowMs += 400);
    Assertions.assertEquals("list 3", effects.takeRecorded());
  }

  @Test
  void aHolderThatLostEventsIsListedNoMoreOftenThanTheMinimumInterval() {
    for (CacheEventFeed.Policy policy :
        List.of(
            TOLERANT.withMinListIntervalMs(5000),
            CacheEventFeed.Policy.STRICT.withMinListIntervalMs(5000))) {
      RecordedEffects effects = new RecordedEffects();
      CacheEventFeed feed = startFeed(effects, policy);
      feed.onEvent(CacheEvent.store("i", 11, 1, 1).afterLoss(), 1000);
      feed.onEvent(CacheEvent.store("i", 12, 2, 1), 1100);
      feed.tick(4999);
      Assertions.assertEquals(
          policy.gaps() == CacheEventFeed.GapPolicy.STRICT ? "" : "1=1 2=1",
          effects.takeRecorded());
      Assertions.assertEquals(policy.gaps() != CacheEventFeed.GapPolicy.STRICT, feed.isFollowing());
      feed.tick(5000);
      Assertions.assertEquals("list 2", effects.takeRecorded());
      feed.onEvent(CacheEvent.store("i", 20, 3, 1).afterLoss(), 5100);
      feed.onList(2, BlockList.whole("i", 15, new long[2]));
      Assertions.assertEquals("load 2", effects.takeRecorded());
      feed.tick(9999);
      feed.tick(10_000);
      Assertions.assertEquals(
          "list 3", effects.takeRecorded(), "events were lost after that list was made");
      feed.onListFailed(3, 10_010);
      feed.tick(14_999);
      Assertions.assertEquals("", effects.takeRecorded());
      feed.tick(15_000);
      Assertions.assertEquals("list 4", effects.takeRecorded());
      feed.onList(4, BlockList.whole("i", 20, new long[3]));
      feed.tick(30_000);
      Assertions.assertEquals("load 3", effects.takeRecorded());
    }
  }

  @Test
  void aFeedListedForAnotherReasonAppliesEventsUntilTheListIsRequested() {
    for (CacheEventFeed.Policy policy :
        List.of(
            TOLERANT.withMinListIntervalMs(5000),
            CacheEventFeed.Policy.STRICT.withMinListIntervalMs(5000))) {
      RecordedEffects effects = new RecordedEffects();
      CacheEventFeed feed = startFeed(effects, policy);
      feed.requestList(1000);
      feed.onEvent(CacheEvent.store("i", 11, 1, 1), 1000);
      Assertions.assertTrue(feed.isFollowing());
      feed.tick(5000);
      Assertions.assertEquals("1=1 list 2", effects.takeRecorded());
      Assertions.assertFalse(feed.isFollowing());
      feed.onEvent(CacheEvent.store("i", 12, 2, 1), 5001);
      feed.onList(2, BlockList.whole("i", 11, new long[1]));
      Assertions.assertEquals("load 1 2=1", effects.takeRecorded());
    }
  }

  @Test
  void aTolerantFeedThatMissesTooMuchAppliesEventsUntilItsListMayBeRequested() {
    RecordedEffects effects = new RecordedEffects();
    CacheEventFeed feed = startFeed(effects, TOLERANT.withMinListIntervalMs(5000));
    feed.onEvent(CacheEvent.store("i", 50, 1, 1), 1000);
    feed.tick(1301);
    feed.onEvent(CacheEvent.store("i", 51, 2, 1), 1302);
    feed.onEvent(CacheEvent.store("i", 60, 3, 1), 1303);
    feed.tick(1700);
    Assertions.assertEquals("1=1 2=1 3=1", effects.takeRecorded());
    feed.tick(5000);
    Assertions.assertEquals("list 2", effects.takeRecorded());
    feed.onEvent(CacheEvent.store("j", 1, 1, 1), 5100);
    feed.onList(2, BlockList.whole("i", 60, new long[1]));
    feed.onEvent(CacheEvent.store("j", 2, 1, 1), 5200);
    Assertions.assertEquals("load 1 clear", effects.takeRecorded());
    feed.tick(10_000);
    Assertions.assertEquals("list 3", effects.takeRecorded());
  }

  @Test
  void aNewIncarnationClearsImmediatelyAndLateEventsOfTheOldOneAreIgnored() {
    for (CacheEventFeed.Policy policy : List.of(TOLERANT, CacheEventFeed.Policy.STRICT)) {
      RecordedEffects effects = new RecordedEffects();
      CacheEventFeed feed = startFeed(effects, policy);
      feed.onEvent(CacheEvent.store("i", 11, 1, 1), 1000);
      feed.onEvent(CacheEvent.store("j", 1, 2, 1), 1001);
      Assertions.assertEquals("1=1 clear list 2", effects.takeRecorded());
      feed.onEvent(CacheEvent.store("i", 12, 3, 1), 1002);
      feed.onList(2, BlockList.whole("j", 0, new long[0]));
      feed.onEvent(CacheEvent.store("i", 13, 3, 1), 1003);
      feed.onPulse("i", 13, 1004);
      Assertions.assertEquals("load 0 2=1", effects.takeRecorded());
      Assertions.assertTrue(feed.isFollowing());
    }
  }
}
