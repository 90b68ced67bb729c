package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.emulator.sim.Simulation.SentChange;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of the simulation of control machines and relays. */
final class SimTest {
  /** Runs random faults, mostly on one machine at a time, so that usually a majority remains. */
  private static Simulation runRandomFaults(long seed, int steps, boolean all) {
    Simulation world = new Simulation(seed, 3);
    Random random = new Random(seed * 7919);
    world.lossRate = random.nextInt(3) * 0.03;
    world.duplicateRate = random.nextInt(2) * 0.05;
    for (SimControlMachine name : world.controls.values())
      name.setClockRate(1 + (random.nextDouble() - 0.5) * 0.01);
    for (SimRelay x : world.relays.values()) x.clockRate = 1 + (random.nextDouble() - 0.5) * 0.01;
    world.run(2000);
    for (int i = 0; i < steps; i++) {
      List<String> names = world.controlNames();
      String name = names.get(random.nextInt(names.size()));
      SimControlMachine x = world.controls.get(name);
      switch (random.nextInt(22)) {
        case 0 -> x.kill();
        case 1 -> x.cutPower();
        case 2 -> world.cutOff(name);
        case 3 -> world.cutLink(name, names.get(random.nextInt(names.size())));
        case 4 -> x.pause();
        case 5 -> x.storage.stalled = true;
        case 6 -> world.cutOff("r" + (1 + random.nextInt(3)));
        case 7 -> {
          SimRelay y = world.relays.get("r" + (1 + random.nextInt(3)));
          y.kill();
          y.start();
        }
        case 8 -> {
          if (all) for (SimControlMachine y : world.controls.values()) y.cutPower();
        }
        case 10 -> world.split(Set.of(name, "r" + (1 + random.nextInt(3))));
        case 11 -> {
          String d = names.get(random.nextInt(names.size()));
          world.split(new HashSet<>(List.of(name, d, "r" + (1 + random.nextInt(3)))));
        }
        case 12 -> {
          // a disk is lost only while the others hold everything
          if (world.allMembersActive()) {
            x.replaceDisk("disk-" + seed + "-" + i);
            x.start();
          }
        }
        case 13 -> {
          if (world.allMembersActive())
            world.replaceMember(name, "c" + (world.controls.size() + 1));
        }
        case 14, 15 -> {
          // the power fails right after an acknowledgement, on one machine, two or all
          SentChange x1 = world.send(name, StateKeys.CONFIGURATION, -1);
          for (int j = 0; j < 3000 && x1.answer()[0] == null; j++) world.run(1);
          int most = 1 + random.nextInt(3);
          for (SimControlMachine y : world.controls.values()) if (most-- > 0) y.cutPower();
        }
        case 9 -> world.cutLink("r" + (1 + random.nextInt(3)), name);
        default -> {
          world.send(
              name, random.nextInt(3) == 0 ? StateKeys.REPLICAS : StateKeys.CONFIGURATION, -1);
          if (random.nextBoolean())
            world.send(names.get(random.nextInt(names.size())), StateKeys.CONFIGURATION, -1);
        }
      }
      world.run(random.nextInt(1500));
      if (random.nextInt(2) == 0) repairAll(world);
      world.run(random.nextInt(800));
    }
    repairAll(world);
    world.lossRate = 0;
    world.settle(12_000);
    if (!world.allMembersActive())
      world.violation("the core is not whole: " + world.newestGeneration());
    return world;
  }

  private static void assertNoViolations(long seed, Simulation world) {
    if (world.violations.isEmpty()) return;
    List<String> log = world.eventLog;
    Assertions.fail(
        "seed "
            + seed
            + ": "
            + world.violations.subList(0, Math.min(4, world.violations.size()))
            + "\n"
            + String.join("\n", log.subList(Math.max(0, log.size() - 60), log.size())));
  }

  private static void repairAll(Simulation world) {
    world.healAll();
    for (SimControlMachine control : world.controls.values()) {
      control.storage.stalled = false;
      if (!control.up) control.start();
      else {
        control.storage.startWrite(world, control);
        if (control.paused) control.resume();
      }
    }
  }

  @Test
  void theRulesHoldUnderSeededFaults() {
    int acknowledged = 0;
    for (long seed = 1; seed <= 150; seed++) {
      Simulation world = runRandomFaults(seed, 40, true);
      assertNoViolations(seed, world);
      acknowledged += world.acknowledgedCount();
    }
    Assertions.assertTrue(
        acknowledged > 1000,
        "only " + acknowledged + " changes were acknowledged; the seeds prove too little");
  }
}
