package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Hundreds of changes by eight callers at once, each answer lost one time in four, while owners are
 * killed, lose power or are cut off (then over connections that hang as TCP's do): exactly one
 * change is confirmed under each version, and none is refused that was ever acknowledged.
 */
final class ManyChangesTest {
  private static final int CALLERS = 8;
  private static final double LOST_ANSWERS = 0.25;
  private static final long START_MS = 3000, STEP_MS = 250, LONGEST_MS = 600_000;

  private enum Trouble {
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

  private static void strike(Simulation sim, Trouble trouble, String owner) {
    switch (trouble) {
      case KILL -> sim.controls.get(owner).kill();
      case POWER -> sim.controls.get(owner).cutPower();
      case CUT -> sim.cutOff(owner);
      case NONE -> {
        // all stay up
      }
    }
  }

  private static void mend(Simulation sim) {
    sim.healAll();
    for (SimControlMachine control : sim.controls.values()) if (!control.up) control.start();
  }

  private static void finish(Simulation sim, OperatorCallers callers, String story) {
    mend(sim);
    callers.end();
    for (long ms = 0; ms < LONGEST_MS && !callers.idle(); ms += STEP_MS) sim.run(STEP_MS);
    Assertions.assertTrue(callers.idle(), story + ": an order never got a clear answer");
    callers.judge();
    List<String> told = sim.eventLog;
    Assertions.assertEquals(
        List.of(),
        sim.violations,
        () ->
            story
                + "\n"
                + String.join("\n", told.subList(Math.max(0, told.size() - 60), told.size())));
  }

  /** Until as many orders are acknowledged, the owner is struck again and again, and mended. */
  private static void day(long seed, QuorumConfig tunables, Trouble trouble, int changes) {
    Simulation sim = started(seed, tunables, trouble == Trouble.CUT);
    Random random = new Random(seed);
    OperatorCallers callers = new OperatorCallers(sim, seed, LOST_ANSWERS);
    callers.start(CALLERS);
    while (callers.acknowledged() < changes && sim.nowMs() < LONGEST_MS) {
      sim.run(random.nextInt(3000));
      String owner = sim.ownersOf(StateKeys.CONFIGURATION);
      if (trouble == Trouble.NONE || !sim.controls.containsKey(owner)) continue;
      strike(sim, trouble, owner);
      sim.run(500 + random.nextInt(3000));
      mend(sim);
    }
    Assertions.assertTrue(
        callers.acknowledged() >= changes,
        () -> trouble + " " + seed + ": only " + callers.acknowledged() + " in " + sim.nowMs());
    finish(sim, callers, trouble + " seed " + seed);
  }

  private static final QuorumConfig CONTACT =
      QuorumConfig.builder()
          .acknowledgementMode(QuorumConfig.AcknowledgementMode.CONTACT)
          .acknowledgementTimeoutMs(500)
          .build();

  @Test
  void changesOnACalmDay() {
    day(1, CONTACT, Trouble.NONE, 100);
  }

  @Test
  void fourHundredChangesWhileOwnersAreKilled() {
    day(2, CONTACT, Trouble.KILL, 400);
  }

  @Test
  void changesWhileOwnersLosePowerOrAreCutOff() {
    day(3, CONTACT, Trouble.POWER, 100);
    day(4, CONTACT, Trouble.CUT, 100);
    day(5, QuorumConfig.DEFAULT, Trouble.CUT, 60);
  }

  @Test
  void theOwnerStruckAtAnyMomentOfAChange() {
    for (Trouble trouble : new Trouble[] {Trouble.KILL, Trouble.POWER, Trouble.CUT})
      for (int ms = 0; ms < 60; ms += 3) {
        Simulation sim = started(100 + ms, CONTACT, trouble == Trouble.CUT);
        OperatorCallers callers = new OperatorCallers(sim, ms, LOST_ANSWERS);
        callers.start(CALLERS);
        sim.run(ms);
        strike(sim, trouble, sim.ownersOf(StateKeys.CONFIGURATION));
        sim.run(2500);
        finish(sim, callers, trouble + " after " + ms + " ms");
      }
  }
}
