package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.configuration.AllowedEndpoint;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Weights;
import gladelug.common.message.Lookup;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.request.Prompt;
import gladelug.data.request.RecentDecisions;
import gladelug.data.request.Request;
import gladelug.data.state.StateSubscription;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * What the same costs choose where memory is plenty or scarce, links fast or slow, relays few or
 * many: everything by what is observed, nothing by a setting.
 */
final class ReplicaCostsTest {
  private static final int SHARED_TOKENS = 13_000;
  private static final int OWN_TOKENS = 4_000;
  private static final double MS_PER_TOKEN = 0.0064;
  private static final double SLOW_MS_PER_TOKEN = 0.026;
  private static final int STREAMS = 6;
  private static final int TOKEN_BYTES = 18_432;
  private static final double FAST_MBPS = 70_000;
  private static final double SLOW_MBPS = 2_000;

  /** A relay of the zone z with the replicas a and b there and a store. */
  static final class World {
    final long nowMs = 1_000_000;
    final Relay relay;
    final StateSubscription state;
    private final RecentDecisions decisions = new RecentDecisions(64, "r", 1);

    World(double linkMbps, double storeMbps, int relays, Set<Mechanism> without) {
      Configuration configuration = configuration(linkMbps, storeMbps);
      Relay[] made = new Relay[1];
      StateSubscription news =
          new StateSubscription(
              () -> nowMs,
              new Shuffle.Descriptor("r", "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
              1,
              snapshot -> made[0].applySnapshot(snapshot),
              text -> Result.good(configuration));
      relay =
          new Relay(
              () -> nowMs,
              news,
              r -> new Backends(() -> nowMs, null, () -> {}),
              "z",
              RelaySettings.builder().allowsUnnamedWeights(true).without(without).build(),
              () -> relays);
      made[0] = relay;
      state = news;
      List<Replicas.Replica> replicas = new ArrayList<>();
      for (String name : List.of("a", "b"))
        replicas.add(
            new Replicas.Replica(
                "m",
                name,
                Address.of("1.1.1.1:" + (int) name.charAt(0)),
                "z",
                true,
                12,
                Map.of("m", "1")));
      push(news, StateKeys.CONFIGURATION, "{}");
      push(news, StateKeys.REPLICAS, new Replicas(replicas).toJson());
      for (Backend backend : relay.backends.readyReplicas("m"))
        backend.computeMsPerUnit = MS_PER_TOKEN;
    }

    private static void push(StateSubscription news, String key, String value) {
      byte[] body = value.getBytes(StandardCharsets.UTF_8);
      news.apply(new StateUpdate.ValuePush(key, 1, 1, -1, "", body));
    }

    private static Configuration configuration(double linkMbps, double storeMbps) {
      return new Configuration(
          1,
          List.of(
              service(0, "m", Configuration.Kind.MODEL, linkMbps, null),
              service(1, "store", Configuration.Kind.STORE, storeMbps, Address.of("1.1.1.9:1"))),
          List.of(),
          List.of(),
          Configuration.Limits.DEFAULT);
    }

    private static Configuration.Service service(
        int index, String name, Configuration.Kind kind, double mbps, Address store) {
      Configuration.Engine engine =
          new Configuration.Engine(12, 180_000, TOKEN_BYTES, mbps, 12, List.of("m"));
      return new Configuration.Service(
          index, name, kind, List.of(new AllowedEndpoint(0, 0, 1, 65535)), 100, engine, store, "z");
    }

    /** A request whose shared part these keep. */
    Request request(String... holders) {
      Request request = new Request(decisions.begin(nowMs), nowMs, "", "/x", null);
      request.service = relay.snapshot().configuration().service("m");
      request.model = "m";
      request.weights = "1";
      request.prompt =
          new Prompt.Parts(
              List.of(new Prompt.Part("s", SHARED_TOKENS), new Prompt.Part("o", OWN_TOKENS)));
      request.blockKeys = request.prompt.blockKeys("m", "1", "", 256);
      List<Lookup.Match> matches = new ArrayList<>();
      for (String holder : holders) matches.add(new Lookup.Match(holder, 1));
      request.matches = matches;
      return request;
    }

    ReplicaOption estimate(Request request, String instance) {
      ReplicaCosts costs = new ReplicaCosts(relay, ChoiceMode.SUMMARY);
      for (Backend backend : relay.backends.readyReplicas("m"))
        if (backend.replica.instance().equals(instance))
          return costs.estimate(request, backend, nowMs);
      throw new AssertionError(instance);
    }

    String cheapestReplica(Request request) {
      return relay.backends.readyReplicas("m").stream()
          .map(backend -> estimate(request, backend.replica.instance()))
          .min(Comparator.comparingDouble(ReplicaOption::totalMs))
          .map(option -> option.backend().replica.instance())
          .orElseThrow();
    }
  }

  private static World withoutTransfers(Mechanism... further) {
    Set<Mechanism> without =
        EnumSet.of(Mechanism.REPLICA_FETCH, Mechanism.STORE_FETCH, Mechanism.STORE_SAVE);
    without.addAll(List.of(further));
    return new World(FAST_MBPS, FAST_MBPS, 1, without);
  }

  /** The holder is busy a little longer than computing its shared part takes; no stream runs. */
  private static void makeHolderBusy(World world, double evictedShare) {
    Lookup.Load busy = new Lookup.Load("a", (int) (SHARED_TOKENS * MS_PER_TOKEN) + 15, 0, 1000);
    world.relay.recordFleetLoad("m", new Lookup.FleetLoad(List.of(busy), evictedShare));
    for (int i = 0; i < 1000; i++) world.relay.reuseShare.recordRequest(10, 6);
  }

  @Test
  void withPlentifulMemoryAnotherCopyIsMadeAndWithScarceMemoryTheHolderIsPreferred() {
    World plenty = withoutTransfers();
    makeHolderBusy(plenty, 0.001);
    Assertions.assertEquals("b", plenty.cheapestReplica(plenty.request("a")));
    World scarce = withoutTransfers();
    makeHolderBusy(scarce, 1);
    Assertions.assertEquals("a", scarce.cheapestReplica(scarce.request("a")));
    World off = withoutTransfers(Mechanism.DISPLACEMENT_COST);
    makeHolderBusy(off, 1);
    Assertions.assertEquals("b", off.cheapestReplica(off.request("a")), "switched off");
  }

  /** With so many streams at a and so much prefill at b now, what a request of a route costs. */
  private static World streamsAtAAndPrefillAtB(int prefillMs, Mechanism... further) {
    World world = withoutTransfers(further);
    for (Backend backend : world.relay.backends.readyReplicas("m"))
      backend.computeMsPerUnit = SLOW_MS_PER_TOKEN;
    world.relay.recordFleetLoad(
        "m",
        new Lookup.FleetLoad(
            List.of(
                new Lookup.Load("a", 0, STREAMS, 1000), new Lookup.Load("b", prefillMs, 1, 1000)),
            0));
    return world;
  }

  private static Request withMaxPause(Request request, int pauseMs) {
    request.route = Configuration.Route.named("x").timings(20_000, 800, pauseMs).build(0);
    return request;
  }

  /** Guards against streams that are looked after only where their route names a longest pause. */
  @Test
  void aLongPromptGoesWhereFewStreamsRunThoughItWaitsThere() {
    World world = streamsAtAAndPrefillAtB(200);
    for (int pauseMs : new int[] {0, 1, 400, 60_000})
      Assertions.assertEquals(
          "b", world.cheapestReplica(withMaxPause(world.request(), pauseMs)), pauseMs + " ms");
    World off = streamsAtAAndPrefillAtB(200, Mechanism.STREAM_INTERFERENCE);
    Assertions.assertEquals("a", off.cheapestReplica(withMaxPause(off.request(), 400)));
  }

  @Test
  void aPromptTooShortToDelayStreamsGoesWhereItStartsSoonest() {
    World world = streamsAtAAndPrefillAtB(200);
    Request request = withMaxPause(world.request(), 400);
    request.prompt = new Prompt.Parts(List.of(new Prompt.Part("p", 600)));
    request.blockKeys = request.prompt.blockKeys("m", "1", "", 256);
    Assertions.assertEquals("a", world.cheapestReplica(request));
  }

  @Test
  void aStreamGoesWherePromptsArriveSeldom() {
    World world = streamsAtAAndPrefillAtB(300);
    world.relay.estimates.replySpeed("m").recordReply(2000, 100);
    // both are free just now, and b is known to read prompts much of the time
    world.relay.recordFleetLoad("m", new Lookup.FleetLoad(List.of(), 0.001));
    for (Backend backend : world.relay.backends.readyReplicas("m"))
      Assertions.assertEquals(0, backend.pendingPrefillMs(world.nowMs));
    Request stream = withMaxPause(world.request(), 400);
    stream.maxTokensOut = 100;
    Assertions.assertTrue(
        world.estimate(stream, "a").totalMs() < world.estimate(stream, "b").totalMs());
    stream.maxTokensOut = 0;
    Assertions.assertEquals(
        world.estimate(stream, "a").totalMs(),
        world.estimate(stream, "b").totalMs(),
        "nothing goes on after the first event");
  }

  /** Guards against requests sent to replicas that load as soon as their turn is a while ago. */
  @Test
  void aReplicaDueToLoadWeightsIsAvoidedUntilItReportsThem() {
    World world = withoutTransfers();
    World.push(world.state, StateKeys.WEIGHTS, Weights.NONE.withAssignment("m", "2", 1).toJson());
    Request request = world.request();
    request.weights = "2";
    for (Backend backend : world.relay.backends.readyReplicas("m"))
      Assertions.assertEquals(
          "2", world.relay.effectiveWeights(backend, "m"), "it may be asked for those");
    Assertions.assertEquals(
        world.estimate(request, "a").totalMs(), world.estimate(request, "b").totalMs());
    world.relay.backends.readyReplicas("m").stream()
        .filter(backend -> backend.replica.instance().equals("b"))
        .forEach(backend -> backend.weightsByModel.put("m", "2"));
    Assertions.assertEquals("b", world.cheapestReplica(request));
  }

  @Test
  void aFastStoreIsPulledFromAndASlowOneIsNot() {
    World fast = new World(FAST_MBPS, FAST_MBPS, 1, Set.of());
    ReplicaOption pulls = fast.estimate(fast.request("store"), "b");
    Assertions.assertEquals("store", pulls.fetchFrom());
    Assertions.assertEquals(OWN_TOKENS, pulls.computeUnits());
    World slow = new World(FAST_MBPS, SLOW_MBPS, 1, Set.of());
    Assertions.assertEquals("", slow.estimate(slow.request("store"), "b").fetchFrom());
    World off = new World(FAST_MBPS, FAST_MBPS, 1, EnumSet.of(Mechanism.STORE_FETCH));
    Assertions.assertEquals("", off.estimate(off.request("store"), "b").fetchFrom());
  }

  @Test
  void aStoreWhosePullsTakeTooLongIsAvoidedAndTheRestIsComputed() {
    World world = new World(FAST_MBPS, FAST_MBPS, 1, Set.of());
    world.relay.stores.find("store").link().markSlow(world.nowMs);
    ReplicaOption option = world.estimate(world.request("store"), "b");
    Assertions.assertEquals("", option.fetchFrom());
    Assertions.assertEquals(SHARED_TOKENS + OWN_TOKENS, option.computeUnits());
  }

  @Test
  void anotherReplicaIsPulledFromWhereItsLinkIsFasterThanComputing() {
    World fast = new World(10 * FAST_MBPS, FAST_MBPS, 1, Set.of());
    Assertions.assertEquals("a", fast.estimate(fast.request("a", "store"), "b").fetchFrom());
    World slow = new World(SLOW_MBPS, FAST_MBPS, 1, Set.of());
    Assertions.assertEquals("store", slow.estimate(slow.request("a", "store"), "b").fetchFrom());
  }

  @Test
  void uncachedPromptsAreSavedWithinTheRelaysShareOfTheLink() {
    for (int relays : new int[] {4, 84}) {
      World world = new World(FAST_MBPS, FAST_MBPS, relays, Set.of());
      int saved = 0;
      // twenty seconds of one request a second
      for (long at = world.nowMs; at < world.nowMs + 20_000; at += 1000) {
        Request request = world.request();
        ReplicaOption option = world.estimate(request, "b");
        PrefixStore store = world.relay.stores.chooseSaveTarget(request, option, at);
        if (store == null) continue;
        saved++;
        store
            .link()
            .spend((SHARED_TOKENS + OWN_TOKENS) * store.transferMsPerUnit(option.backend()), at);
      }
      Assertions.assertTrue(
          relays == 4 ? saved >= 18 : saved >= 1 && saved <= 8, relays + ": " + saved);
    }
  }

  @Test
  void promptsCachedByAStoreOrTheReplicaAreNotSavedAgain() {
    World world = new World(FAST_MBPS, FAST_MBPS, 1, Set.of());
    long later = world.nowMs + 5000;
    Request inStore = world.request("store");
    Assertions.assertNull(
        world.relay.stores.chooseSaveTarget(inStore, world.estimate(inStore, "b"), later),
        "is there");
    Request kept = world.request("a");
    Assertions.assertNull(
        world.relay.stores.chooseSaveTarget(kept, world.estimate(kept, "a"), later),
        "little is computed");
  }
}
