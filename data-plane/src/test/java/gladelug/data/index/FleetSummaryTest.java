package gladelug.data.index;

import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.CoreMemberList;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Weights;
import gladelug.common.message.Lookup;
import gladelug.data.state.ControlStateSnapshot;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of FleetSummary with its feeds. */
final class FleetSummaryTest {
  private static final int WHOLE = 256;

  private static ControlStateSnapshot tables(int holders) {
    Configuration configuration =
        ((Result.Good<Configuration>)
                Configuration.parse(
                    "{\"services\": [{\"name\": \"m\", \"allow\": [\"10.0.0.0/16\"]},"
                        + " {\"name\": \"a\", \"kind\": \"application\", \"allow\": [\"10.0.0.0/16\"]}],"
                        + " \"mappings\": [], \"tenants\": []}"))
            .value();
    List<Replicas.Replica> rs = new ArrayList<>();
    for (int h = 0; h < holders; h++)
      rs.add(
          new Replicas.Replica(
              "m",
              "h" + h,
              Address.of("10.0." + h / 200 + "." + (1 + h % 200) + ":80"),
              "z",
              true));
    rs.add(new Replicas.Replica("a", "no-holder", Address.of("10.0.200.1:80"), "z", true));
    rs.add(new Replicas.Replica("m", "not-allowed", Address.of("10.9.0.1:80"), "z", true));
    return new ControlStateSnapshot(
        1, "", configuration, 0, 0, Weights.NONE, 1, new Replicas(rs), 0, CoreMemberList.NONE);
  }

  /**
   * Holders that were asked for their list and gave an empty one, in the order of their names'
   * numbers.
   */
  private static Holder[] follow(FleetSummary s, int holders) {
    s.updateHolders(tables(holders), 0);
    Holder[] hs = new Holder[holders];
    for (Holder holder : s.allHolders()) {
      hs[Integer.parseInt(holder.replica.instance().substring(1))] = holder;
      holder.contacted = true;
      holder.setListRequester(nr -> holder.feed.onList(nr, BlockList.whole("i", 0, new long[0])));
      holder.feed.resync(0);
    }
    return hs;
  }

  private static List<Lookup.Match> ask(FleetSummary s, long... blocks) {
    Lookup.Response a = s.answer(new Lookup.Query(1, blocks));
    Assertions.assertTrue(a.warm());
    return a.matches();
  }

  private static int entries(FleetSummary s) {
    return s.toJson(0).getInt("entries", -1);
  }

  private static ControlStateSnapshot withStore() {
    Configuration.Service store =
        new Configuration.Service(
            0,
            "store",
            Configuration.Kind.STORE,
            List.of(),
            1,
            Configuration.Engine.UNKNOWN,
            Address.of("10.0.0.9:80"),
            "z");
    Configuration configuration =
        new Configuration(1, List.of(store), List.of(), List.of(), Configuration.Limits.DEFAULT);
    return new ControlStateSnapshot(
        1, "", configuration, 0, 0, Weights.NONE, 1, Replicas.NONE, 0, CoreMemberList.NONE);
  }

  @Test
  void aStoreIsAHolderAndOneThatIsSilentIsNoHint() {
    FleetSummary s = new FleetSummary(16);
    s.updateHolders(withStore(), 0);
    Holder store = s.allHolders().get(0);
    Assertions.assertTrue(Holders.isStore(store.replica));
    store.contacted = true;
    store.setListRequester(nr -> store.feed.onList(nr, BlockList.whole("i", 0, new long[] {7})));
    store.feed.resync(0);
    store.lastHeardMs = 1000;
    Lookup.Query question = new Lookup.Query(1, new long[] {7});
    Assertions.assertEquals(
        List.of(new Lookup.Match("store", 1)), s.answer(question, 2000).matches());
    Assertions.assertEquals(List.of(), s.answer(question, 5000).matches(), "nothing heard");
    store.lastHeardMs = 5000;
    Assertions.assertEquals(1, s.answer(question, 5000).matches().size(), "heard again");
  }

  @Test
  void repeatedStoresKeepOneEntryAndPartialEvictionsTellUnits() {
    FleetSummary s = new FleetSummary(16);
    Holder holder = follow(s, 1)[0];
    long n = 0;
    for (int i = 1; i <= 4; i++) holder.feed.onEvent(CacheEvent.store("i", ++n, 11, 64 * i), 1);
    holder.feed.onEvent(CacheEvent.store("i", ++n, 12, WHOLE), 1);
    holder.feed.onEvent(CacheEvent.store("i", ++n, 13, WHOLE), 1);
    Assertions.assertEquals(3, entries(s));
    Assertions.assertEquals(List.of(new Lookup.Match("h0", 3, 0)), ask(s, 11, 12, 13, 14));
    holder.feed.onEvent(CacheEvent.evict("i", ++n, 12, 100), 1);
    Assertions.assertEquals(3, entries(s));
    Assertions.assertEquals(List.of(new Lookup.Match("h0", 1, 100)), ask(s, 11, 12, 13));
    holder.feed.onEvent(CacheEvent.store("i", ++n, 12, 100), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 1, 100)), ask(s, 11, 12, 13), "it has not grown");
    holder.feed.onEvent(CacheEvent.store("i", ++n, 12, 200), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 3, 0)), ask(s, 11, 12, 13), "counts as whole");
    holder.feed.onEvent(new CacheEvent("i", ++n, 11, 32, true, false), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 0, 32)), ask(s, 11, 12, 13), "the first in part");
    holder.feed.onEvent(CacheEvent.evict("i", ++n, 11, 0), 1);
    holder.feed.onEvent(CacheEvent.evict("i", ++n, 11, 0), 1);
    Assertions.assertEquals(List.of(), ask(s, 11, 12, 13));
    Assertions.assertEquals(2, entries(s));
    holder.feed.onEvent(CacheEvent.store("i", ++n, 11, 10), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 3, 0)), ask(s, 11, 12, 13), "the part is forgotten");
  }

  @Test
  void aListTellsParts() {
    FleetSummary s = new FleetSummary(16);
    Holder holder = follow(s, 1)[0];
    BitSet parts = new BitSet();
    parts.set(1);
    holder.setListRequester(
        nr ->
            holder.feed.onList(
                nr,
                new BlockList(
                    "i", 5, new long[] {1, 2, 3, 4}, new int[] {WHOLE, 40, WHOLE, 0}, parts)));
    holder.feed.resync(1000);
    Assertions.assertEquals(3, entries(s));
    Assertions.assertEquals(List.of(new Lookup.Match("h0", 1, 40)), ask(s, 1, 2, 3));
  }

  /**
   * Holders' truth: units kept of each block. Gives how many entries a collision of fingerprints
   * took away.
   */
  private static int historyAgainstTruth(int fingerprintBits, int holders, int blocks, long seed) {
    SplittableRandom r = new SplittableRandom(seed);
    FleetSummary s = new FleetSummary(fingerprintBits);
    CuckooSummary twin =
        new CuckooSummary(1 << 12, fingerprintBits, CuckooSummary.BUCKET_SLOTS, 512, 1);
    Holder[] hs = follow(s, holders);
    List<Map<Long, Integer>> truth = new ArrayList<>();
    for (int h = 0; h < holders; h++) truth.add(new HashMap<>());
    long[] nr = new long[holders];
    for (int i = 0; i < 60_000; i++) {
      int h = r.nextInt(holders);
      long b = CuckooSummary.mix(1 + r.nextInt(blocks));
      int had = truth.get(h).getOrDefault(b, 0);
      boolean store = had < WHOLE && r.nextBoolean();
      int kept =
          store ? Math.min(WHOLE, had + 64 * (1 + r.nextInt(4))) : r.nextInt(3) == 0 ? had / 2 : 0;
      hs[h].feed.onEvent(new CacheEvent("i", ++nr[h], b, kept, kept < WHOLE && kept > 0, false), i);
      if (kept == 0) truth.get(h).remove(b);
      else truth.get(h).put(b, kept);
    }
    int missing = 0, kept = 0;
    for (int i = 1; i <= blocks; i++) {
      long b = CuckooSummary.mix(i);
      Map<String, Lookup.Match> found = new HashMap<>();
      for (Lookup.Match m : ask(s, b)) found.put(m.holder(), m);
      for (int h = 0; h < holders; h++) {
        int units = truth.get(h).getOrDefault(b, 0);
        Lookup.Match m = found.get("h" + h);
        boolean alone = true;
        for (int j = 1; j <= blocks; j++)
          alone &= j == i || !twin.indistinguishable(b, CuckooSummary.mix(j));
        if (units > 0) kept++;
        if (units > 0 && m == null) {
          missing++;
          Assertions.assertFalse(alone, "no other block has the fingerprint and buckets of " + i);
        } else if (m != null && alone) {
          Assertions.assertTrue(units > 0, "found and not kept");
          Assertions.assertEquals(units == WHOLE ? 1 : 0, m.blocks());
          Assertions.assertEquals(units == WHOLE ? 0 : units, m.partialUnits());
        }
      }
    }
    Assertions.assertTrue(kept - missing >= entries(s), kept + " kept, entries " + entries(s));
    return missing;
  }

  @Test
  void withPartsItAgreesWithTheTruthButForCollisionsOfFingerprints() {
    int missing = 0;
    for (int seed = 1; seed <= 3; seed++) missing += historyAgainstTruth(16, 10, 300, seed);
    Assertions.assertEquals(0, missing, "of some 9000 with f = 16");
    int few = historyAgainstTruth(5, 10, 300, 4);
    System.out.println("entries that collisions took away, f = 5, 10 holders, 300 blocks: " + few);
    Assertions.assertTrue(few > 0 && few < 150, "with f = 5: " + few);
  }

  @Test
  void manyHoldersAreFoundAndTheirIdsGivenAgain() {
    FleetSummary s = new FleetSummary(16);
    Holder[] hs = follow(s, 300);
    for (int h = 0; h < 300; h++) {
      hs[h].feed.onEvent(CacheEvent.store("i", 1, 1, 1), 1);
      if (h % 2 == 0) hs[h].feed.onEvent(CacheEvent.store("i", 2, 2, 1), 1);
      else hs[h].feed.onEvent(new CacheEvent("i", 2, 2, h, true, false), 1);
    }
    Set<Lookup.Match> want = new HashSet<>();
    for (int h = 0; h < 300; h++)
      want.add(new Lookup.Match("h" + h, h % 2 == 0 ? 2 : 1, h % 2 == 0 ? 0 : h));
    Assertions.assertEquals(want, new HashSet<>(ask(s, 1, 2, 3)));
    Assertions.assertEquals(300, ask(s, 1, 2, 3).size(), "one match a holder");
    s.updateHolders(tables(100), 2);
    Assertions.assertEquals(100, ask(s, 1, 2).size());
    Assertions.assertEquals(200, entries(s));
    s.updateHolders(tables(300), 3);
    Assertions.assertEquals(300, s.allHolders().size());
    Assertions.assertEquals(200, entries(s), "a new holder begins with nothing");
  }

  @Test
  void moreThanTheMostAreLeftOut() {
    FleetSummary s = new FleetSummary(16, 70, r -> CacheEventFeed.Policy.STRICT);
    s.updateHolders(tables(90), 0);
    Assertions.assertEquals(70, s.allHolders().size());
  }

  @Test
  void aLargerTableIsFilledFromListsAndWaitsForTheirPause() {
    FleetSummary s =
        new FleetSummary(16, 512, r -> CacheEventFeed.Policy.STRICT.minListIntervalMs(10_000));
    s.updateHolders(tables(80), 0);
    int[] lists = {0};
    for (Holder holder : s.allHolders()) {
      holder.contacted = true;
      holder.setListRequester(
          nr -> {
            lists[0]++;
            holder.feed.onList(nr, BlockList.whole("i", 0, new long[] {1, 2, 3}));
          });
      holder.feed.resync(0);
    }
    Assertions.assertEquals(80, lists[0]);
    s.setCapacity(s.allHolders().get(0), 100_000, 1);
    for (long t = 1; t < 10_000; t += 100) {
      for (Holder holder : s.allHolders()) holder.lastHeardMs = t;
      s.tick(t);
      Assertions.assertEquals(80, lists[0], "before the pause is over, at " + t);
    }
    for (Holder holder : s.allHolders()) holder.lastHeardMs = 10_000;
    s.tick(10_000);
    Assertions.assertEquals(160, lists[0]);
    Assertions.assertEquals(1, s.toJson(0).getInt("rebuilt", 0));
    Assertions.assertTrue(s.toJson(0).getInt("slots", 0) >= 110_000);
    Assertions.assertEquals(240, entries(s));
    Assertions.assertEquals(80, ask(s, 1, 2, 3, 4).size());
  }

  /**
   * A line that loses 3 of 100 events for good, reorders and repeats others, into a tolerant feed.
   */
  @Test
  void aTolerantFeedOnALossyLineStaysNearTheTruthAndAListRepairsIt() {
    int blocks = 2000;
    for (int seed = 1; seed <= 5; seed++) {
      SplittableRandom r = new SplittableRandom(seed);
      FleetSummary s =
          new FleetSummary(
              16,
              512,
              x ->
                  CacheEventFeed.Policy.STRICT
                      .withGaps(CacheEventFeed.GapPolicy.tolerant(80, 1000))
                      .minListIntervalMs(1000));
      Holder holder = follow(s, 1)[0];
      Map<Long, Integer> truth = new HashMap<>();
      List<CacheEvent> line = new ArrayList<>();
      long nr = 0, now = 0, lost = 0;
      for (int i = 0; i < 40_000 || !line.isEmpty(); i++) {
        now += 2;
        if (i < 40_000) {
          long b = CuckooSummary.mix(1 + r.nextInt(blocks));
          int had = truth.getOrDefault(b, 0);
          int kept = had == 0 ? WHOLE : r.nextInt(3) == 0 ? had / 2 : 0;
          CacheEvent event =
              had == 0
                  ? CacheEvent.store("i", ++nr, b, kept)
                  : CacheEvent.evict("i", ++nr, b, kept);
          if (kept == 0) truth.remove(b);
          else truth.put(b, kept);
          int c = r.nextInt(100);
          if (c < 3) lost++;
          else line.add(event);
          if (c > 95) line.add(event);
        }
        while (line.size() > 6 || i >= 40_000 && !line.isEmpty())
          holder.feed.onEvent(line.remove(r.nextInt(Math.min(line.size(), 6))), now);
        if (i % 50 == 0) s.tick(now);
      }
      holder.feed.onPulse("i", nr, now);
      for (int i = 0; i < 10; i++) s.tick(now += 100);
      Assertions.assertEquals(
          1, holder.feed.resyncCount(), "only the list at the beginning, seed " + seed);
      Assertions.assertEquals(nr, holder.feed.appliedSequence());
      Assertions.assertEquals(
          lost, holder.feed.missedCount(), "what came late or twice is not missing, seed " + seed);
      int wrong = wrong(s, truth, blocks);
      System.out.println(
          "tolerant, seed "
              + seed
              + ": lost "
              + lost
              + ", wrong blocks "
              + wrong
              + " of "
              + blocks);
      // a block is wrong where its last event was lost, 3 of 100, plus slack of four deviations
      Assertions.assertTrue(
          wrong > 0 && wrong <= blocks * 0.03 + 4 * Math.sqrt(blocks * 0.03), "wrong " + wrong);

      long at = nr;
      holder.setListRequester(
          n -> {
            long[] bs = truth.keySet().stream().mapToLong(x -> x).toArray();
            int[] us = new int[bs.length];
            BitSet parts = new BitSet();
            for (int i = 0; i < bs.length; i++) {
              us[i] = truth.get(bs[i]);
              parts.set(i, us[i] < WHOLE);
            }
            holder.feed.onList(n, new BlockList("i", at, bs, us, parts));
          });
      holder.feed.resync(now);
      Assertions.assertEquals(0, wrong(s, truth, blocks), "after a list, seed " + seed);
      Assertions.assertEquals(truth.size(), entries(s));
    }
  }

  private static int wrong(FleetSummary s, Map<Long, Integer> truth, int blocks) {
    int wrong = 0;
    for (int i = 1; i <= blocks; i++) {
      long b = CuckooSummary.mix(i);
      int units = truth.getOrDefault(b, 0);
      List<Lookup.Match> want =
          units == 0
              ? List.of()
              : List.of(new Lookup.Match("h0", units == WHOLE ? 1 : 0, units == WHOLE ? 0 : units));
      if (!ask(s, b).equals(want)) wrong++;
    }
    return wrong;
  }
}
