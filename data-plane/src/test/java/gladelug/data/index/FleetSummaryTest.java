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

  private static ControlStateSnapshot snapshotOf(int holders) {
    Configuration configuration =
        ((Result.Good<Configuration>)
                Configuration.parse(
                    "{\"services\": [{\"name\": \"m\", \"allow\": [\"10.0.0.0/16\"]},"
                        + " {\"name\": \"a\", \"kind\": \"application\", \"allow\": [\"10.0.0.0/16\"]}],"
                        + " \"mappings\": [], \"tenants\": []}"))
            .value();
    List<Replicas.Replica> replicas = new ArrayList<>();
    for (int index = 0; index < holders; index++)
      replicas.add(
          new Replicas.Replica(
              "m",
              "h" + index,
              Address.of("10.0." + index / 200 + "." + (1 + index % 200) + ":80"),
              "z",
              true));
    replicas.add(new Replicas.Replica("a", "no-holder", Address.of("10.0.200.1:80"), "z", true));
    replicas.add(new Replicas.Replica("m", "not-allowed", Address.of("10.9.0.1:80"), "z", true));
    return new ControlStateSnapshot(
        1,
        "",
        configuration,
        0,
        0,
        Weights.NONE,
        1,
        new Replicas(replicas),
        0,
        CoreMemberList.NONE);
  }

  /**
   * Follows holders that were asked for their list and returned an empty one, ordered by the number
   * in their name.
   */
  private static Holder[] follow(FleetSummary summary, int holders) {
    summary.updateHolders(snapshotOf(holders), 0);
    Holder[] followed = new Holder[holders];
    for (Holder holder : summary.allHolders()) {
      followed[Integer.parseInt(holder.replica.instance().substring(1))] = holder;
      holder.contacted = true;
      holder.setListRequester(
          requestNumber -> holder.feed.onList(requestNumber, BlockList.whole("i", 0, new long[0])));
      holder.feed.resync(0);
    }
    return followed;
  }

  private static List<Lookup.Match> ask(FleetSummary summary, long... blocks) {
    Lookup.Response answer = summary.answer(new Lookup.Query(1, blocks));
    Assertions.assertTrue(answer.warm());
    return answer.matches();
  }

  private static int entries(FleetSummary summary) {
    return summary.toJson(0).getInt("entries", -1);
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
  void aStoreIsAHolderAndASilentStoreIsNotReturned() {
    FleetSummary summary = new FleetSummary(16);
    summary.updateHolders(withStore(), 0);
    Holder store = summary.allHolders().get(0);
    Assertions.assertTrue(Holders.isStore(store.replica));
    store.contacted = true;
    store.setListRequester(
        requestNumber -> store.feed.onList(requestNumber, BlockList.whole("i", 0, new long[] {7})));
    store.feed.resync(0);
    store.lastHeardMs = 1000;
    Lookup.Query question = new Lookup.Query(1, new long[] {7});
    Assertions.assertEquals(
        List.of(new Lookup.Match("store", 1)), summary.answer(question, 2000).matches());
    Assertions.assertEquals(
        List.of(), summary.answer(question, 5000).matches(), "the store is silent");
    store.lastHeardMs = 5000;
    Assertions.assertEquals(
        1, summary.answer(question, 5000).matches().size(), "the store was heard again");
  }

  @Test
  void repeatedStoresKeepOneEntryAndPartialEvictionsReportUnits() {
    FleetSummary summary = new FleetSummary(16);
    Holder holder = follow(summary, 1)[0];
    long sequence = 0;
    for (int i = 1; i <= 4; i++)
      holder.feed.onEvent(CacheEvent.store("i", ++sequence, 11, 64 * i), 1);
    holder.feed.onEvent(CacheEvent.store("i", ++sequence, 12, WHOLE), 1);
    holder.feed.onEvent(CacheEvent.store("i", ++sequence, 13, WHOLE), 1);
    Assertions.assertEquals(3, entries(summary));
    Assertions.assertEquals(List.of(new Lookup.Match("h0", 3, 0)), ask(summary, 11, 12, 13, 14));
    holder.feed.onEvent(CacheEvent.evict("i", ++sequence, 12, 100), 1);
    Assertions.assertEquals(3, entries(summary));
    Assertions.assertEquals(List.of(new Lookup.Match("h0", 1, 100)), ask(summary, 11, 12, 13));
    holder.feed.onEvent(CacheEvent.store("i", ++sequence, 12, 100), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 1, 100)),
        ask(summary, 11, 12, 13),
        "the block has not grown");
    holder.feed.onEvent(CacheEvent.store("i", ++sequence, 12, 200), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 3, 0)),
        ask(summary, 11, 12, 13),
        "the block counts as whole again");
    holder.feed.onEvent(new CacheEvent("i", ++sequence, 11, 32, true, false), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 0, 32)),
        ask(summary, 11, 12, 13),
        "the first block is partial");
    holder.feed.onEvent(CacheEvent.evict("i", ++sequence, 11, 0), 1);
    holder.feed.onEvent(CacheEvent.evict("i", ++sequence, 11, 0), 1);
    Assertions.assertEquals(List.of(), ask(summary, 11, 12, 13));
    Assertions.assertEquals(2, entries(summary));
    holder.feed.onEvent(CacheEvent.store("i", ++sequence, 11, 10), 1);
    Assertions.assertEquals(
        List.of(new Lookup.Match("h0", 3, 0)),
        ask(summary, 11, 12, 13),
        "the partial units were discarded");
  }

  @Test
  void aListReportsPartialBlocks() {
    FleetSummary summary = new FleetSummary(16);
    Holder holder = follow(summary, 1)[0];
    BitSet partialBlocks = new BitSet();
    partialBlocks.set(1);
    holder.setListRequester(
        requestNumber ->
            holder.feed.onList(
                requestNumber,
                new BlockList(
                    "i",
                    5,
                    new long[] {1, 2, 3, 4},
                    new int[] {WHOLE, 40, WHOLE, 0},
                    partialBlocks)));
    holder.feed.resync(1000);
    Assertions.assertEquals(3, entries(summary));
    Assertions.assertEquals(List.of(new Lookup.Match("h0", 1, 40)), ask(summary, 1, 2, 3));
  }

  /**
   * Applies a random history to the summary and to an exact map of units by block and holder, and
   * compares both. Returns how many entries are missing because of fingerprint collisions.
   */
  private static int missingAfterRandomHistory(
      int fingerprintBits, int holders, int blocks, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FleetSummary summary = new FleetSummary(fingerprintBits);
    CuckooSummary table =
        new CuckooSummary(1 << 12, fingerprintBits, CuckooSummary.BUCKET_SLOTS, 512, 1);
    Holder[] followed = follow(summary, holders);
    List<Map<Long, Integer>> groundTruth = new ArrayList<>();
    for (int index = 0; index < holders; index++) groundTruth.add(new HashMap<>());
    long[] sequence = new long[holders];
    for (int i = 0; i < 60_000; i++) {
      int index = random.nextInt(holders);
      long block = CuckooSummary.mix(1 + random.nextInt(blocks));
      int unitsBefore = groundTruth.get(index).getOrDefault(block, 0);
      boolean store = unitsBefore < WHOLE && random.nextBoolean();
      int kept =
          store
              ? Math.min(WHOLE, unitsBefore + 64 * (1 + random.nextInt(4)))
              : random.nextInt(3) == 0 ? unitsBefore / 2 : 0;
      followed[index].feed.onEvent(
          new CacheEvent("i", ++sequence[index], block, kept, kept < WHOLE && kept > 0, false), i);
      if (kept == 0) groundTruth.get(index).remove(block);
      else groundTruth.get(index).put(block, kept);
    }
    int missing = 0, kept = 0;
    for (int i = 1; i <= blocks; i++) {
      long block = CuckooSummary.mix(i);
      Map<String, Lookup.Match> found = new HashMap<>();
      for (Lookup.Match match : ask(summary, block)) found.put(match.holder(), match);
      for (int index = 0; index < holders; index++) {
        int units = groundTruth.get(index).getOrDefault(block, 0);
        Lookup.Match match = found.get("h" + index);
        boolean isUnambiguous = true;
        for (int j = 1; j <= blocks; j++)
          isUnambiguous &= j == i || !table.indistinguishable(block, CuckooSummary.mix(j));
        if (units > 0) kept++;
        if (units > 0 && match == null) {
          missing++;
          Assertions.assertFalse(
              isUnambiguous,
              "missing although no other block has the fingerprint and buckets of " + i);
        } else if (match != null && isUnambiguous) {
          Assertions.assertTrue(units > 0, "found but not kept");
          Assertions.assertEquals(units == WHOLE ? 1 : 0, match.blocks());
          Assertions.assertEquals(units == WHOLE ? 0 : units, match.partialUnits());
        }
      }
    }
    Assertions.assertTrue(
        kept - missing >= entries(summary), kept + " kept, entries " + entries(summary));
    return missing;
  }

  @Test
  void withPartialBlocksItIsExactExceptForFingerprintCollisions() {
    int missing = 0;
    for (int seed = 1; seed <= 3; seed++) missing += missingAfterRandomHistory(16, 10, 300, seed);
    Assertions.assertEquals(0, missing, "entries missing of about 9000 with f = 16");
    int few = missingAfterRandomHistory(5, 10, 300, 4);
    System.out.println(
        "entries missing because of collisions, f = 5, 10 holders, 300 blocks: " + few);
    Assertions.assertTrue(few > 0 && few < 150, "with f = 5: " + few);
  }

  @Test
  void manyHoldersAreFoundAndTheirIdsAreReused() {
    FleetSummary summary = new FleetSummary(16);
    Holder[] followed = follow(summary, 300);
    for (int index = 0; index < 300; index++) {
      followed[index].feed.onEvent(CacheEvent.store("i", 1, 1, 1), 1);
      if (index % 2 == 0) followed[index].feed.onEvent(CacheEvent.store("i", 2, 2, 1), 1);
      else followed[index].feed.onEvent(new CacheEvent("i", 2, 2, index, true, false), 1);
    }
    Set<Lookup.Match> expected = new HashSet<>();
    for (int index = 0; index < 300; index++)
      expected.add(
          new Lookup.Match("h" + index, index % 2 == 0 ? 2 : 1, index % 2 == 0 ? 0 : index));
    Assertions.assertEquals(expected, new HashSet<>(ask(summary, 1, 2, 3)));
    Assertions.assertEquals(300, ask(summary, 1, 2, 3).size(), "one match per holder");
    summary.updateHolders(snapshotOf(100), 2);
    Assertions.assertEquals(100, ask(summary, 1, 2).size());
    Assertions.assertEquals(200, entries(summary));
    summary.updateHolders(snapshotOf(300), 3);
    Assertions.assertEquals(300, summary.allHolders().size());
    Assertions.assertEquals(200, entries(summary), "a new holder starts without entries");
  }

  @Test
  void holdersBeyondTheMaximumAreIgnored() {
    FleetSummary summary = new FleetSummary(16, 70, replica -> CacheEventFeed.Policy.STRICT);
    summary.updateHolders(snapshotOf(90), 0);
    Assertions.assertEquals(70, summary.allHolders().size());
  }

  @Test
  void aLargerTableIsFilledFromListsAfterTheirMinimumInterval() {
    FleetSummary summary =
        new FleetSummary(
            16, 512, replica -> CacheEventFeed.Policy.STRICT.withMinListIntervalMs(10_000));
    summary.updateHolders(snapshotOf(80), 0);
    int[] lists = {0};
    for (Holder holder : summary.allHolders()) {
      holder.contacted = true;
      holder.setListRequester(
          requestNumber -> {
            lists[0]++;
            holder.feed.onList(requestNumber, BlockList.whole("i", 0, new long[] {1, 2, 3}));
          });
      holder.feed.resync(0);
    }
    Assertions.assertEquals(80, lists[0]);
    summary.setCapacity(summary.allHolders().get(0), 100_000, 1);
    for (long nowMs = 1; nowMs < 10_000; nowMs += 100) {
      for (Holder holder : summary.allHolders()) holder.lastHeardMs = nowMs;
      summary.tick(nowMs);
      Assertions.assertEquals(
          80, lists[0], "listed before the minimum interval is over, at " + nowMs);
    }
    for (Holder holder : summary.allHolders()) holder.lastHeardMs = 10_000;
    summary.tick(10_000);
    Assertions.assertEquals(160, lists[0]);
    Assertions.assertEquals(1, summary.toJson(0).getInt("rebuilt", 0));
    Assertions.assertTrue(summary.toJson(0).getInt("slots", 0) >= 110_000);
    Assertions.assertEquals(240, entries(summary));
    Assertions.assertEquals(80, ask(summary, 1, 2, 3, 4).size());
  }

  /**
   * Feeds a tolerant feed from a connection that loses 3 of 100 events for good and reorders or
   * repeats others.
   */
  @Test
  void aTolerantFeedOnALossyConnectionStaysNearlyExactAndAListRepairsIt() {
    int blocks = 2000;
    for (int seed = 1; seed <= 5; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      FleetSummary summary =
          new FleetSummary(
              16,
              512,
              replica ->
                  CacheEventFeed.Policy.STRICT
                      .withGaps(CacheEventFeed.GapPolicy.tolerant(80, 1000))
                      .withMinListIntervalMs(1000));
      Holder holder = follow(summary, 1)[0];
      Map<Long, Integer> truth = new HashMap<>();
      List<CacheEvent> inFlight = new ArrayList<>();
      long sequence = 0, nowMs = 0, lost = 0;
      for (int i = 0; i < 40_000 || !inFlight.isEmpty(); i++) {
        nowMs += 2;
        if (i < 40_000) {
          long block = CuckooSummary.mix(1 + random.nextInt(blocks));
          int had = truth.getOrDefault(block, 0);
          int kept = had == 0 ? WHOLE : random.nextInt(3) == 0 ? had / 2 : 0;
          CacheEvent event =
              had == 0
                  ? CacheEvent.store("i", ++sequence, block, kept)
                  : CacheEvent.evict("i", ++sequence, block, kept);
          if (kept == 0) truth.remove(block);
          else truth.put(block, kept);
          int roll = random.nextInt(100);
          if (roll < 3) lost++;
          else inFlight.add(event);
          if (roll > 95) inFlight.add(event);
        }
        while (inFlight.size() > 6 || i >= 40_000 && !inFlight.isEmpty())
          holder.feed.onEvent(inFlight.remove(random.nextInt(Math.min(inFlight.size(), 6))), nowMs);
        if (i % 50 == 0) summary.tick(nowMs);
      }
      holder.feed.onPulse("i", sequence, nowMs);
      for (int i = 0; i < 10; i++) summary.tick(nowMs += 100);
      Assertions.assertEquals(1, holder.feed.resyncCount(), "one list, seed " + seed);
      Assertions.assertEquals(sequence, holder.feed.appliedSequence());
      Assertions.assertEquals(lost, holder.feed.missedCount(), "late events count, seed " + seed);
      int wrong = wrong(summary, truth, blocks);
      System.out.println(
          "tolerant, seed "
              + seed
              + ": lost "
              + lost
              + ", wrong blocks "
              + wrong
              + " of "
              + blocks);
      // A block is wrong if its last event was lost, 3 of 100; slack: four standard deviations.
      Assertions.assertTrue(
          wrong > 0 && wrong <= blocks * 0.03 + 4 * Math.sqrt(blocks * 0.03), "wrong " + wrong);

      long last = sequence;
      holder.setListRequester(
          request -> {
            long[] blockIds = truth.keySet().stream().mapToLong(block -> block).toArray();
            int[] units = new int[blockIds.length];
            BitSet partial = new BitSet();
            for (int i = 0; i < blockIds.length; i++) {
              units[i] = truth.get(blockIds[i]);
              partial.set(i, units[i] < WHOLE);
            }
            holder.feed.onList(request, new BlockList("i", last, blockIds, units, partial));
          });
      holder.feed.resync(nowMs);
      Assertions.assertEquals(0, wrong(summary, truth, blocks), "after a list, seed " + seed);
      Assertions.assertEquals(truth.size(), entries(summary));
    }
  }

  private static int wrong(FleetSummary summary, Map<Long, Integer> groundTruth, int blocks) {
    int wrong = 0;
    for (int i = 1; i <= blocks; i++) {
      long block = CuckooSummary.mix(i);
      int units = groundTruth.getOrDefault(block, 0);
      List<Lookup.Match> expected =
          units == 0
              ? List.of()
              : List.of(new Lookup.Match("h0", units == WHOLE ? 1 : 0, units == WHOLE ? 0 : units));
      if (!ask(summary, block).equals(expected)) wrong++;
    }
    return wrong;
  }
}
