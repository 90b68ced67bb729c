package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.request.CacheScope;
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
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of Relay with its filters and forwarding, with a simulated clock and exchange and without a
 * network: the effects of keys, leases and deadlines on queued and running requests.
 */
final class RelayTest {
  private static final int LEASE_MS = 60_000, EXPIRY_MS = 30_000, SLOTS = 2, ATTEMPTS = 3;
  private static final int TICK_MS = 200;

  /** A request that was sent to a replica. */
  private record Sent(
      Request request, Backend backend, Exchange.Reply reply, List<String> handleCalls)
      implements Exchange.Handle {
    @Override
    public void reset() {
      handleCalls.add("reset");
      // a reset connection reports a break
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

  /** A relay with its inputs, and the events its callers received. */
  private static final class World {
    /** The events reported to callers, in order. */
    final List<String> callerEvents = new ArrayList<>();

    final List<Sent> sent = new ArrayList<>();

    /** Requests whose connection is not established yet, while connectsAtOnce is false. */
    final List<Sent> connecting = new ArrayList<>();

    boolean connectsAtOnce = true;

    /**
     * The version of the configuration since which tenants share cached prefixes, sent with
     * configurations.
     */
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
              newRelay -> new Backends(() -> nowMs, null, newRelay::admitWaiting),
              "z",
              settings.allowsUnnamedWeights(true).build(),
              () -> 1);
      configuration("t", "u");
      List<Replicas.Replica> replicas = new ArrayList<>();
      for (String name : List.of("a", "b"))
        replicas.add(
            new Replicas.Replica(
                "m",
                name,
                Address.of("1.1.1.1:" + (int) name.charAt(0)),
                "z",
                true,
                SLOTS,
                Map.of("m", "1")));
      push(StateKeys.REPLICAS, new Replicas(replicas).toJson());
    }

    void applySnapshot(ControlStateSnapshot snapshot) {
      relay.applySnapshot(snapshot);
    }

    void push(String key, String value) {
      long version = versions.merge(key, 1L, Long::sum);
      byte[] body = value.getBytes(StandardCharsets.UTF_8);
      subscription.apply(new StateUpdate.ValuePush(key, 1, version, -1, "", body, sharingSince));
      grantLeases(nowMs);
    }

    /** Grants all leases in answer to a request sent at this time. */
    void grantLeases(long requestedAtMs) {
      List<StateUpdate.LeaseGrant> grants = new ArrayList<>();
      for (String leasedKey : StateKeys.LEASED)
        grants.add(
            new StateUpdate.LeaseGrant(
                leasedKey, 1, subscription.number(leasedKey), LEASE_MS, LEASE_MS));
      subscription.apply(new StateUpdate.LeaseGrants(requestedAtMs, grants, 1));
    }

    /** Lets time pass in which the relay runs. */
    void run(long durationMs) {
      long endMs = nowMs + durationMs;
      while (nowMs < endMs) {
        nowMs = Math.min(endMs, nowMs + TICK_MS);
        relay.tick();
      }
    }

    void configuration(String... tenants) {
      configuration(List.of(), tenants);
    }

    void configuration(List<String> isolated, String... tenants) {
      List<String> tenantJson = new ArrayList<>();
      for (String tenant : tenants)
        tenantJson.add(
            "{\"name\":\""
                + tenant
                + "\",\"isolated\":"
                + isolated.contains(tenant)
                + ",\"keys\":[\"sha256:"
                + Configuration.hashKey("key-of-" + tenant)
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
              + String.join(",", tenantJson)
              + "]}");
    }

    Request ask(String tenant) {
      Request request =
          new Request(
              decisions.begin(nowMs),
              nowMs,
              Configuration.hashKey("key-of-" + tenant),
              "/x",
              new Request.Caller() {
                @Override
                public void refuse(Request answered, FilterResult.Refuse refusal) {
                  callerEvents.add("refused " + refusal.status());
                }

                @Override
                public boolean sendPiece(Request answered, Buffer piece, Runnable ready) {
                  return callerEvents.add("piece " + piece);
                }

                @Override
                public void sendHead(Request answered, ResponseHead head) {
                  callerEvents.add("head " + head.status());
                }

                @Override
                public void complete(Request answered, int pieces) {
                  callerEvents.add("complete " + pieces);
                }

                @Override
                public void cutOff(Request answered, String why) {
                  callerEvents.add("cut");
                }
              });
      relay.begin(request);
      relay
          .filterChain(
              blocks -> Uni.createFrom().item(new Lookups.LookupResult("no-index", List.of())),
              ChoiceMode.SUMMARY,
              (answered, backend, reply) -> {
                if (connectsAtOnce)
                  connectionOpened(new Sent(answered, backend, reply, new ArrayList<>()));
                else connecting.add(new Sent(answered, backend, reply, new ArrayList<>()));
              })
          .start(request);
      return request;
    }

    /** Establishes a connection. */
    void connectionOpened(Sent attempt) {
      if (attempt.reply.beginSend(attempt)) sent.add(attempt);
    }

    /** Sends as many requests as the replicas take at once. */
    void fillReplicas(String tenant) {
      for (int i = 0; i < 2 * (SLOTS + 1); i++) ask(tenant);
      Assertions.assertEquals(2 * (SLOTS + 1), sent.size());
    }

    List<String> takeCallerEvents() {
      List<String> events = List.copyOf(callerEvents);
      callerEvents.clear();
      return events;
    }
  }

  private static World relay(boolean cutsStreams) {
    return new World(RelaySettings.builder().cutsRevokedStreams(cutsStreams));
  }

  private static void piece(Sent attempt, String text) {
    attempt.reply.head(new ResponseHead(200, List.of()));
    attempt.reply.piece(Buffer.buffer(text), "");
  }

  @Test
  void aRevokedKeyRefusesQueuedRequestsAndLetsStreamsContinue() {
    World world = relay(false);
    world.fillReplicas("t");
    piece(world.sent.get(0), "one");
    world.ask("t");
    world.ask("u");
    Assertions.assertEquals(2, world.relay.queue("m").size());
    Assertions.assertEquals(List.of("head 200", "piece one"), world.takeCallerEvents());
    world.configuration("u");
    Assertions.assertEquals(
        List.of("refused 401"), world.takeCallerEvents(), "only the queued request");
    Assertions.assertEquals(
        1, world.relay.queue("m").size(), "the other tenant's request stays queued");
    piece(world.sent.get(0), "two");
    world.sent.get(0).reply.end();
    piece(world.sent.get(1), "first");
    Assertions.assertEquals(
        List.of("piece two", "complete 2", "head 200", "piece first"), world.takeCallerEvents());
    Assertions.assertEquals(7, world.sent.size(), "a slot was free");
    Assertions.assertEquals("u", world.sent.get(6).request.tenant.name());
    world.ask("t");
    Assertions.assertEquals(List.of("refused 401"), world.takeCallerEvents());
  }

  @Test
  void withCutStreamsARevokedKeyEndsRunningRequests() {
    World world = relay(true);
    world.fillReplicas("t");
    piece(world.sent.get(0), "one");
    world.takeCallerEvents();
    world.configuration("u");
    List<String> events = world.takeCallerEvents();
    Assertions.assertEquals(6, events.size(), events.toString());
    Assertions.assertEquals("cut", events.get(0));
    Assertions.assertEquals(
        5,
        events.stream().filter("refused 502"::equals).count(),
        "sent to a replica, outcome unknown");
    for (Sent attempt : world.sent) Assertions.assertTrue(attempt.handleCalls.contains("reset"));
    Assertions.assertEquals(0, world.relay.liveRequests().size());
    Assertions.assertEquals(0, world.relay.queue("m").usedSlots());
  }

  @Test
  void withoutLeasesNothingStartsAndRunningRequestsContinueUnlessStreamsAreCut() {
    for (boolean cutsStreams : new boolean[] {false, true}) {
      World world = relay(cutsStreams);
      world.ask("t");
      piece(world.sent.get(0), "one");
      world.takeCallerEvents();
      world.nowMs += EXPIRY_MS / 2;
      world.relay.tick();
      Assertions.assertEquals(List.of(), world.takeCallerEvents());
      world.sent.get(0).request.deadlineMs = Long.MAX_VALUE;
      world.run(LEASE_MS - EXPIRY_MS / 2 + TICK_MS);
      world.ask("t");
      Assertions.assertEquals(List.of("refused 503"), world.takeCallerEvents());
      Assertions.assertEquals(1, world.sent.size());
      world.nowMs += Relay.STREAM_GRACE_MS;
      world.relay.tick();
      Assertions.assertEquals(cutsStreams ? List.of("cut") : List.of(), world.takeCallerEvents());
    }
  }

  @Test
  void requestsThatExpireInTheQueueDidNotRunAndAtAReplicaMayHave() {
    World world = relay(false);
    world.fillReplicas("t");
    world.ask("t");
    piece(world.sent.get(0), "one");
    world.takeCallerEvents();
    world.nowMs += EXPIRY_MS;
    world.relay.tick();
    List<String> events = world.takeCallerEvents();
    Assertions.assertEquals(1, events.stream().filter("cut"::equals).count(), events.toString());
    Assertions.assertEquals(
        5, events.stream().filter("refused 504"::equals).count(), events.toString());
    Assertions.assertEquals(
        1, events.stream().filter("refused 503"::equals).count(), events.toString());
    Assertions.assertEquals(0, world.relay.liveRequests().size());
    Assertions.assertEquals(6, world.sent.size(), "no expired request was sent");
  }

  @Test
  void aBreakReportedTwiceCountsOnce() {
    World world = relay(false);
    world.ask("t");
    world.sent.get(0).reply.broken("it broke");
    Assertions.assertEquals(2, world.sent.size(), "retried at the other replica");
    Assertions.assertEquals(1, world.sent.get(0).backend.failures);
    Assertions.assertNotSame(world.sent.get(0).backend, world.sent.get(1).backend);
    Assertions.assertEquals(0, world.sent.get(0).backend.ownRequests);
    piece(world.sent.get(1), "x");
    world.sent.get(1).reply.end();
    Assertions.assertEquals(List.of("head 200", "piece x", "complete 1"), world.takeCallerEvents());
    Assertions.assertEquals(0, world.relay.liveRequests().size());
  }

  /**
   * Guards against a stopping relay that refuses to retry requests that end in time, or retries
   * those that may outlive it.
   */
  @Test
  void aStoppingRelayRetriesOnlyRequestsThatEndInTime() {
    for (boolean outlasts : new boolean[] {false, true}) {
      World world = relay(false);
      world.ask("t");
      world.relay.startDraining(world.nowMs + EXPIRY_MS + (outlasts ? -1 : 1));
      world.sent.get(0).reply.notRun("full", 0);
      Assertions.assertEquals(outlasts ? 1 : 2, world.sent.size());
      Assertions.assertEquals(
          outlasts ? List.of("refused 503") : List.of(), world.takeCallerEvents());
    }
  }

  /** Guards against a stopping relay that refuses requests it has time for. */
  @Test
  void aStoppingRelayAcceptsRequestsThatEndInTimeUntilItStops() {
    World world = relay(false);
    world.relay.startDraining(world.nowMs + 2 * EXPIRY_MS);
    for (int i = 0; i <= 4; i++) {
      world.ask("t");
      Assertions.assertEquals(List.of(), world.takeCallerEvents());
      world.sent.get(i).reply.end();
      world.takeCallerEvents();
      world.run(EXPIRY_MS / 4);
    }
    world.ask("t");
    Assertions.assertEquals(List.of("refused 503"), world.takeCallerEvents());
  }

  @Test
  void theLongestPauseOfAnAnswerIsRecordedWithItsEnd() {
    World world = relay(false);
    Request request = world.ask("t");
    piece(world.sent.get(0), "one");
    Assertions.assertEquals(0, request.longestPauseMs());
    Assertions.assertEquals(-1, request.longestPauseEndedMs());
    for (int wait : new int[] {100, 450, 30}) {
      world.nowMs += wait;
      piece(world.sent.get(0), "more");
    }
    Assertions.assertEquals(450, request.longestPauseMs());
    Assertions.assertEquals(550, request.longestPauseEndedMs());
    Assertions.assertFalse(request.pausedTooLong(), "its route sets no longest pause");
  }

  @Test
  void theHeadPassedOnBelongsToTheAnswerWhoseBodyFollows() {
    World world = relay(false);
    world.ask("t");
    world.sent.get(0).reply.head(new ResponseHead(200, List.of(Map.entry("X", "first"))));
    world.sent.get(0).reply.broken("it broke before its body");
    world.sent.get(1).reply.head(new ResponseHead(203, List.of(Map.entry("X", "second"))));
    world.sent.get(1).reply.piece(Buffer.buffer("x"), "");
    Assertions.assertEquals(List.of("head 203", "piece x"), world.takeCallerEvents());
    world.ask("t");
    world.sent.get(2).reply.head(new ResponseHead(200, List.of()));
    world.sent.get(2).reply.broken("once more");
  }

  @Test
  void queuedRequestsAreSentWhenASlotIsFreeUnlessTheirCallerDisconnected() {
    World world = relay(false);
    world.fillReplicas("t");
    Request gone = world.ask("t");
    world.ask("u");
    world.relay.callerGone(gone);
    piece(world.sent.get(0), "x");
    world.sent.get(0).reply.end();
    Assertions.assertEquals(7, world.sent.size());
    Assertions.assertEquals("u", world.sent.get(6).request.tenant.name());
    Assertions.assertFalse(
        world.takeCallerEvents().contains("refused 499"), "no caller is left to receive it");
  }

  @Test
  void aRequestThatExpiresAwaitingAConnectionIsRefusedAtOnceAndNeverSent() {
    World world = relay(false);
    world.connectsAtOnce = false;
    Request request = world.ask("t");
    world.nowMs += EXPIRY_MS - 1;
    world.relay.tick();
    Assertions.assertEquals(List.of(), world.takeCallerEvents());
    world.nowMs++;
    world.relay.tick();
    Assertions.assertEquals(List.of("refused 503"), world.takeCallerEvents());
    Assertions.assertEquals("not-run", request.decision.outcome());
    Assertions.assertEquals(0, world.relay.liveRequests().size());
    world.connectionOpened(world.connecting.get(0));
    Assertions.assertEquals(0, world.sent.size());
    Assertions.assertEquals(List.of(), world.takeCallerEvents(), "refused only once");
    Assertions.assertEquals(0, world.connecting.get(0).backend.ownRequests);
  }

  @Test
  void aRetryThatExpiresAwaitingAConnectionMayHaveRun() {
    World world = relay(false);
    Request request = world.ask("t");
    world.connectsAtOnce = false;
    world.sent.get(0).reply.broken("it broke");
    Assertions.assertEquals(1, world.connecting.size());
    world.nowMs += EXPIRY_MS;
    world.relay.tick();
    Assertions.assertEquals(List.of("refused 502"), world.takeCallerEvents());
    Assertions.assertEquals("unknown", request.decision.outcome());
    world.connectionOpened(world.connecting.get(0));
    Assertions.assertEquals(1, world.sent.size());
  }

  @Test
  void aRequestWhoseCallerDisconnectsAwaitingAConnectionIsNotSent() {
    World world = relay(false);
    world.connectsAtOnce = false;
    Request request = world.ask("t");
    world.relay.callerGone(request);
    world.connectionOpened(world.connecting.get(0));
    Assertions.assertEquals(0, world.sent.size());
    Assertions.assertEquals(0, world.relay.liveRequests().size());
    Assertions.assertEquals(List.of(), world.takeCallerEvents());
  }

  @Test
  void aRepeatedAttemptAtOneReplicaIsNotMovedToAnother() {
    World world = new World(RelaySettings.builder().cutsRevokedStreams(false).retries(0.2, 62));
    world.ask("t");
    for (int i = 0; i < ATTEMPTS - 1; i++) world.sent.get(i).reply.notRun("full", 0);
    Assertions.assertEquals(ATTEMPTS, world.sent.size());
    world.connectsAtOnce = false;
    world.sent.get(ATTEMPTS - 1).reply.weightsMismatch("it runs others");
    Sent same = world.connecting.get(0);
    Assertions.assertSame(world.sent.get(ATTEMPTS - 1).backend, same.backend);
    world.connectsAtOnce = true;
    same.reply.connectionFailed("no connection", 1000);
    Assertions.assertEquals(ATTEMPTS, world.sent.size(), "not sent to another replica");
    Assertions.assertEquals(List.of("refused 503"), world.takeCallerEvents());
  }

  @Test
  void anAnswerAfterItsCallerDisconnectedIsDropped() {
    World world = relay(false);
    Request request = world.ask("t");
    world.relay.callerGone(request);
    Sent attempt = world.sent.get(0);
    Assertions.assertTrue(attempt.handleCalls.contains("reset"));
    piece(attempt, "late");
    attempt.reply.end();
    Assertions.assertEquals(List.of(), world.takeCallerEvents());
    Assertions.assertEquals(0, attempt.backend.ownRequests);
  }

  @Test
  void anAnswerToAnAbandonedAttemptIsDropped() {
    World world = relay(false);
    world.ask("t");
    Sent first = world.sent.get(0);
    first.reply.broken("it broke");
    piece(first, "late");
    first.reply.end();
    piece(world.sent.get(1), "own");
    world.sent.get(1).reply.end();
    Assertions.assertEquals(
        List.of("head 200", "piece own", "complete 1"), world.takeCallerEvents());
  }

  @Test
  void aRelayStalledBeforeSendingRepeatsAllChecks() {
    for (String change : List.of("lease", "key", "deadline", "replica")) {
      World world = relay(false);
      world.connectsAtOnce = false;
      // the leases expire before the request's deadline
      if (change.equals("lease")) world.run(LEASE_MS - EXPIRY_MS / 2);
      world.ask("t");
      // the connection was established while the process was frozen
      if (change.equals("lease")) world.nowMs += EXPIRY_MS - 1;
      if (change.equals("key")) world.configuration("u");
      if (change.equals("deadline")) world.nowMs += EXPIRY_MS;
      if (change.equals("replica"))
        world.push(StateKeys.REPLICAS, new Replicas(List.of()).toJson());
      world.connectionOpened(world.connecting.get(0));
      Assertions.assertEquals(0, world.sent.size(), change);
      String status = change.equals("key") ? "401" : "503";
      Assertions.assertEquals(List.of("refused " + status), world.takeCallerEvents(), change);
    }
  }

  /**
   * Guards against requests handled by what the relay knew before it stood still, such as the cache
   * scope of a tenant that was isolated meanwhile.
   */
  @Test
  void afterAStandstillNothingStartsUntilLeasesRequestedSinceThenAreGranted() {
    World world = relay(false);
    List<Long> leaseRequests = new ArrayList<>();
    world.relay.freshness.setLeaseRequester(() -> leaseRequests.add(world.nowMs));
    world.connectsAtOnce = false;
    world.ask("t");
    world.connectsAtOnce = true;
    long stoppedAtMs = world.nowMs;
    world.nowMs += 3300;
    world.connectionOpened(world.connecting.get(0));
    world.ask("t");
    world.grantLeases(stoppedAtMs);
    world.run(TICK_MS);
    world.ask("t");
    Assertions.assertEquals(0, world.sent.size());
    Assertions.assertEquals(List.of("refused 503"), world.takeCallerEvents(), "was being sent");
    Assertions.assertEquals(List.of(stoppedAtMs + 3300), leaseRequests);
    Assertions.assertFalse(world.relay.unreadyReason().isEmpty());
    world.run(StateFreshness.RENEWAL_TIMEOUT_MS);
    world.ask("t");
    Assertions.assertEquals(0, world.sent.size());
    Assertions.assertEquals(Collections.nCopies(3, "refused 503"), world.takeCallerEvents());
    world.grantLeases(world.nowMs);
    world.ask("t");
    Assertions.assertEquals(1, world.sent.size());
    Assertions.assertEquals("", world.relay.unreadyReason());
  }

  /** Guards against callers that are refused although the relay hears from the core at once. */
  @Test
  void afterAStandstillRequestsWaitForTheLeasesThatAreOnTheirWay() {
    World world = relay(false);
    world.nowMs += 3300;
    Request first = world.ask("t"), second = world.ask("t");
    world.run(TICK_MS);
    world.relay.callerGone(second);
    world.takeCallerEvents();
    Assertions.assertEquals(0, world.sent.size());
    world.grantLeases(world.nowMs);
    world.run(TICK_MS);
    Assertions.assertEquals(1, world.sent.size());
    Assertions.assertSame(first, world.sent.get(0).request);
    Assertions.assertEquals(List.of(), world.takeCallerEvents(), "none is refused");
    world.ask("t");
    Assertions.assertEquals(2, world.sent.size());
  }

  @Test
  void aPauseBetweenTwoTicksIsNoStandstill() {
    World world = relay(false);
    world.relay.freshness.setLeaseRequester(() -> Assertions.fail("no standstill"));
    for (int pauseMs : new int[] {200, 700, 1000}) {
      world.nowMs += pauseMs;
      world.ask("t");
    }
    Assertions.assertEquals(3, world.sent.size());
  }

  /**
   * Guards against tenants that share cached prefixes after the core acknowledged, without waiting
   * for this relay any longer, that one of them is isolated.
   */
  @Test
  void laterInALeaseRequestsShareNoPrefixes() {
    World world = new World(RelaySettings.builder().leases(LEASE_MS, LEASE_MS / 3));
    world.connectsAtOnce = false;
    Request early = world.ask("t");
    world.run(LEASE_MS / 3);
    world.connectsAtOnce = true;
    Assertions.assertEquals("", early.cacheScope);
    early.deadlineMs = Long.MAX_VALUE;
    world.connectionOpened(world.connecting.get(0));
    Request late = world.ask("t"), other = world.ask("t");
    Assertions.assertEquals(List.of(), world.takeCallerEvents(), "none is refused");
    Assertions.assertEquals(3, world.sent.size());
    for (Request request : List.of(early, late, other))
      Assertions.assertEquals(CacheScope.ofOneRequest(request.id()), request.cacheScope);
    world.grantLeases(world.nowMs);
    Assertions.assertEquals("", world.ask("t").cacheScope);
  }

  /** Guards against streams that are cut off because a stopping relay still accepted them. */
  @Test
  void aStoppingRelayRefusesRequestsThatMayOutliveIt() {
    World world = relay(false);
    world.relay.startDraining(world.nowMs + EXPIRY_MS);
    world.ask("t");
    Assertions.assertEquals(1, world.sent.size(), "its deadline lies before the relay's end");
    world.nowMs++;
    Request late = world.ask("t");
    Assertions.assertEquals(1, world.sent.size());
    Assertions.assertEquals(List.of("refused 503"), world.takeCallerEvents());
    Assertions.assertEquals("not-run", late.decision.outcome());
  }

  @Test
  void queuedRequestsThatMayOutliveAStoppingRelayAreRefused() {
    World world = relay(false);
    world.fillReplicas("t");
    Request waits = world.ask("t");
    world.relay.startDraining(world.nowMs + EXPIRY_MS - 1);
    piece(world.sent.get(0), "one");
    world.sent.get(0).reply.end();
    Assertions.assertEquals(
        List.of("head 200", "piece one", "complete 1", "refused 503"), world.takeCallerEvents());
    Assertions.assertEquals("not-run", waits.decision.outcome());
    piece(world.sent.get(1), "two");
    Assertions.assertEquals(
        List.of("head 200", "piece two"), world.takeCallerEvents(), "running requests continue");
  }

  @Test
  void aStoppingRelayDoesNotRetryARequestThatMayOutliveIt() {
    World world = relay(false);
    world.ask("t");
    world.relay.startDraining(world.nowMs + EXPIRY_MS - 1);
    world.sent.get(0).reply.notRun("full", 0);
    Assertions.assertEquals(1, world.sent.size());
    Assertions.assertEquals(List.of("refused 503"), world.takeCallerEvents());
  }

  /**
   * Guards against an isolated tenant, or one that shared prefixes with it, using prefixes cached
   * before: its request awaits a connection when the configuration arrives.
   */
  @Test
  void aRequestWaitingWhileAnotherTenantIsIsolatedDoesNotUsePrefixesSharedBefore() {
    World world = relay(false);
    world.connectsAtOnce = false;
    Request shares = world.ask("t"), isolated = world.ask("u");
    Assertions.assertEquals("", shares.cacheScope);
    world.sharingSince = 2;
    world.configuration(List.of("u"), "t", "u");
    world.connectsAtOnce = true;
    for (Sent attempt : List.copyOf(world.connecting)) world.connectionOpened(attempt);
    Assertions.assertEquals(List.of(), world.takeCallerEvents(), "neither is refused");
    Assertions.assertEquals(2, world.sent.size());
    Assertions.assertEquals("/shared\n2", shares.cacheScope);
    Assertions.assertEquals("u", isolated.cacheScope);
    Assertions.assertEquals("/shared\n2", world.ask("t").cacheScope);
    Assertions.assertEquals("u", world.ask("u").cacheScope);
  }

  /** Guards against a retry that uses the cache scope of the first attempt. */
  @Test
  void aRetryUsesTheConfigurationInForceThen() {
    World world = relay(false);
    Request request = world.ask("t");
    world.sharingSince = 2;
    world.configuration(List.of("u"), "t", "u");
    world.sent.get(0).reply.notRun("full", 0);
    Assertions.assertEquals(2, world.sent.size());
    Assertions.assertEquals("/shared\n2", request.cacheScope);
  }

  @Test
  void aWaitingRequestKeepsItsScopeIfNoSharingTenantIsIsolated() {
    World world = relay(false);
    world.connectsAtOnce = false;
    Request request = world.ask("t");
    world.configuration(List.of("new"), "t", "u", "new");
    world.connectionOpened(world.connecting.get(0));
    Assertions.assertEquals(1, world.sent.size(), "on the connection it awaited");
    Assertions.assertEquals("", request.cacheScope);
  }

  /**
   * A core of the previous release does not report since when prefixes are shared, so an isolated
   * tenant may have shared before.
   */
  @Test
  void withoutReportedSharingItBeginsWithAConfigurationThatIsolates() {
    World world = relay(false);
    world.sharingSince = -1;
    world.configuration("t", "u");
    Assertions.assertEquals("", world.ask("t").cacheScope);
    world.configuration(List.of("u"), "t", "u");
    Assertions.assertEquals("/shared\n3", world.ask("t").cacheScope);
  }
}
