package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Hundreds of changes by eight concurrent callers that lose one answer in four, while owners are
 * killed, lose power or are cut off (in that case over connections that stall as TCP connections
 * do). Exactly one change is confirmed under each version, and none is refused that was ever
 * acknowledged.
 */
final class ManyChangesTest {
  private static final int CALLERS = 8;
  private static final double LOST_ANSWERS = 0.25;
  private static final long START_MS = 3000, STEP_MS = 250, MAX_RUN_MS = 600_000;

  private enum OwnerOutage {
    NONE,
    KILL,
    POWER,
    CUT
  }

  private static Simulation started(long seed, QuorumConfig tunables, boolean connections) {
    Simulation sim = new Simulation(seed, 2, 3, 3, tunables);
    sim.usesConnections = connections;
    sim.run(START_MS);
    return sim;
  }

  private static void injectOutage(Simulation sim, OwnerOutage outage, String owner) {
    switch (outage) {
      case KILL -> sim.controls.get(owner).kill();
      case POWER -> sim.controls.get(owner).cutPower();
      case CUT -> sim.cutOff(owner);
      case NONE -> {
        // all stay up
      }
    }
  }

  private static void repairAll(Simulation sim) {
    sim.healAll();
    for (SimControlMachine control : sim.controls.values()) if (!control.up) control.start();
  }

  private static void finish(Simulation sim, OperatorCallers callers, String label) {
    repairAll(sim);
    callers.end();
    for (long ms = 0; ms < MAX_RUN_MS && !callers.isIdle(); ms += STEP_MS) sim.run(STEP_MS);
    Assertions.assertTrue(callers.isIdle(), label + ": an order never got a clear answer");
    callers.checkAnswers();
    List<String> log = sim.eventLog;
    Assertions.assertEquals(
        List.of(),
        sim.violations,
        () ->
            label
                + "\n"
                + String.join("\n", log.subList(Math.max(0, log.size() - 60), log.size())));
  }

  /** Injects and repairs outages of the owner until the given number of changes is acknowledged. */
  private static void runChanges(
      long seed, QuorumConfig tunables, OwnerOutage outage, int changes) {
    Simulation sim = started(seed, tunables, outage == OwnerOutage.CUT);
    Random random = new Random(seed);
    OperatorCallers callers = new OperatorCallers(sim, seed, LOST_ANSWERS);
    callers.start(CALLERS);
    while (callers.acknowledgedCount() < changes && sim.nowMs() < MAX_RUN_MS) {
      sim.run(random.nextInt(3000));
      String owner = sim.ownersOf(StateKeys.CONFIGURATION);
      if (outage == OwnerOutage.NONE || !sim.controls.containsKey(owner)) continue;
      injectOutage(sim, outage, owner);
      sim.run(500 + random.nextInt(3000));
      repairAll(sim);
    }
    Assertions.assertTrue(
        callers.acknowledgedCount() >= changes,
        () -> outage + " " + seed + ": only " + callers.acknowledgedCount() + " in " + sim.nowMs());
    finish(sim, callers, outage + " seed " + seed);
  }

  private static final QuorumConfig CONTACT =
      QuorumConfig.builder()
          .acknowledgementMode(QuorumConfig.AcknowledgementMode.CONTACT)
          .acknowledgementTimeoutMs(500)
          .build();

  @Test
  void changesOnACalmDay() {
    runChanges(1, CONTACT, OwnerOutage.NONE, 100);
  }

  @Test
  void fourHundredChangesWhileOwnersAreKilled() {
    runChanges(2, CONTACT, OwnerOutage.KILL, 400);
  }

  @Test
  void changesWhileOwnersLosePowerOrAreCutOff() {
    runChanges(3, CONTACT, OwnerOutage.POWER, 100);
    runChanges(4, CONTACT, OwnerOutage.CUT, 100);
    runChanges(5, QuorumConfig.DEFAULT, OwnerOutage.CUT, 60);
  }

  @Test
  void theOwnerStruckAtAnyMomentOfAChange() {
    for (OwnerOutage outage :
        new OwnerOutage[] {OwnerOutage.KILL, OwnerOutage.POWER, OwnerOutage.CUT})
      for (int ms = 0; ms < 60; ms += 3) {
        Simulation sim = started(100 + ms, CONTACT, outage == OwnerOutage.CUT);
        OperatorCallers callers = new OperatorCallers(sim, ms, LOST_ANSWERS);
        callers.start(CALLERS);
        sim.run(ms);
        injectOutage(sim, outage, sim.ownersOf(StateKeys.CONFIGURATION));
        sim.run(2500);
        finish(sim, callers, outage + " after " + ms + " ms");
      }
  }
}
