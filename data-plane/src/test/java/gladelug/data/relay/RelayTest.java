package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.request.FilterResult;
import gladelug.data.request.RecentDecisions;
import gladelug.data.request.Request;
import gladelug.data.request.ResponseHead;
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
  private static final int LEASE_MS = 60_000, EXPIRY_MS = 30_000, SLOTS = 2, ATTEMPTS = 3;

  /** One that was sent to a replica. */
  private record Sent(
      Request request, Backend backend, Exchange.Reply reply, List<String> handleCalls)
      implements Exchange.Handle {
    @Override
    public void reset() {
      handleCalls.add("reset");
      // as connections do that are let go
      reply.broken("reset");
    }

    @Override
    public void pause() {
      handleCalls.add("pause");
    }

    @Override
    public void resume() {
      handleCalls.add("resume");
    }
  }

  /** A relay, what feeds it and what came of it. */
  private static final class World {
    /** What callers were told, in order. */
    final List<String> callerEvents = new ArrayList<>();

    final List<Sent> sent = new ArrayList<>();

    /** Those whose connection is not up yet, where connections don't come up at once. */
    final List<Sent> connecting = new ArrayList<>();

    boolean connectsAtOnce = true;

    /** What is told with configurations of since when tenants share cached prefixes. */
    long sharingSince;

    final Map<String, Long> versions = new HashMap<>();
    final RecentDecisions decisions = new RecentDecisions(64, "r", 1);
    long nowMs = 1_000_000;
    final StateSubscription subscription;
    final Relay relay;

    World(RelaySettings.Builder settings) {
      subscription =
          new StateSubscription(
              () -> nowMs,
              new Shuffle.Descriptor("r", "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
              1,
              this::applySnapshot);
      relay =
          new Relay(
              () -> nowMs,
              subscription,
              r -> new Backends(() -> nowMs, null, r::admitWaiting),
              "z",
              settings.allowsUnnamedWeights(true).build(),
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
      push(StateKeys.REPLICAS, new Replicas(l).toJson());
    }

    void applySnapshot(ControlStateSnapshot snapshot) {
      relay.applySnapshot(snapshot);
    }

    void push(String key, String value) {
      long n = versions.merge(key, 1L, Long::sum);
      byte[] body = value.getBytes(StandardCharsets.UTF_8);
      subscription.apply(new StateUpdate.ValuePush(key, 1, n, -1, "", body, sharingSince));
      List<StateUpdate.LeaseGrant> gs = new ArrayList<>();
      for (String k : StateKeys.LEASED)
        gs.add(new StateUpdate.LeaseGrant(k, 1, subscription.number(k), LEASE_MS, LEASE_MS));
      subscription.apply(new StateUpdate.LeaseGrants(nowMs, gs, 1));
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
      push(
          StateKeys.CONFIGURATION,
          "{\"services\":[{\"name\":\"m\",\"allow\":[\"1.1.1.1\"]}],"
              + "\"mappings\":[{\"name\":\"x\",\"path\":\"/x\",\"service\":\"m\","
              + "\"repeatable\":true,\"expiryMs\":"
              + EXPIRY_MS
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
              decisions.begin(nowMs),
              nowMs,
              Configuration.hashKey("key-of-" + tenant),
              "/x",
              new Request.Caller() {
                @Override
                public void refuse(Request q, FilterResult.Refuse v) {
                  callerEvents.add("refused " + v.status());
                }

                @Override
                public boolean sendPiece(Request q, Buffer piece, Runnable ready) {
                  return callerEvents.add("piece " + piece);
                }

                @Override
                public void sendHead(Request q, ResponseHead h) {
                  callerEvents.add("head " + h.status());
                }

                @Override
                public void complete(Request q, int pieces) {
                  callerEvents.add("complete " + pieces);
                }

                @Override
                public void cutOff(Request q, String why) {
                  callerEvents.add("cut");
                }
              });
      relay.begin(o);
      relay
          .filterChain(
              b -> Uni.createFrom().item(new Lookups.LookupResult("no-index", List.of())),
              ChoiceMode.SUMMARY,
              (q, backend, to) -> {
                if (connectsAtOnce) connectionOpened(new Sent(q, backend, to, new ArrayList<>()));
                else connecting.add(new Sent(q, backend, to, new ArrayList<>()));
              })
          .start(o);
      return o;
    }

    /** A connection is up. */
    void connectionOpened(Sent s) {
      if (s.reply.beginSend(s)) sent.add(s);
    }

    /** As many as the replicas take at once. */
    void fillReplicas(String tenant) {
      for (int i = 0; i < 2 * (SLOTS + 1); i++) ask(tenant);
      Assertions.assertEquals(2 * (SLOTS + 1), sent.size());
    }

    List<String> takeCallerEvents() {
      List<String> l = List.copyOf(callerEvents);
      callerEvents.clear();
      return l;
    }
  }

  private static World relay(boolean cutsStreams) {
    return new World(RelaySettings.builder().cutsRevokedStreams(cutsStreams));
  }

  private static void piece(Sent s, String x) {
    s.reply.head(new ResponseHead(200, List.of()));
    s.reply.piece(Buffer.buffer(x), "");
  }

  @Test
  void aRevokedKeyRefusesQueuedRequestsAndLetsStreamsContinue() {
    World r = relay(false);
    r.fillReplicas("t");
    piece(r.sent.get(0), "one");
    r.ask("t");
    r.ask("u");
    Assertions.assertEquals(2, r.relay.queue("m").size());
    Assertions.assertEquals(List.of("head 200", "piece one"), r.takeCallerEvents());
    r.configuration("u");
    Assertions.assertEquals(
        List.of("refused 401"), r.takeCallerEvents(), "only the one that waited");
    Assertions.assertEquals(1, r.relay.queue("m").size(), "the other tenant's waits on");
    piece(r.sent.get(0), "two");
    r.sent.get(0).reply.end();
    piece(r.sent.get(1), "first");
    Assertions.assertEquals(
        List.of("piece two", "complete 2", "head 200", "piece first"), r.takeCallerEvents());
    Assertions.assertEquals(7, r.sent.size(), "a place was free");
    Assertions.assertEquals("u", r.sent.get(6).request.tenant.name());
    r.ask("t");
    Assertions.assertEquals(List.of("refused 401"), r.takeCallerEvents());
  }

  @Test
  void withCutStreamsARevokedKeyEndsRunningRequests() {
    World r = relay(true);
    r.fillReplicas("t");
    piece(r.sent.get(0), "one");
    r.takeCallerEvents();
    r.configuration("u");
    List<String> l = r.takeCallerEvents();
    Assertions.assertEquals(6, l.size(), l.toString());
    Assertions.assertEquals("cut", l.get(0));
    Assertions.assertEquals(
        5, l.stream().filter("refused 502"::equals).count(), "handed over, of unknown fate");
    for (Sent s : r.sent) Assertions.assertTrue(s.handleCalls.contains("reset"));
    Assertions.assertEquals(0, r.relay.liveRequests().size());
    Assertions.assertEquals(0, r.relay.queue("m").usedSlots());
  }

  @Test
  void withoutLeasesNothingStartsAndWhatRunsGoesOnUnlessStreamsAreCut() {
    for (boolean cuts : new boolean[] {false, true}) {
      World r = relay(cuts);
      r.ask("t");
      piece(r.sent.get(0), "one");
      r.takeCallerEvents();
      r.nowMs += EXPIRY_MS / 2;
      r.relay.tick();
      Assertions.assertEquals(List.of(), r.takeCallerEvents());
      r.sent.get(0).request.deadlineMs = Long.MAX_VALUE;
      r.nowMs += LEASE_MS;
      r.ask("t");
      Assertions.assertEquals(List.of("refused 503"), r.takeCallerEvents());
      Assertions.assertEquals(1, r.sent.size());
      r.nowMs += Relay.STREAM_GRACE_MS;
      r.relay.tick();
      Assertions.assertEquals(cuts ? List.of("cut") : List.of(), r.takeCallerEvents());
    }
  }

  @Test
  void requestsThatExpireInTheQueueDidNotRunAndAtAReplicaMayHave() {
    World r = relay(false);
    r.fillReplicas("t");
    r.ask("t");
    piece(r.sent.get(0), "one");
    r.takeCallerEvents();
    r.nowMs += EXPIRY_MS;
    r.relay.tick();
    List<String> l = r.takeCallerEvents();
    Assertions.assertEquals(1, l.stream().filter("cut"::equals).count(), l.toString());
    Assertions.assertEquals(5, l.stream().filter("refused 504"::equals).count(), l.toString());
    Assertions.assertEquals(1, l.stream().filter("refused 503"::equals).count(), l.toString());
    Assertions.assertEquals(0, r.relay.liveRequests().size());
    Assertions.assertEquals(6, r.sent.size(), "nothing was begun in vain");
  }

  @Test
  void aBreakReportedTwiceCountsOnce() {
    World r = relay(false);
    r.ask("t");
    r.sent.get(0).reply.broken("it broke");
    Assertions.assertEquals(2, r.sent.size(), "once more, elsewhere");
    Assertions.assertEquals(1, r.sent.get(0).backend.failures);
    Assertions.assertNotSame(r.sent.get(0).backend, r.sent.get(1).backend);
    Assertions.assertEquals(0, r.sent.get(0).backend.ownRequests);
    piece(r.sent.get(1), "x");
    r.sent.get(1).reply.end();
    Assertions.assertEquals(List.of("head 200", "piece x", "complete 1"), r.takeCallerEvents());
    Assertions.assertEquals(0, r.relay.liveRequests().size());
  }

  /** Guards against a stopping relay that refuses what was tried before and takes what was not. */
  @Test
  void aStoppingRelayRetriesOnlyRequestsThatEndInTime() {
    for (boolean outlasts : new boolean[] {false, true}) {
      World r = relay(false);
      r.ask("t");
      r.relay.startDraining(r.nowMs + EXPIRY_MS + (outlasts ? -1 : 1));
      r.sent.get(0).reply.notRun("full", 0);
      Assertions.assertEquals(outlasts ? 1 : 2, r.sent.size());
      Assertions.assertEquals(outlasts ? List.of("refused 503") : List.of(), r.takeCallerEvents());
    }
  }

  /** Guards against a stopping relay that refuses what it has the time for. */
  @Test
  void aStoppingRelayAcceptsRequestsThatEndInTimeUntilItStops() {
    World r = relay(false);
    r.relay.startDraining(r.nowMs + 2 * EXPIRY_MS);
    for (int i = 0; i <= 4; i++) {
      r.ask("t");
      Assertions.assertEquals(List.of(), r.takeCallerEvents());
      r.sent.get(i).reply.end();
      r.takeCallerEvents();
      r.nowMs += EXPIRY_MS / 4;
    }
    r.ask("t");
    Assertions.assertEquals(List.of("refused 503"), r.takeCallerEvents());
  }

  @Test
  void theLongestPauseOfAnAnswerIsRecordedWithItsEnd() {
    World r = relay(false);
    Request request = r.ask("t");
    piece(r.sent.get(0), "one");
    Assertions.assertEquals(0, request.longestPauseMs());
    Assertions.assertEquals(-1, request.longestPauseEndedMs());
    for (int wait : new int[] {100, 450, 30}) {
      r.nowMs += wait;
      piece(r.sent.get(0), "more");
    }
    Assertions.assertEquals(450, request.longestPauseMs());
    Assertions.assertEquals(550, request.longestPauseEndedMs());
    Assertions.assertFalse(request.pausedTooLong(), "its route names no longest pause");
  }

  @Test
  void theHeadPassedOnBelongsToTheAnswerWhoseBodyFollows() {
    World r = relay(false);
    r.ask("t");
    r.sent.get(0).reply.head(new ResponseHead(200, List.of(Map.entry("X", "first"))));
    r.sent.get(0).reply.broken("it broke before its body");
    r.sent.get(1).reply.head(new ResponseHead(203, List.of(Map.entry("X", "second"))));
    r.sent.get(1).reply.piece(Buffer.buffer("x"), "");
    Assertions.assertEquals(List.of("head 203", "piece x"), r.takeCallerEvents());
    r.ask("t");
    r.sent.get(2).reply.head(new ResponseHead(200, List.of()));
    r.sent.get(2).reply.broken("once more");
  }

  @Test
  void queuedRequestsAreSentWhenASlotIsFreeUnlessTheirCallerDisconnected() {
    World r = relay(false);
    r.fillReplicas("t");
    Request gone = r.ask("t");
    r.ask("u");
    r.relay.callerGone(gone);
    piece(r.sent.get(0), "x");
    r.sent.get(0).reply.end();
    Assertions.assertEquals(7, r.sent.size());
    Assertions.assertEquals("u", r.sent.get(6).request.tenant.name());
    Assertions.assertFalse(
        r.takeCallerEvents().contains("refused 499"), "nobody is there to be told");
  }

  @Test
  void aRequestThatExpiresAwaitingAConnectionIsRefusedAtOnceAndNeverSent() {
    World r = relay(false);
    r.connectsAtOnce = false;
    Request request = r.ask("t");
    r.nowMs += EXPIRY_MS - 1;
    r.relay.tick();
    Assertions.assertEquals(List.of(), r.takeCallerEvents());
    r.nowMs++;
    r.relay.tick();
    Assertions.assertEquals(List.of("refused 503"), r.takeCallerEvents());
    Assertions.assertEquals("not-run", request.decision.outcome());
    Assertions.assertEquals(0, r.relay.liveRequests().size());
    r.connectionOpened(r.connecting.get(0));
    Assertions.assertEquals(0, r.sent.size());
    Assertions.assertEquals(List.of(), r.takeCallerEvents(), "and that but once");
    Assertions.assertEquals(0, r.connecting.get(0).backend.ownRequests);
  }

  @Test
  void aRetryThatExpiresAwaitingAConnectionMayHaveRun() {
    World r = relay(false);
    Request request = r.ask("t");
    r.connectsAtOnce = false;
    r.sent.get(0).reply.broken("it broke");
    Assertions.assertEquals(1, r.connecting.size());
    r.nowMs += EXPIRY_MS;
    r.relay.tick();
    Assertions.assertEquals(List.of("refused 502"), r.takeCallerEvents());
    Assertions.assertEquals("unknown", request.decision.outcome());
    r.connectionOpened(r.connecting.get(0));
    Assertions.assertEquals(1, r.sent.size());
  }

  @Test
  void aRequestWhoseCallerDisconnectsAwaitingAConnectionIsNotSent() {
    World r = relay(false);
    r.connectsAtOnce = false;
    Request request = r.ask("t");
    r.relay.callerGone(request);
    r.connectionOpened(r.connecting.get(0));
    Assertions.assertEquals(0, r.sent.size());
    Assertions.assertEquals(0, r.relay.liveRequests().size());
    Assertions.assertEquals(List.of(), r.takeCallerEvents());
  }

  @Test
  void aRepeatedAttemptAtOneReplicaIsNotMovedToAnother() {
    World r = new World(RelaySettings.builder().cutsRevokedStreams(false).retries(0.2, 62));
    r.ask("t");
    for (int i = 0; i < ATTEMPTS - 1; i++) r.sent.get(i).reply.notRun("full", 0);
    Assertions.assertEquals(ATTEMPTS, r.sent.size());
    r.connectsAtOnce = false;
    r.sent.get(ATTEMPTS - 1).reply.weightsMismatch("it runs others");
    Sent same = r.connecting.get(0);
    Assertions.assertSame(r.sent.get(ATTEMPTS - 1).backend, same.backend);
    r.connectsAtOnce = true;
    same.reply.connectionFailed("no connection", 1000);
    Assertions.assertEquals(ATTEMPTS, r.sent.size(), "no further replica");
    Assertions.assertEquals(List.of("refused 503"), r.takeCallerEvents());
  }

  @Test
  void anAnswerAfterItsCallerDisconnectedIsDropped() {
    World r = relay(false);
    Request request = r.ask("t");
    r.relay.callerGone(request);
    Sent s = r.sent.get(0);
    Assertions.assertTrue(s.handleCalls.contains("reset"));
    piece(s, "late");
    s.reply.end();
    Assertions.assertEquals(List.of(), r.takeCallerEvents());
    Assertions.assertEquals(0, s.backend.ownRequests);
  }

  @Test
  void anAnswerToAnAbandonedAttemptIsDropped() {
    World r = relay(false);
    r.ask("t");
    Sent first = r.sent.get(0);
    first.reply.broken("it broke");
    piece(first, "late");
    first.reply.end();
    piece(r.sent.get(1), "own");
    r.sent.get(1).reply.end();
    Assertions.assertEquals(List.of("head 200", "piece own", "complete 1"), r.takeCallerEvents());
  }

  @Test
  void aRelayStalledBeforeSendingRepeatsAllChecks() {
    for (String change : List.of("lease", "key", "deadline", "replica")) {
      World r = relay(false);
      r.connectsAtOnce = false;
      // leases of which only a part of a request's time is left
      if (change.equals("lease")) r.nowMs += LEASE_MS - EXPIRY_MS / 2;
      r.ask("t");
      // the connection came up while the process was frozen
      if (change.equals("lease")) r.nowMs += EXPIRY_MS - 1;
      if (change.equals("key")) r.configuration("u");
      if (change.equals("deadline")) r.nowMs += EXPIRY_MS;
      if (change.equals("replica")) r.push(StateKeys.REPLICAS, new Replicas(List.of()).toJson());
      r.connectionOpened(r.connecting.get(0));
      Assertions.assertEquals(0, r.sent.size(), change);
      String status = change.equals("key") ? "401" : "503";
      Assertions.assertEquals(List.of("refused " + status), r.takeCallerEvents(), change);
    }
  }

  /**
   * Guards against a tenant that became isolated, or one that shared with it, using prefixes cached
   * before: its request waits for a connection as the configuration comes.
   */
  /** Guards against streams that are cut where a relay that was told to stop still took them. */
  @Test
  void aStoppingRelayRefusesRequestsThatMayOutliveIt() {
    World r = relay(false);
    r.relay.startDraining(r.nowMs + EXPIRY_MS);
    r.ask("t");
    Assertions.assertEquals(1, r.sent.size(), "its deadline lies before the relay's end");
    r.nowMs++;
    Request late = r.ask("t");
    Assertions.assertEquals(1, r.sent.size());
    Assertions.assertEquals(List.of("refused 503"), r.takeCallerEvents());
    Assertions.assertEquals("not-run", late.decision.outcome());
  }

  @Test
  void queuedRequestsThatMayOutliveAStoppingRelayAreRefused() {
    World r = relay(false);
    r.fillReplicas("t");
    Request waits = r.ask("t");
    r.relay.startDraining(r.nowMs + EXPIRY_MS - 1);
    piece(r.sent.get(0), "one");
    r.sent.get(0).reply.end();
    Assertions.assertEquals(
        List.of("head 200", "piece one", "complete 1", "refused 503"), r.takeCallerEvents());
    Assertions.assertEquals("not-run", waits.decision.outcome());
    piece(r.sent.get(1), "two");
    Assertions.assertEquals(
        List.of("head 200", "piece two"), r.takeCallerEvents(), "what runs goes on");
  }

  @Test
  void aStoppingRelayDoesNotRetryARequestThatMayOutliveIt() {
    World r = relay(false);
    r.ask("t");
    r.relay.startDraining(r.nowMs + EXPIRY_MS - 1);
    r.sent.get(0).reply.notRun("full", 0);
    Assertions.assertEquals(1, r.sent.size());
    Assertions.assertEquals(List.of("refused 503"), r.takeCallerEvents());
  }

  @Test
  void aRequestWaitingWhileAnotherTenantIsIsolatedDoesNotUsePrefixesSharedBefore() {
    World r = relay(false);
    r.connectsAtOnce = false;
    Request shares = r.ask("t"), isolated = r.ask("u");
    Assertions.assertEquals("", shares.cacheScope);
    r.sharingSince = 2;
    r.configuration(List.of("u"), "t", "u");
    r.connectsAtOnce = true;
    for (Sent s : List.copyOf(r.connecting)) r.connectionOpened(s);
    Assertions.assertEquals(List.of(), r.takeCallerEvents(), "neither is refused");
    Assertions.assertEquals(2, r.sent.size());
    Assertions.assertEquals("/shared\n2", shares.cacheScope);
    Assertions.assertEquals("u", isolated.cacheScope);
    Assertions.assertEquals("/shared\n2", r.ask("t").cacheScope);
    Assertions.assertEquals("u", r.ask("u").cacheScope);
  }

  /** Guards against a second try that uses what the first one was allowed to. */
  @Test
  void aRetryUsesTheConfigurationInForceThen() {
    World r = relay(false);
    Request request = r.ask("t");
    r.sharingSince = 2;
    r.configuration(List.of("u"), "t", "u");
    r.sent.get(0).reply.notRun("full", 0);
    Assertions.assertEquals(2, r.sent.size());
    Assertions.assertEquals("/shared\n2", request.cacheScope);
  }

  @Test
  void aWaitingRequestKeepsItsScopeIfNoSharingTenantIsIsolated() {
    World r = relay(false);
    r.connectsAtOnce = false;
    Request request = r.ask("t");
    r.configuration(List.of("new"), "t", "u", "new");
    r.connectionOpened(r.connecting.get(0));
    Assertions.assertEquals(1, r.sent.size(), "on the connection it waited for");
    Assertions.assertEquals("", request.cacheScope);
  }

  /** A core of the release before tells nothing: whoever is isolated may have shared before. */
  @Test
  void withoutReportedSharingItBeginsWithAConfigurationThatIsolates() {
    World r = relay(false);
    r.sharingSince = -1;
    r.configuration("t", "u");
    Assertions.assertEquals("", r.ask("t").cacheScope);
    r.configuration(List.of("u"), "t", "u");
    Assertions.assertEquals("/shared\n3", r.ask("t").cacheScope);
  }
}
