package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.QuorumConfig.AcknowledgementMode;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeResult;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests that cores of three to nine machines repair themselves under seeded faults. */
final class MembersSimTest {
  private static final int SETTLE_MS = 15_000;

  static Simulation runRandomFaults(long seed, int steps) {
    Random random = new Random(seed * 104_729);
    int machines = 3 + random.nextInt(7), voters = machines < 5 ? 3 : 5;
    int founding =
        switch (random.nextInt(4)) {
          case 0 -> 1;
          case 1 -> voters;
          case 2 -> machines;
          default -> 3;
        };
    QuorumConfig config =
        QuorumConfig.builder()
            .acknowledgementMode(
                random.nextBoolean() ? AcknowledgementMode.CONTACT : AcknowledgementMode.STRICT)
            .targetMembers(voters)
            .replaceDeadAfterMs(2500)
            .changeTimeoutMs(3000)
            .commandLeaseMs(1000)
            .commandHandoverGapMs(2500)
            .build();
    Simulation world = new Simulation(seed, 3, machines, founding, config);
    world.log("sim", machines + " machines, " + founding + " found, " + config);
    world.lossRate = random.nextInt(3) * 0.03;
    world.duplicateRate = random.nextInt(2) * 0.05;
    for (SimControlMachine control : world.controls.values())
      control.setClockRate(1 + (random.nextDouble() - 0.5) * 0.01);
    for (SimRelay relay : world.relays.values())
      relay.clockRate = 1 + (random.nextDouble() - 0.5) * 0.01;
    // a founder may lose its disk during the founding
    if (founding >= 3 && random.nextInt(3) == 0) {
      world.run(random.nextInt(600));
      SimControlMachine control = world.controls.get("c" + (1 + random.nextInt(founding)));
      control.replaceDiskOfFounder("early-" + seed);
      world.run(random.nextInt(300));
      control.start();
    }
    world.run(4000);
    for (int i = 0; i < steps; i++) injectRandomFault(world, random, "d" + seed + "-" + i);
    repairAll(world);
    world.lossRate = 0;
    // a machine that was told to stop before ends by itself meanwhile, and is started again
    world.run(config.drainTimeoutMs());
    repairAll(world);
    // changes are taken again well before all has settled
    world.run(SETTLE_MS / 2);
    boolean taken = false;
    for (int i = 0; i < 3 && !taken; i++) {
      Simulation.SentChange sent = world.send(activeMember(world), StateKeys.CONFIGURATION, -1);
      world.run(1000);
      taken = sent.answer()[0] instanceof ChangeResult.Acknowledged;
    }
    if (!taken) world.violation("no change is taken " + SETTLE_MS / 2 + " ms after all was well");
    world.settle(SETTLE_MS / 2);
    checkHealthy(world);
    return world;
  }

  private static String activeMember(Simulation world) {
    return world.controls.values().stream()
        .filter(control -> control.up && !control.paused && control.node.isActive())
        .map(control -> control.name)
        .findFirst()
        .orElse(world.anyRunning());
  }

  private static void injectRandomFault(Simulation world, Random random, String diskPrefix) {
    List<String> names =
        world.controlNames().stream().filter(name -> !world.departed.contains(name)).toList();
    String name = names.get(random.nextInt(names.size()));
    SimControlMachine control = world.controls.get(name);
    switch (random.nextInt(20)) {
      case 0 -> control.kill();
      case 1 -> control.cutPower();
      case 2 -> world.cutOff(name);
      case 3 -> world.cutLink(name, names.get(random.nextInt(names.size())));
      case 4 -> control.pause();
      case 5 -> control.storage.stalled = true;
      case 6 -> {
        SimRelay relay = world.relays.get("r" + (1 + random.nextInt(3)));
        relay.kill();
        relay.start();
      }
      case 7 -> {
        Set<String> side = new HashSet<>();
        for (String y : names) if (random.nextBoolean()) side.add(y);
        world.split(side);
      }
      case 8 -> {
        for (SimControlMachine y : world.controls.values()) if (random.nextInt(3) > 0) y.cutPower();
      }
      case 9, 10, 11 -> {
        // several at once, as many as the member set tolerates
        for (String y : names)
          if (random.nextInt(3) == 0
              && world.mayLose(y)
              && !world.newestMembers().all().isEmpty()) {
            world.onDiskLost(y);
            if (random.nextBoolean() || !world.isFoundedElsewhere(y))
              world.controls.get(y).replaceDisk(diskPrefix + y);
            else world.controls.get(y).replaceDiskOfFounder(diskPrefix + y);
            if (random.nextBoolean()) world.controls.get(y).start();
          }
      }
      case 12, 13 -> {
        if (names.size() > 3 && world.mayLose(name) && !world.newestMembers().all().isEmpty())
          world.removeForGood(name);
        if (random.nextBoolean() && world.controls.size() < 20)
          world.addMachine("c" + (world.controls.size() + 1));
      }
      case 14 -> world.cutOff("r" + (1 + random.nextInt(3)));
      case 15 -> {
        if (control.up) control.terminate();
      }
      default -> {
        world.send(name, random.nextInt(3) == 0 ? StateKeys.REPLICAS : StateKeys.CONFIGURATION, -1);
        if (random.nextBoolean())
          world.send(names.get(random.nextInt(names.size())), StateKeys.CONFIGURATION, -1);
      }
    }
    for (int j = 0; j < 4; j++) {
      if (random.nextInt(4) == 0)
        world.send(names.get(random.nextInt(names.size())), StateKeys.CONFIGURATION, -1);
      world.read(
          names.get(random.nextInt(names.size())),
          random.nextBoolean() ? StateKeys.REPLICAS : StateKeys.CONFIGURATION);
      world.run(random.nextInt(500));
    }
    if (random.nextInt(2) == 0) repairAll(world);
    world.run(random.nextInt(4) == 0 ? 4000 : random.nextInt(800));
  }

  private static void repairAll(Simulation world) {
    world.healAll();
    for (SimControlMachine control : world.controls.values()) {
      if (world.departed.contains(control.name)) continue;
      control.storage.stalled = false;
      if (!control.up) control.start();
      else {
        control.storage.startWrite(world, control);
        if (control.paused) control.resume();
      }
    }
  }

  /**
   * Checks after all repairs that every member runs in the newest generation and that no other
   * machine takes itself for a member.
   */
  private static void checkHealthy(Simulation world) {
    MemberSet members = world.newestMembers();
    long up = world.controls.values().stream().filter(control -> control.up).count();
    for (MemberSet.Member member : members.all()) {
      SimControlMachine control = world.controls.get(member.name());
      boolean well =
          control.up
              && control.diskId.equals(member.diskId())
              && control.node.isActive()
              && control.node.members().generation() == members.generation();
      if (!well && up >= members.all().size())
        world.violation("member " + member.name() + " is not well in " + members);
    }
    if (members.all().size() < Math.min(world.config.targetMembers(), up - (up + 1) % 2))
      world.violation("only " + members.all().size() + " members with " + up + " machines up");
    for (SimControlMachine control : world.controls.values())
      if (control.up && members.find(control.name) == null && control.node.isActive())
        world.violation(control.name + " thinks it is a member");
  }

  private static int assertNoViolations(long seed, Simulation world) {
    if (!world.violations.isEmpty()) {
      List<String> log = world.eventLog;
      Assertions.fail(
          "seed "
              + seed
              + ": "
              + world.violations.subList(0, Math.min(4, world.violations.size()))
              + "\n"
              + log.get(0)
              + "\n"
              + String.join("\n", log.subList(Math.max(0, log.size() - 60), log.size())));
    }
    return world.acknowledgedCount();
  }

  @Test
  void nothingAcknowledgedIsLostAndTheCoreHealsUnderSeededFaults() {
    int done = 0, reads = 0;
    long first = Long.getLong("members.first", 1), seeds = Long.getLong("members.seeds", 30);
    for (long seed = first; seed < first + seeds; seed++) {
      Simulation world = runRandomFaults(seed, 30);
      done += assertNoViolations(seed, world);
      reads += world.readCount;
    }
    Assertions.assertTrue(
        done > 3 * seeds && reads > 20 * seeds, done + " changes, " + reads + " reads");
  }
}
