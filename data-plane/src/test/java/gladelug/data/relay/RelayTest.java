package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.request.Decisions;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Head;
import gladelug.data.request.Request;
import gladelug.data.state.ControlStateSnapshot;
import gladelug.data.state.StateSubscription;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of Relay with its stages and hand-over, with a clock and an exchange of the test's own and
 * nothing of the network: what keys, leases and deadlines do to requests that wait and that run.
 */
final class RelayTest {
  private static final int LEASE = 60_000, EXPIRY = 30_000, SLOTS = 2, ATTEMPTS = 3;

  /** One that was sent to a replica. */
  private record Sent(Request o, Backend b, Exchange.Reply to, List<String> handled)
      implements Exchange.Handle {
    @Override
    public void reset() {
      handled.add("reset");
      // as connections do that are let go
      to.broken("reset");
    }

    @Override
    public void pause() {
      handled.add("pause");
    }

    @Override
    public void resume() {
      handled.add("resume");
    }
  }

  /** A relay, what feeds it and what came of it. */
  private static final class World {
    /** What callers were told, in order. */
    final List<String> told = new ArrayList<>();

    final List<Sent> sent = new ArrayList<>();

    /** Those whose connection is not up yet, where connections don't come up at once. */
    final List<Sent> connecting = new ArrayList<>();

    boolean connects = true;

    /** What is told with configurations of since when tenants share cached prefixes. */
    long sharingSince;

    final Map<String, Long> numbers = new HashMap<>();
    final Decisions decisions = new Decisions(64, "r", 1);
    long now = 1_000_000;
    final StateSubscription news;
    final Relay relay;

    World(RelaySettings.Builder settings) {
      news =
          new StateSubscription(
              () -> now,
              new Shuffle.Descriptor("r", "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
              1,
              this::tables);
      relay =
          new Relay(
              () -> now,
              news,
              r -> new Backends(() -> now, null, r::pump),
              "z",
              settings.anyWeights(true).build(),
              () -> 1);
      configuration("t", "u");
      List<Replicas.Replica> l = new ArrayList<>();
      for (String n : List.of("a", "b"))
        l.add(
            new Replicas.Replica(
                "m",
                n,
                Address.of("1.1.1.1:" + (int) n.charAt(0)),
                "z",
                true,
                SLOTS,
                Map.of("m", "1")));
      tell(StateKeys.REPLICAS, new Replicas(l).toJson());
    }

    void tables(ControlStateSnapshot snapshot) {
      relay.tables(snapshot);
    }

    void tell(String key, String value) {
      long n = numbers.merge(key, 1L, Long::sum);
      byte[] body = value.getBytes(StandardCharsets.UTF_8);
      news.told(new StateUpdate.ValuePush(key, 1, n, -1, "", body, sharingSince));
      List<StateUpdate.LeaseGrant> gs = new ArrayList<>();
      for (String k : StateKeys.LEASED)
        gs.add(new StateUpdate.LeaseGrant(k, 1, news.number(k), LEASE, LEASE));
      news.told(new StateUpdate.LeaseGrants(now, gs, 1));
    }

    void configuration(String... tenants) {
      configuration(List.of(), tenants);
    }

    void configuration(List<String> isolated, String... tenants) {
      List<String> ts = new ArrayList<>();
      for (String t : tenants)
        ts.add(
            "{\"name\":\""
                + t
                + "\",\"isolated\":"
                + isolated.contains(t)
                + ",\"keys\":[\"sha256:"
                + Configuration.hashKey("key-of-" + t)
                + "\"]}");
      tell(
          StateKeys.CONFIGURATION,
          "{\"services\":[{\"name\":\"m\",\"allow\":[\"1.1.1.1\"]}],"
              + "\"mappings\":[{\"name\":\"x\",\"path\":\"/x\",\"service\":\"m\","
              + "\"repeatable\":true,\"expiryMs\":"
              + EXPIRY
              + ",\"attempts\":"
              + ATTEMPTS
              + "}],"
              + "\"tenants\":["
              + String.join(",", ts)
              + "]}");
    }

    Request ask(String tenant) {
      Request o =
          new Request(
              decisions.begin(now),
              now,
              Configuration.hashKey("key-of-" + tenant),
              "/x",
              new Request.Caller() {
                @Override
                public void refuse(Request q, FilterResult.Refuse v) {
                  told.add("refused " + v.status());
                }

                @Override
                public boolean piece(Request q, Buffer piece, Runnable ready) {
                  return told.add("piece " + piece);
                }

                @Override
                public void head(Request q, Head h) {
                  told.add("head " + h.status());
                }

                @Override
                public void complete(Request q, int pieces) {
                  told.add("complete " + pieces);
                }

                @Override
                public void cutOff(Request q, String why) {
                  told.add("cut");
                }
              });
      relay.begin(o);
      relay
          .way(
              b -> Uni.createFrom().item(new Lookups.Found("no-index", List.of())),
              ChoiceMode.SUMMARY,
              (q, backend, to) -> {
                if (connects) leave(new Sent(q, backend, to, new ArrayList<>()));
                else connecting.add(new Sent(q, backend, to, new ArrayList<>()));
              })
          .go(o);
      return o;
    }

    /** A connection is up. */
    void leave(Sent s) {
      if (s.to.leave(s)) sent.add(s);
    }

    /** As many as the replicas take at once. */
    void fill(String tenant) {
      for (int i = 0; i < 2 * (SLOTS + 1); i++) ask(tenant);
      Assertions.assertEquals(2 * (SLOTS + 1), sent.size());
    }

    List<String> told() {
      List<String> l = List.copyOf(told);
      told.clear();
      return l;
    }
  }

  private static World relay(boolean cutsStreams) {
    return new World(RelaySettings.builder().cutsStreams(cutsStreams));
  }

  private static void piece(Sent s, String x) {
    s.to.head(new Head(200, List.of()));
    s.to.piece(Buffer.buffer(x), "");
  }

  @Test
  void aRevokedKeyLeavesRunningStreamsAndRefusesThoseThatWait() {
    World r = relay(false);
    r.fill("t");
    piece(r.sent.get(0), "one");
    r.ask("t");
    r.ask("u");
    Assertions.assertEquals(2, r.relay.queue("m").size());
    Assertions.assertEquals(List.of("head 200", "piece one"), r.told());
    r.configuration("u");
    Assertions.assertEquals(List.of("refused 401"), r.told(), "only the one that waited");
    Assertions.assertEquals(1, r.relay.queue("m").size(), "the other tenant's waits on");
    piece(r.sent.get(0), "two");
    r.sent.get(0).to.end();
    piece(r.sent.get(1), "first");
    Assertions.assertEquals(
        List.of("piece two", "complete 2", "head 200", "piece first"), r.told());
    Assertions.assertEquals(7, r.sent.size(), "a place was free");
    Assertions.assertEquals("u", r.sent.get(6).o.tenant.name());
    r.ask("t");
    Assertions.assertEquals(List.of("refused 401"), r.told());
  }

  @Test
  void whereStreamsAreCutARevokedKeyEndsThemToo() {
    World r = relay(true);
    r.fill("t");
    piece(r.sent.get(0), "one");
    r.told();
    r.configuration("u");
    List<String> l = r.told();
    Assertions.assertEquals(6, l.size(), l.toString());
    Assertions.assertEquals("cut", l.get(0));
    Assertions.assertEquals(
        5, l.stream().filter("refused 502"::equals).count(), "handed over, of unknown fate");
    for (Sent s : r.sent) Assertions.assertTrue(s.handled.contains("reset"));
    Assertions.assertEquals(0, r.relay.live().size());
    Assertions.assertEquals(0, r.relay.queue("m").used());
  }

  @Test
  void withoutLeasesNothingStartsAndWhatRunsGoesOnUnlessStreamsAreCut() {
    for (boolean cuts : new boolean[] {false, true}) {
      World r = relay(cuts);
      r.ask("t");
      piece(r.sent.get(0), "one");
      r.told();
      r.now += EXPIRY / 2;
      r.relay.tick();
      Assertions.assertEquals(List.of(), r.told());
      r.sent.get(0).o.deadline = Long.MAX_VALUE;
      r.now += LEASE;
      r.ask("t");
      Assertions.assertEquals(List.of("refused 503"), r.told());
      Assertions.assertEquals(1, r.sent.size());
      r.now += Relay.GRACE;
      r.relay.tick();
      Assertions.assertEquals(cuts ? List.of("cut") : List.of(), r.told());
    }
  }

  @Test
  void whatExpiresInTheQueueDidNotRunAndWhatExpiresAtAReplicaMayHave() {
    World r = relay(false);
    r.fill("t");
    r.ask("t");
    piece(r.sent.get(0), "one");
    r.told();
    r.now += EXPIRY;
    r.relay.tick();
    List<String> l = r.told();
    Assertions.assertEquals(1, l.stream().filter("cut"::equals).count(), l.toString());
    Assertions.assertEquals(5, l.stream().filter("refused 504"::equals).count(), l.toString());
    Assertions.assertEquals(1, l.stream().filter("refused 503"::equals).count(), l.toString());
    Assertions.assertEquals(0, r.relay.live().size());
    Assertions.assertEquals(6, r.sent.size(), "nothing was begun in vain");
  }

  @Test
  void aBreakOfWhichTheConnectionTellsTwiceIsOne() {
    World r = relay(false);
    r.ask("t");
    r.sent.get(0).to.broken("it broke");
    Assertions.assertEquals(2, r.sent.size(), "once more, elsewhere");
    Assertions.assertEquals(1, r.sent.get(0).b.failures);
    Assertions.assertNotSame(r.sent.get(0).b, r.sent.get(1).b);
    Assertions.assertEquals(0, r.sent.get(0).b.mine);
    piece(r.sent.get(1), "x");
    r.sent.get(1).to.end();
    Assertions.assertEquals(List.of("head 200", "piece x", "complete 1"), r.told());
    Assertions.assertEquals(0, r.relay.live().size());
  }

  /** Guards against a stopping relay that refuses what was tried before and takes what was not. */
  @Test
  void atAStoppingRelayWhatEndsInTimeIsTriedOnceMoreAndWhatMayOutlastItIsNot() {
    for (boolean outlasts : new boolean[] {false, true}) {
      World r = relay(false);
      r.ask("t");
      r.relay.leave(r.now + EXPIRY + (outlasts ? -1 : 1));
      r.sent.get(0).to.notRun("full", 0);
      Assertions.assertEquals(outlasts ? 1 : 2, r.sent.size());
      Assertions.assertEquals(outlasts ? List.of("refused 503") : List.of(), r.told());
    }
  }

  /** Guards against a stopping relay that refuses what it has the time for. */
  @Test
  void aRelayThatLeavesTakesWhatEndsInTimeUntilItsEndAndNothingElse() {
    World r = relay(false);
    r.relay.leave(r.now + 2 * EXPIRY);
    for (int i = 0; i <= 4; i++) {
      r.ask("t");
      Assertions.assertEquals(List.of(), r.told());
      r.sent.get(i).to.end();
      r.told();
      r.now += EXPIRY / 4;
    }
    r.ask("t");
    Assertions.assertEquals(List.of("refused 503"), r.told());
  }

  @Test
  void theLongestPauseOfAnAnswerIsKnownWithItsEnd() {
    World r = relay(false);
    Request request = r.ask("t");
    piece(r.sent.get(0), "one");
    Assertions.assertEquals(0, request.longestPauseMs());
    Assertions.assertEquals(-1, request.longestPauseEndedMs());
    for (int wait : new int[] {100, 450, 30}) {
      r.now += wait;
      piece(r.sent.get(0), "more");
    }
    Assertions.assertEquals(450, request.longestPauseMs());
    Assertions.assertEquals(550, request.longestPauseEndedMs());
    Assertions.assertFalse(request.pausedTooLong(), "its route names no longest pause");
  }

  @Test
  void theHeadThatGoesOutIsThatOfTheAnswerWhoseBodyFollows() {
    World r = relay(false);
    r.ask("t");
    r.sent.get(0).to.head(new Head(200, List.of(Map.entry("X", "first"))));
    r.sent.get(0).to.broken("it broke before its body");
    r.sent.get(1).to.head(new Head(203, List.of(Map.entry("X", "second"))));
    r.sent.get(1).to.piece(Buffer.buffer("x"), "");
    Assertions.assertEquals(List.of("head 203", "piece x"), r.told());
    r.ask("t");
    r.sent.get(2).to.head(new Head(200, List.of()));
    r.sent.get(2).to.broken("once more");
  }

  @Test
  void whatWaitsGoesWhenAPlaceIsFreeAndOneWhoseCallerIsGoneNever() {
    World r = relay(false);
    r.fill("t");
    Request gone = r.ask("t");
    r.ask("u");
    r.relay.gone(gone);
    piece(r.sent.get(0), "x");
    r.sent.get(0).to.end();
    Assertions.assertEquals(7, r.sent.size());
    Assertions.assertEquals("u", r.sent.get(6).o.tenant.name());
    Assertions.assertFalse(r.told().contains("refused 499"), "nobody is there to be told");
  }

  @Test
  void whatExpiresWhileItsConnectionIsAwaitedIsToldAtOnceAndNeverLeaves() {
    World r = relay(false);
    r.connects = false;
    Request request = r.ask("t");
    r.now += EXPIRY - 1;
    r.relay.tick();
    Assertions.assertEquals(List.of(), r.told());
    r.now++;
    r.relay.tick();
    Assertions.assertEquals(List.of("refused 503"), r.told());
    Assertions.assertEquals("not-run", request.decision.outcome());
    Assertions.assertEquals(0, r.relay.live().size());
    r.leave(r.connecting.get(0));
    Assertions.assertEquals(0, r.sent.size());
    Assertions.assertEquals(List.of(), r.told(), "and that but once");
    Assertions.assertEquals(0, r.connecting.get(0).b.mine);
  }

  @Test
  void whatExpiresWhileASecondConnectionIsAwaitedMayHaveRun() {
    World r = relay(false);
    Request request = r.ask("t");
    r.connects = false;
    r.sent.get(0).to.broken("it broke");
    Assertions.assertEquals(1, r.connecting.size());
    r.now += EXPIRY;
    r.relay.tick();
    Assertions.assertEquals(List.of("refused 502"), r.told());
    Assertions.assertEquals("unknown", request.decision.outcome());
    r.leave(r.connecting.get(0));
    Assertions.assertEquals(1, r.sent.size());
  }

  @Test
  void aCallerThatLeavesWhileAConnectionIsAwaitedLeavesNothingToSend() {
    World r = relay(false);
    r.connects = false;
    Request request = r.ask("t");
    r.relay.gone(request);
    r.leave(r.connecting.get(0));
    Assertions.assertEquals(0, r.sent.size());
    Assertions.assertEquals(0, r.relay.live().size());
    Assertions.assertEquals(List.of(), r.told());
  }

  @Test
  void theReplicaAskedOnceMoreIsNotReplacedByAFurtherOne() {
    World r = new World(RelaySettings.builder().cutsStreams(false).retries(0.2, 62));
    r.ask("t");
    for (int i = 0; i < ATTEMPTS - 1; i++) r.sent.get(i).to.notRun("full", 0);
    Assertions.assertEquals(ATTEMPTS, r.sent.size());
    r.connects = false;
    r.sent.get(ATTEMPTS - 1).to.otherWeights("it runs others");
    Sent same = r.connecting.get(0);
    Assertions.assertSame(r.sent.get(ATTEMPTS - 1).b, same.b);
    r.connects = true;
    same.to.unreached("no connection", 1000);
    Assertions.assertEquals(ATTEMPTS, r.sent.size(), "no further replica");
    Assertions.assertEquals(List.of("refused 503"), r.told());
  }

  @Test
  void anAnswerAfterItsCallerLeftReachesNobody() {
    World r = relay(false);
    Request request = r.ask("t");
    r.relay.gone(request);
    Sent s = r.sent.get(0);
    Assertions.assertTrue(s.handled.contains("reset"));
    piece(s, "late");
    s.to.end();
    Assertions.assertEquals(List.of(), r.told());
    Assertions.assertEquals(0, s.b.mine);
  }

  @Test
  void anAnswerToATryThatWasGivenUpReachesNobody() {
    World r = relay(false);
    r.ask("t");
    Sent first = r.sent.get(0);
    first.to.broken("it broke");
    piece(first, "late");
    first.to.end();
    piece(r.sent.get(1), "own");
    r.sent.get(1).to.end();
    Assertions.assertEquals(List.of("head 200", "piece own", "complete 1"), r.told());
  }

  @Test
  void aRelayThatWasFrozenBeforeSendingLooksAtEverythingAgain() {
    for (String change : List.of("lease", "key", "deadline", "replica")) {
      World r = relay(false);
      r.connects = false;
      // leases of which only a part of a request's time is left
      if (change.equals("lease")) r.now += LEASE - EXPIRY / 2;
      r.ask("t");
      // the connection came up while the process was frozen
      if (change.equals("lease")) r.now += EXPIRY - 1;
      if (change.equals("key")) r.configuration("u");
      if (change.equals("deadline")) r.now += EXPIRY;
      if (change.equals("replica")) r.tell(StateKeys.REPLICAS, new Replicas(List.of()).toJson());
      r.leave(r.connecting.get(0));
      Assertions.assertEquals(0, r.sent.size(), change);
      String status = change.equals("key") ? "401" : "503";
      Assertions.assertEquals(List.of("refused " + status), r.told(), change);
    }
  }

  /**
   * Guards against a tenant that became isolated, or one that shared with it, using prefixes cached
   * before: its request waits for a connection as the configuration comes.
   */
  /** Guards against streams that are cut where a relay that was told to stop still took them. */
  @Test
  void aRelayThatLeavesTakesOnlyWhatHasToEndBeforeIt() {
    World r = relay(false);
    r.relay.leave(r.now + EXPIRY);
    r.ask("t");
    Assertions.assertEquals(1, r.sent.size(), "its deadline lies before the relay's end");
    r.now++;
    Request late = r.ask("t");
    Assertions.assertEquals(1, r.sent.size());
    Assertions.assertEquals(List.of("refused 503"), r.told());
    Assertions.assertEquals("not-run", late.decision.outcome());
  }

  @Test
  void whatWaitsAtARelayThatLeavesIsRefusedOnceItMayOutlastIt() {
    World r = relay(false);
    r.fill("t");
    Request waits = r.ask("t");
    r.relay.leave(r.now + EXPIRY - 1);
    piece(r.sent.get(0), "one");
    r.sent.get(0).to.end();
    Assertions.assertEquals(
        List.of("head 200", "piece one", "complete 1", "refused 503"), r.told());
    Assertions.assertEquals("not-run", waits.decision.outcome());
    piece(r.sent.get(1), "two");
    Assertions.assertEquals(List.of("head 200", "piece two"), r.told(), "what runs goes on");
  }

  @Test
  void aSecondTryIsNotMadeByARelayThatItMayOutlast() {
    World r = relay(false);
    r.ask("t");
    r.relay.leave(r.now + EXPIRY - 1);
    r.sent.get(0).to.notRun("full", 0);
    Assertions.assertEquals(1, r.sent.size());
    Assertions.assertEquals(List.of("refused 503"), r.told());
  }

  @Test
  void aRequestThatWaitsWhileAnotherTenantIsIsolatedGoesWithoutWhatWasSharedBefore() {
    World r = relay(false);
    r.connects = false;
    Request shares = r.ask("t"), isolated = r.ask("u");
    Assertions.assertEquals("", shares.cacheScope);
    r.sharingSince = 2;
    r.configuration(List.of("u"), "t", "u");
    r.connects = true;
    for (Sent s : List.copyOf(r.connecting)) r.leave(s);
    Assertions.assertEquals(List.of(), r.told(), "neither is refused");
    Assertions.assertEquals(2, r.sent.size());
    Assertions.assertEquals("/shared\n2", shares.cacheScope);
    Assertions.assertEquals("u", isolated.cacheScope);
    Assertions.assertEquals("/shared\n2", r.ask("t").cacheScope);
    Assertions.assertEquals("u", r.ask("u").cacheScope);
  }

  /** Guards against a second try that uses what the first one was allowed to. */
  @Test
  void aSecondTryGoesByTheConfigurationInForceThen() {
    World r = relay(false);
    Request request = r.ask("t");
    r.sharingSince = 2;
    r.configuration(List.of("u"), "t", "u");
    r.sent.get(0).to.notRun("full", 0);
    Assertions.assertEquals(2, r.sent.size());
    Assertions.assertEquals("/shared\n2", request.cacheScope);
  }

  @Test
  void aRequestThatWaitsKeepsItsScopeWhereNobodyIsIsolatedThatShared() {
    World r = relay(false);
    r.connects = false;
    Request request = r.ask("t");
    r.configuration(List.of("new"), "t", "u", "new");
    r.leave(r.connecting.get(0));
    Assertions.assertEquals(1, r.sent.size(), "on the connection it waited for");
    Assertions.assertEquals("", request.cacheScope);
  }

  /** A core of the release before tells nothing: whoever is isolated may have shared before. */
  @Test
  void whereNothingIsToldOfSharingItBeginsWithAConfigurationThatIsolates() {
    World r = relay(false);
    r.sharingSince = -1;
    r.configuration("t", "u");
    Assertions.assertEquals("", r.ask("t").cacheScope);
    r.configuration(List.of("u"), "t", "u");
    Assertions.assertEquals("/shared\n3", r.ask("t").cacheScope);
  }
}
