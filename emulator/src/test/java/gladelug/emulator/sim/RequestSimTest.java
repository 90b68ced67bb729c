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

/** Tests of RequestSimulation. */
final class RequestSimTest {
  private static final int SEEDS = Integer.getInteger("gladelug.seeds", 80);

  /** How often each kind of trouble is brought about in one world. */
  private static final int WINDOWS = 16;

  private static String found(RequestSimulation world, long ms) {
    world.run(ms);
    world.checkRules();
    return world.violations.toString();
  }

  private static void catches(String what, Function<Boolean, String> broken) {
    String with = broken.apply(false), without = broken.apply(true);
    Assertions.assertFalse(with.contains(what), "with the rule on: " + with);
    Assertions.assertTrue(
        without.contains(what), "with the rule off nothing was found: " + without);
  }

  @Test
  void aRuleSwitchedOffIsFound() {
    Logger.getLogger("").setLevel(Level.OFF);
    // connections that aren't asked who is there, and an address given to another service's replica
    catches(
        "old-policy",
        off -> {
          RequestSimulation world = new RequestSimulation(1);
          world.identityUnchecked = off;
          world.run(1000);
          for (int i = 0; i < 20; i++) {
            // for the moment before a replica's own report shows it too
            for (SimReplica m : world.replicas.values())
              world.byAddress.put(
                  m.address.toString(),
                  new SimReplica(world, "ghost", m.instance, m.address, true, "w1"));
            world.run(100);
            for (SimReplica m : world.replicas.values())
              world.byAddress.put(m.address.toString(), m);
            world.run(300);
          }
          return found(world, 300);
        });
    // a lease that doesn't run out: the relay's clock stands nearly still, or drifts by what is
    // allowed for
    catches(
        "old-policy",
        off -> {
          RequestSimulation world = new RequestSimulation(2);
          world.run(500);
          for (RequestRelay r : world.requestRelays.values()) r.setClockRate(off ? 0.05 : 0.995);
          world.trigger(InjectedEvent.RELAY_CUT_FROM_CORE, x -> {});
          return found(world, 6000);
        });
    // a cutoff later than the promise, with replicas that take no requests from their commander
    catches(
        "old-weights",
        off -> {
          RequestSimulation world = new RequestSimulation(3);
          world.weightCutoffMs = off ? 40_000 : 15_000;
          for (SimControlMachine control : world.controls.values()) {
            control.kill();
            control.start();
          }
          world.run(4000);
          for (SimReplica r : world.replicas.values()) r.ignoresCommands = true;
          world.trigger(InjectedEvent.WEIGHTS_NAMED, x -> {});
          return found(world, 25_000);
        });
    // every core machine steers, whoever owns the key
    catches(
        "had to refuse",
        off -> {
          RequestSimulation world = new RequestSimulation(4);
          world.anyMemberCommands = off;
          for (int i = 0; i < 4; i++) {
            world.trigger(InjectedEvent.WEIGHTS_NAMED, x -> {});
            world.run(2000);
          }
          return found(world, 2000);
        });
  }

  @Test
  void whateverHappensBetweenTheStepsOfARequestTheRulesHold() {
    Logger.getLogger("").setLevel(Level.OFF);
    RequestScenarios t = RequestScenarios.run(Long.getLong("gladelug.from", 0), SEEDS, 2);
    System.out.println(t);
    Assertions.assertEquals(List.of(), t.failures);
    Assertions.assertTrue(
        t.completeCount.get() > t.requestCount.get() / 2, t + " prove too little");
    for (InjectedEvent h : InjectedEvent.values())
      for (RequestPoint p : RequestPoint.values())
        Assertions.assertTrue(
            t.heldCounts.containsKey(h + "@" + p), h + "@" + p + " was never met");
  }

  @Test
  void whateverHappensToConnectionsNoRequestRunsTwiceAndNoAnswerGoesAstray() {
    Logger.getLogger("").setLevel(Level.OFF);
    Map<ConnectionEvent, Integer> counts = new EnumMap<>(ConnectionEvent.class);
    for (InjectedEvent h :
        List.of(
            InjectedEvent.CONNECTIONS_RESET,
            InjectedEvent.LINKS_SILENT,
            InjectedEvent.ANSWERS_REPEATED,
            InjectedEvent.ANSWERS_REPEATED_LATE,
            InjectedEvent.CALLER_LEAVES)) {
      RequestSimulation world = new RequestSimulation(h.ordinal());
      world.run(3000);
      for (int i = 0; i < WINDOWS; i++) {
        world.arm(h, RequestPoint.values()[i % RequestPoint.values().length]);
        world.run(1600);
        Assertions.assertTrue(
            world.heldAtMs >= 0, i + ": " + h + " was not met at " + world.armedPoint);
      }
      world.repairAll();
      world.run(8000);
      world.requestsPerSecond = 0.001;
      world.run(6000);
      Assertions.assertEquals("[]", found(world, 0), h.toString());
      world.eventCounts.forEach((met, n) -> counts.merge(met, n, Integer::sum));
    }
    for (ConnectionEvent m : ConnectionEvent.values())
      Assertions.assertTrue(counts.containsKey(m), m + ": " + counts);
  }
}
