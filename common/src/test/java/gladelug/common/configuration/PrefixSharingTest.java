package gladelug.common.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of PrefixSharing: that no configuration lets tenants find what one cached that is isolated,
 * and that none of the others loses more than it must. A tenant is written as its name, in capitals
 * where it is isolated.
 */
final class PrefixSharingTest {
  private static final int SEEDS = 400;
  private static final int CHANGES = 60;

  /** The configurations of a fleet, one after the other. */
  private static final class Fleet {
    private Configuration newest = Configuration.EMPTY;
    private PrefixSharing sharing = PrefixSharing.UNRECORDED;
    private long number;

    Fleet(String... first) {
      configure(first);
    }

    /** Takes a configuration; since when its tenants share. */
    long configure(String... tenants) {
      Configuration next = configuration(tenants);
      sharing = sharing.next(newest, number, next);
      newest = next;
      return PrefixSharing.effectiveSince(sharing.since(), next, ++number);
    }
  }

  private static Configuration configuration(String... tenants) {
    List<Configuration.Tenant> list = new ArrayList<>();
    for (String name : tenants)
      list.add(
          new Configuration.Tenant(
              list.size(),
              name.toLowerCase(Locale.ROOT),
              List.of(),
              !name.equals(name.toLowerCase(Locale.ROOT)),
              null));
    return new Configuration(0, List.of(), List.of(), list, Configuration.Limits.DEFAULT);
  }

  @Test
  void sharingBeginsAnewWhenATenantThatSharedBecomesIsolated() {
    Fleet fleet = new Fleet("a", "b");
    Assertions.assertEquals(0, fleet.configure("a", "b"));
    Assertions.assertEquals(3, fleet.configure("A", "b"));
    Assertions.assertEquals(3, fleet.configure("A", "b", "c"), "nobody else was isolated");
  }

  @Test
  void itGoesOnWhileNobodyIsIsolatedThatShared() {
    Fleet fleet = new Fleet("a", "B");
    Assertions.assertEquals(0, fleet.configure("a", "B", "C"), "new and isolated from the start");
    Assertions.assertEquals(0, fleet.configure("a", "B"), "an isolated one removed");
    Assertions.assertEquals(0, fleet.configure("a", "B", "C"), "and back");
    Assertions.assertEquals(0, fleet.configure("a", "b", "C"), "one isolated no longer");
    Assertions.assertEquals(0, fleet.configure("b", "C"), "one that shared removed");
    Assertions.assertEquals(0, fleet.configure("a", "b", "C"), "and back to share");
  }

  @Test
  void aTenantThatSharedIsRememberedWhileItIsNotConfigured() {
    Fleet fleet = new Fleet("a", "b", "c");
    Assertions.assertEquals(0, fleet.configure("b", "c"));
    Assertions.assertEquals(0, fleet.configure("b"));
    Assertions.assertEquals(0, fleet.configure("b", "D"));
    Assertions.assertEquals(5, fleet.configure("A", "b", "D"), "back, isolated");
    Assertions.assertEquals(5, fleet.configure("A", "b", "C", "D"), "c shared before that only");
  }

  @Test
  void isolatedAndSharedInTurnBeginsAnewEachTime() {
    Fleet fleet = new Fleet("a", "b");
    Assertions.assertEquals(2, fleet.configure("A", "b"));
    Assertions.assertEquals(2, fleet.configure("a", "b"));
    Assertions.assertEquals(4, fleet.configure("A", "b"));
    Assertions.assertEquals(4, fleet.configure("a", "b"));
  }

  @Test
  void twoThatChangePlacesInOneChangeBeginAnew() {
    Fleet fleet = new Fleet("a", "B", "c");
    Assertions.assertEquals(2, fleet.configure("A", "b", "c"));
    Assertions.assertEquals(3, fleet.configure("a", "B", "c"));
  }

  @Test
  void withMoreFormerTenantsThanAreRememberedAnyNewIsolatedOneMayHaveShared() {
    Fleet fleet = new Fleet("a");
    for (int i = 0; i <= PrefixSharing.MAX_FORMER_TENANTS; i++) {
      fleet.configure("a", "t" + i);
      Assertions.assertEquals(0, fleet.configure("a"));
    }
    Assertions.assertFalse(fleet.sharing.complete());
    Assertions.assertTrue(fleet.configure("a", "NEW") > 0);
    Assertions.assertTrue(fleet.sharing.complete(), "and then it is known again");
  }

  @Test
  void ofAnEarlierReleasesValueWhoeverIsIsolatedMayHaveShared() {
    Configuration before = configuration("A", "b"), none = configuration("a", "b");
    PrefixSharing unrecorded = PrefixSharing.UNRECORDED;
    Assertions.assertEquals(7, PrefixSharing.effectiveSince(unrecorded.since(), before, 7));
    Assertions.assertEquals(0, PrefixSharing.effectiveSince(unrecorded.since(), none, 7));
    Assertions.assertEquals(7, unrecorded.next(before, 7, before).since(), "not once more");
    Assertions.assertEquals(8, unrecorded.next(none, 7, before).since());
    Assertions.assertEquals(
        unrecorded, unrecorded.next(none, 7, none), "so that releases before can read it");
    Assertions.assertEquals(8, unrecorded.next(none, 7, configuration("a", "b", "C")).since());
  }

  @Test
  void itIsReadAsItWasWritten() throws IOException {
    Fleet fleet = new Fleet("a", "b", "c", "d");
    fleet.configure("A", "b", "c", "d");
    fleet.configure("A", "b");
    for (PrefixSharing sharing :
        List.of(fleet.sharing, PrefixSharing.FIRST, new PrefixSharing(4, Set.of(3L), false))) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      sharing.write(new DataOutputStream(bytes));
      Assertions.assertEquals(
          sharing,
          PrefixSharing.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray()))));
    }
    ByteArrayOutputStream nothing = new ByteArrayOutputStream();
    PrefixSharing.UNRECORDED.write(new DataOutputStream(nothing));
    Assertions.assertEquals(0, nothing.size());
  }

  /**
   * Random changes, with requests of all tenants under any of the last configurations, as relays
   * have them that are behind. What is cached is kept for ever. Whoever finds something must not
   * find it across an isolation of the configuration it goes by, if what it found was made under
   * that configuration or an earlier one; and sharing begins anew only where it has to.
   */
  @Test
  void noSeriesOfChangesLetsAnIsolatedTenantShareNorLosesMoreThanItMust() {
    for (long seed = 0; seed < SEEDS; seed++) series(new Random(seed), "seed " + seed);
  }

  private static void series(Random random, String seed) {
    Fleet fleet = new Fleet("a", "b", "c", "d");
    List<Configuration> configurations = new ArrayList<>(List.of(fleet.newest));
    List<Long> since = new ArrayList<>(List.of(0L));
    // by scope, who cached something there and under which configuration at the earliest
    Map<String, Map<String, Integer>> cached = new HashMap<>();
    Set<String> sharedSinceBeginning = new HashSet<>(Set.of("a", "b", "c", "d"));
    for (int i = 1; i < CHANGES; i++) {
      String[] tenants = drawTenants(random);
      long before = since.get(i - 1);
      long now = fleet.configure(tenants);
      configurations.add(fleet.newest);
      since.add(now);
      boolean must = false;
      for (Configuration.Tenant t : fleet.newest.tenants)
        must |= t.isolated() && sharedSinceBeginning.contains(t.name());
      Assertions.assertEquals(must, now != before, seed + ", change " + i);
      if (must) sharedSinceBeginning.clear();
      for (Configuration.Tenant t : fleet.newest.tenants)
        if (!t.isolated()) sharedSinceBeginning.add(t.name());
      for (int request = 0; request < 6; request++) {
        int at = Math.max(0, i - random.nextInt(3));
        use(configurations.get(at), since.get(at), at, random, cached, seed);
      }
    }
  }

  private static String[] drawTenants(Random random) {
    List<String> tenants = new ArrayList<>();
    for (String name : List.of("a", "b", "c", "d", "e"))
      switch (random.nextInt(8)) {
        case 0 -> tenants.add(name.toUpperCase(Locale.ROOT));
        case 1 -> {}
        default -> tenants.add(name);
      }
    return tenants.toArray(String[]::new);
  }

  private static void use(
      Configuration configuration,
      long since,
      int at,
      Random random,
      Map<String, Map<String, Integer>> cached,
      String seed) {
    if (configuration.tenants.isEmpty()) return;
    Configuration.Tenant user =
        configuration.tenants.get(random.nextInt(configuration.tenants.size()));
    String scope = user.isolated() ? user.name() : "since " + since;
    Set<String> isolated = new HashSet<>();
    for (Configuration.Tenant t : configuration.tenants) if (t.isolated()) isolated.add(t.name());
    Map<String, Integer> makers = cached.computeIfAbsent(scope, x -> new TreeMap<>());
    makers.forEach(
        (maker, made) -> {
          boolean across =
              !maker.equals(user.name())
                  && (isolated.contains(maker) || isolated.contains(user.name()));
          Assertions.assertFalse(
              across && made <= at, seed + ": " + user.name() + " finds what " + maker + " made");
        });
    makers.merge(user.name(), at, Math::min);
  }
}
