package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** A relay's share of a store's link, and what is moved over it. */
final class StoreLinkTest {
  private static final int TOKEN_BYTES = 20_000;
  private static final double LINK_MBPS = 80_000;
  private static final int PROMPT_TOKENS = 12_000;

  /** A token takes the link two microseconds: 160,000 bits at 80 Gbit/s. */
  private static final double MS_PER_TOKEN = 0.002;

  private static Configuration.Engine engine(double mbps) {
    return new Configuration.Engine(12, 100_000, TOKEN_BYTES, mbps, 12, List.of("m"));
  }

  private static PrefixStore store(StoreLink link, double mbps) {
    return new PrefixStore(
        new Configuration.Service(
            1,
            "store",
            Configuration.Kind.STORE,
            List.of(),
            1,
            engine(mbps),
            new Address("1.1.1.1", 1),
            "here"),
        link);
  }

  private static Backend backend(String zone, double unitMs) {
    Replica replica =
        new Replica("m", "r", new Address("1.1.1.2", 1), zone, true, 12, Map.of("m", "1"));
    Backend backend = new Backend(replica, false);
    backend.applyListing(
        replica,
        new Configuration.Service(
            0, "m", Configuration.Kind.MODEL, List.of(), 1, engine(1e6), null, ""),
        0);
    backend.computeMsPerUnit = unitMs;
    return backend;
  }

  @Test
  void anotherZonesLinkTakesTwiceAsLong() {
    PrefixStore store = store(new StoreLink(() -> 1, 0), LINK_MBPS);
    Assertions.assertEquals(MS_PER_TOKEN, store.transferMsPerUnit(backend("here", 1)), 1e-9);
    Assertions.assertEquals(2 * MS_PER_TOKEN, store.transferMsPerUnit(backend("there", 1)), 1e-9);
    Assertions.assertTrue(
        store(new StoreLink(() -> 1, 0), 0).transferMsPerUnit(backend("here", 1)) < 0);
  }

  @Test
  void aSaveIsRequestedOnlyIfRecomputingCostsMoreThanPulling() {
    StoreLink link = new StoreLink(() -> 1, 0);
    PrefixStore store = store(link, LINK_MBPS);
    long idle = 10_000;
    Assertions.assertTrue(
        store.isWorthSaving(backend("here", 0.01), PROMPT_TOKENS, PROMPT_TOKENS, idle));
    Assertions.assertFalse(
        store.isWorthSaving(backend("here", MS_PER_TOKEN), PROMPT_TOKENS, PROMPT_TOKENS, idle),
        "computes as fast");
    Assertions.assertFalse(
        store.isWorthSaving(backend("here", 0.01), 100, 100, idle), "too short to matter");
    Assertions.assertFalse(
        store(link, 0).isWorthSaving(backend("here", 0.01), PROMPT_TOKENS, PROMPT_TOKENS, idle),
        "link not known");
  }

  @Test
  void savesLeaveHalfOfTheShareToPulls() {
    StoreLink link = new StoreLink(() -> 1, 0);
    long now = 10_000;
    int saves = 0;
    for (; link.maySave(20, now); saves++) link.spend(20, now);
    int pulls = 0;
    for (; link.mayPull(20, now); pulls++) link.spend(20, now);
    Assertions.assertEquals(6, saves);
    Assertions.assertEquals(6, pulls);
  }

  @Test
  void afterASlowPullTheLinkIsNotUsedForAWhile() {
    StoreLink link = new StoreLink(() -> 1, 0);
    link.markSlow(1000);
    Assertions.assertFalse(link.mayPull(1, 3900));
    Assertions.assertTrue(link.mayPull(1, 4000));
  }

  /**
   * However many relays there are and however they ask, the link isn't asked for more than it has.
   */
  @Test
  void allRelaysTogetherSpendLessThanTheLinksTimeWhateverTheirNumber() {
    for (int relays : new int[] {1, 4, 84, 390}) {
      for (long seed = 0; seed < 20; seed++) {
        Random random = new Random(seed);
        List<StoreLink> links = new ArrayList<>();
        for (int i = 0; i < relays; i++) links.add(new StoreLink(() -> relays, 0));
        double spent = 0;
        long lasts = 200_000;
        for (long now = 0; now < lasts; now += 5) {
          StoreLink link = links.get(random.nextInt(relays));
          double ms = 10 + random.nextInt(50);
          boolean may = random.nextBoolean() ? link.mayPull(ms, now) : link.maySave(ms, now);
          if (!may) continue;
          link.spend(ms, now);
          spent += ms;
        }
        double savedUp = relays * 240.0;
        Assertions.assertTrue(spent <= 0.7 * lasts + savedUp, relays + " relays, seed " + seed);
        Assertions.assertTrue(spent > 0.3 * lasts, relays + " relays use it, seed " + seed);
      }
    }
  }
}
