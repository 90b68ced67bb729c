package gladelug.emulator.sim;

import gladelug.emulator.sim.RequestSimulation.InjectedEvent;
import gladelug.emulator.sim.RequestSimulation.RequestPoint;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of the simulation with requests. */
final class RequestSimTest {
  private static final int SEEDS = Integer.getInteger("gladelug.seeds", 80);

  /** Number of held requests for each injected event in one simulation. */
  private static final int WINDOWS = 16;

  private static String violationsAfter(RequestSimulation world, long ms) {
    world.run(ms);
    world.checkRules();
    return world.violations.toString();
  }

  private static void assertDetects(String rule, Function<Boolean, String> scenario) {
    String withRule = scenario.apply(false), withoutRule = scenario.apply(true);
    Assertions.assertFalse(withRule.contains(rule), "with the rule on: " + withRule);
    Assertions.assertTrue(
        withoutRule.contains(rule), "with the rule off nothing was found: " + withoutRule);
  }

  @Test
  void aDisabledRuleIsDetected() {
    Logger.getLogger("").setLevel(Level.OFF);
    // connections without an identity check, and an address given to a replica of another service
    assertDetects(
        "old-policy",
        disabled -> {
          RequestSimulation world = new RequestSimulation(1);
          world.identityUnchecked = disabled;
          world.run(1000);
          for (int i = 0; i < 20; i++) {
            // the impostor is removed before the replica's own report shows it
            for (SimReplica m : world.replicas.values())
              world.byAddress.put(
                  m.address.toString(),
                  new SimReplica(world, "ghost", m.instance, m.address, true, "w1"));
            world.run(100);
            for (SimReplica m : world.replicas.values())
              world.byAddress.put(m.address.toString(), m);
            world.run(300);
          }
          return violationsAfter(world, 300);
        });
    // a lease that does not expire: the relay's clock nearly stands still, or drifts within
    // the tolerance
    assertDetects(
        "old-policy",
        disabled -> {
          RequestSimulation world = new RequestSimulation(2);
          world.run(500);
          for (RequestRelay r : world.requestRelays.values())
            r.setClockRate(disabled ? 0.05 : 0.995);
          world.trigger(InjectedEvent.RELAY_CUT_FROM_CORE, x -> {});
          return violationsAfter(world, 6000);
        });
    // a cutoff later than promised, with replicas that ignore commands
    assertDetects(
        "old-weights",
        disabled -> {
          RequestSimulation world = new RequestSimulation(3);
          world.weightCutoffMs = disabled ? 40_000 : 15_000;
          for (SimControlMachine control : world.controls.values()) {
            control.kill();
            control.start();
          }
          world.run(4000);
          for (SimReplica r : world.replicas.values()) r.ignoresCommands = true;
          world.trigger(InjectedEvent.WEIGHTS_NAMED, x -> {});
          return violationsAfter(world, 25_000);
        });
    // every control machine commands replicas, whoever owns the key
    assertDetects(
        "had to refuse",
        disabled -> {
          RequestSimulation world = new RequestSimulation(4);
          world.anyMemberCommands = disabled;
          for (int i = 0; i < 4; i++) {
            world.trigger(InjectedEvent.WEIGHTS_NAMED, x -> {});
            world.run(2000);
          }
          return violationsAfter(world, 2000);
        });
  }

  @Test
  void theRulesHoldWhateverIsInjectedBetweenTheStepsOfARequest() {
    Logger.getLogger("").setLevel(Level.OFF);
    RequestScenarios scenarios = RequestScenarios.run(Long.getLong("gladelug.from", 0), SEEDS, 2);
    System.out.println(scenarios);
    Assertions.assertEquals(List.of(), scenarios.failures);
    Assertions.assertTrue(
        scenarios.completeCount.get() > scenarios.requestCount.get() / 2,
        scenarios + " prove too little");
    for (InjectedEvent event : InjectedEvent.values())
      for (RequestPoint point : RequestPoint.values())
        Assertions.assertTrue(
            scenarios.heldCounts.containsKey(event + "@" + point),
            event + "@" + point + " was never met");
  }

  @Test
  void noRequestRunsTwiceAndNoAnswerGoesAstrayWhateverHappensToConnections() {
    Logger.getLogger("").setLevel(Level.OFF);
    Map<ConnectionEvent, Integer> counts = new EnumMap<>(ConnectionEvent.class);
    for (InjectedEvent event :
        List.of(
            InjectedEvent.CONNECTIONS_RESET,
            InjectedEvent.LINKS_SILENT,
            InjectedEvent.ANSWERS_REPEATED,
            InjectedEvent.ANSWERS_REPEATED_LATE,
            InjectedEvent.CALLER_LEAVES)) {
      RequestSimulation world = new RequestSimulation(event.ordinal());
      world.run(3000);
      for (int i = 0; i < WINDOWS; i++) {
        world.arm(event, RequestPoint.values()[i % RequestPoint.values().length]);
        world.run(1600);
        Assertions.assertTrue(
            world.heldAtMs >= 0, i + ": " + event + " was not met at " + world.armedPoint);
      }
      world.repairAll();
      world.run(8000);
      world.requestsPerSecond = 0.001;
      world.run(6000);
      Assertions.assertEquals("[]", violationsAfter(world, 0), event.toString());
      world.eventCounts.forEach((met, n) -> counts.merge(met, n, Integer::sum));
    }
    for (ConnectionEvent m : ConnectionEvent.values())
      Assertions.assertTrue(counts.containsKey(m), m + ": " + counts);
  }
}
