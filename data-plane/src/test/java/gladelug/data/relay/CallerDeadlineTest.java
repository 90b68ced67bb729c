package gladelug.data.relay;

import gladelug.data.request.FilterResult;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Who is served and who is refused follows from the time that callers have and the work left. */
final class CallerDeadlineTest {
  private static final int RELAYS = 3;
  private static final long REQUEST_MS = 500;
  private static final long LONG_WAIT_MS = 15_000;
  private static final long SHORT_WAIT_MS = 900;
  private static final long BURST_MS = 210;
  private static final int CALLERS = 14;
  private static final long IMMEDIATE_MS = 30;

  private static SimulatedBurst burstWithTarget(int targetLatencyMs) {
    return new SimulatedBurst(
        RELAYS, request -> REQUEST_MS, SimulatedBurst.configuration(targetLatencyMs));
  }

  private static long countServed(List<SimulatedBurst.Outcome> outcomes) {
    return outcomes.stream().filter(SimulatedBurst.Outcome::served).count();
  }

  /** Guards against callers sent away by a share of their route's target latency. */
  @Test
  void callersWithTimeForAllTheWorkAheadAreServedWhateverTheirRoutesTargetIs() {
    for (int targetLatencyMs : new int[] {0, 1, 300, 9000}) {
      SimulatedBurst world = burstWithTarget(targetLatencyMs);
      List<SimulatedBurst.Outcome> outcomes =
          world.burst(CALLERS, SimulatedBurst.Call.waiting(LONG_WAIT_MS), BURST_MS);
      world.run(LONG_WAIT_MS);
      Assertions.assertEquals(
          CALLERS, countServed(outcomes), "target of " + targetLatencyMs + " ms");
    }
  }

  @Test
  void callersBehindMoreWorkThanTheyHaveTimeForAreRefusedAtOnceAndToldWhenToReturn() {
    for (int targetLatencyMs : new int[] {0, 300, 9000}) {
      SimulatedBurst world = burstWithTarget(targetLatencyMs);
      world.burst(CALLERS + 2, SimulatedBurst.Call.waiting(LONG_WAIT_MS), BURST_MS);
      for (SimulatedBurst.Outcome late :
          world.burst(5, SimulatedBurst.Call.waiting(SHORT_WAIT_MS), 50)) {
        world.run(IMMEDIATE_MS);
        Assertions.assertNotNull(late.refusal, "target of " + targetLatencyMs + " ms");
        Assertions.assertEquals("not-run", late.refusal.outcome());
        Assertions.assertTrue(late.refusedAfterMs() <= IMMEDIATE_MS);
        Assertions.assertTrue(late.refusal.retryAfterMs() > SHORT_WAIT_MS, "" + late.refusal);
      }
    }
  }

  /** Guards against times to come back that are constants and not when there will be room. */
  @Test
  void retryingAsAdvisedSucceedsAndRetryingMuchEarlierDoesNot() {
    SimulatedBurst world = burstWithTarget(0);
    world.burst(CALLERS + 2, SimulatedBurst.Call.waiting(LONG_WAIT_MS), BURST_MS);
    SimulatedBurst.Call call = SimulatedBurst.Call.waiting(3 * REQUEST_MS);
    SimulatedBurst.Call shortCall = SimulatedBurst.Call.waiting(SHORT_WAIT_MS);
    SimulatedBurst.Outcome refused = world.ask(shortCall);
    Assertions.assertNotNull(refused.refusal);
    world.run(refused.refusal.retryAfterMs() / 3);
    Assertions.assertNotNull(world.ask(shortCall).refusal);
    world.run(refused.refusal.retryAfterMs() - refused.refusal.retryAfterMs() / 3);
    SimulatedBurst.Outcome again = world.ask(call);
    // what is told before the first request has completed is a guess
    if (again.refusal != null) {
      world.run(again.refusal.retryAfterMs());
      again = world.ask(call);
    }
    world.run(call.patienceMs());
    Assertions.assertTrue(again.served(), "" + again.refusal);
  }

  @Test
  void withAnEmptyQueueACallerMayRetryAtOnce() {
    SimulatedBurst world = burstWithTarget(0);
    world.relay().startDraining(world.nowMs() + REQUEST_MS);
    SimulatedBurst.Outcome refused = world.ask(SimulatedBurst.Call.waiting(LONG_WAIT_MS));
    Assertions.assertEquals(
        FilterResult.RETRY_AT_ONCE_MS,
        refused.refusal.retryAfterMs(),
        "another relay has the time");
  }

  /** Guards against one place reckoned with where all replicas are just about to be usable. */
  @Test
  void callersAreAdmittedWhileAllReplicasAreBrieflyEjected() {
    long requestMs = 100;
    SimulatedBurst world =
        new SimulatedBurst(1, request -> requestMs, SimulatedBurst.configuration(0));
    for (Backend backend : world.relay().backends.readyReplicas("m"))
      backend.eject(world.nowMs(), 300);
    List<SimulatedBurst.Outcome> outcomes =
        world.burst(8, SimulatedBurst.Call.waiting(15 * requestMs), 80);
    world.run(15 * requestMs);
    Assertions.assertEquals(8, countServed(outcomes));
  }

  /** Guards against a time left that is compared with the mean of requests of all lengths. */
  @Test
  void aSmallRequestIsAdmittedWhereALargeOneCouldNotFinishInTime() {
    SimulatedBurst world =
        new SimulatedBurst(
            RELAYS, request -> 10L * request.maxTokensOut, SimulatedBurst.configuration(0));
    SimulatedBurst.Call much = SimulatedBurst.Call.waiting(60_000).tokens(0, 400);
    SimulatedBurst.Call little = SimulatedBurst.Call.waiting(60_000).tokens(0, 5);
    for (int i = 0; i < 40; i++) {
      world.ask(much);
      world.ask(little);
      world.run(4_100);
    }
    for (int i = 0; i < 3; i++) world.ask(much);
    long waitsMs = 3_500;
    SimulatedBurst.Outcome refused = world.ask(SimulatedBurst.Call.waiting(waitsMs).tokens(0, 400));
    SimulatedBurst.Outcome letIn = world.ask(SimulatedBurst.Call.waiting(waitsMs).tokens(0, 5));
    world.run(IMMEDIATE_MS);
    Assertions.assertNotNull(refused.refusal, "four seconds of work for one who waits less");
    Assertions.assertNull(letIn.refusal);
  }

  /** Guards against callers held until their deadline though nothing can come of their wait. */
  @Test
  void aRequestThatCanNoLongerFinishInTimeIsRefusedBeforeItsDeadline() {
    long[] requestMs = {REQUEST_MS};
    SimulatedBurst world =
        new SimulatedBurst(RELAYS, request -> requestMs[0], SimulatedBurst.configuration(0));
    for (int i = 0; i < 60; i++) {
      world.ask(SimulatedBurst.Call.waiting(LONG_WAIT_MS));
      world.run(REQUEST_MS);
    }
    requestMs[0] = LONG_WAIT_MS;
    for (int i = 0; i < 3; i++) world.ask(SimulatedBurst.Call.waiting(2 * LONG_WAIT_MS));
    long waitsMs = 4 * REQUEST_MS;
    SimulatedBurst.Outcome waits = world.ask(SimulatedBurst.Call.waiting(waitsMs));
    world.run(IMMEDIATE_MS);
    Assertions.assertNull(waits.refusal, "by what was known it could be served");
    world.run(waitsMs);
    Assertions.assertEquals("not-run", waits.refusal.outcome());
    Assertions.assertTrue(waits.refusedAfterMs() < waitsMs - REQUEST_MS / 2, "" + waits.refusal);
  }

  /** Guards against a queue that looks at neither the time that callers have nor their routes. */
  @Test
  void amongEqualTiersTheRequestThatHasToStartFirstGoesFirst() {
    SimulatedBurst world = burstWithTarget(0);
    for (int i = 0; i < 3; i++) world.ask(SimulatedBurst.Call.waiting(LONG_WAIT_MS));
    SimulatedBurst.Outcome patient = world.ask(SimulatedBurst.Call.waiting(LONG_WAIT_MS));
    SimulatedBurst.Outcome hurried = world.ask(SimulatedBurst.Call.waiting(LONG_WAIT_MS / 3));
    world.run(LONG_WAIT_MS);
    Assertions.assertTrue(hurried.completeAtMs < patient.completeAtMs);
    Assertions.assertTrue(patient.served());
  }

  @Test
  void tenantTierPrecedesRouteTierAndRouteTierPrecedesTimeLeft() {
    SimulatedBurst world =
        new SimulatedBurst(
            RELAYS,
            request -> REQUEST_MS,
            SimulatedBurst.configuration(
                List.of(
                    SimulatedBurst.tenant("first", 0),
                    SimulatedBurst.tenant("alike", 0),
                    SimulatedBurst.tenant("second", 1)),
                List.of(
                    SimulatedBurst.route("/urgent").tier(0),
                    SimulatedBurst.route("/usual").tier(7))));
    SimulatedBurst.Call call = SimulatedBurst.Call.waiting(LONG_WAIT_MS);
    for (int i = 0; i < 3; i++) world.ask(call.of("first").on("/urgent"));
    List<SimulatedBurst.Outcome> inOrderOfRank = new ArrayList<>();
    inOrderOfRank.add(world.ask(call.of("second").on("/usual")));
    inOrderOfRank.add(0, world.ask(call.of("second").on("/urgent")));
    inOrderOfRank.add(0, world.ask(call.of("first").on("/usual")));
    inOrderOfRank.add(0, world.ask(call.of("alike").on("/urgent")));
    world.run(LONG_WAIT_MS);
    for (int i = 1; i < inOrderOfRank.size(); i++)
      Assertions.assertTrue(
          inOrderOfRank.get(i - 1).completeAtMs <= inOrderOfRank.get(i).completeAtMs,
          "at " + i + ": " + inOrderOfRank.get(i).call);
  }
}
