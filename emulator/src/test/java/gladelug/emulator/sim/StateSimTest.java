package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.QuorumConfig.AcknowledgementMode;
import gladelug.control.core.message.ChangeResult;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of the state after hundreds of changes: a member that is restarted, emptied or was cut off
 * for long has the newest state soon, which depends on the state's size and not on its history, and
 * until then it serves nothing older.
 */
final class StateSimTest {
  /** How long a machine still counts as lost after it is back, in ms. */
  private static final long CATCH_UP = 4000;

  private static final int A_DAY = 300;
  private static final List<String> MACHINES = List.of("c1", "c2", "c3");

  private static final QuorumConfig DEPLOYED =
      QuorumConfig.builder()
          .leaseMs(4375)
          .heartbeatMs(200)
          .peerTimeoutMs(900)
          .confirmIntervalMs(300)
          .acknowledgementMode(AcknowledgementMode.CONTACT)
          .subscriberContactMs(2000)
          .acknowledgementTimeoutMs(1000)
          .changeTimeoutMs(3000)
          .commandLeaseMs(1000)
          .commandHandoverGapMs(4187)
          .targetMembers(3)
          .replaceDeadAfterMs(2000)
          .drainTimeoutMs(6000)
          .build();

  private static Simulation founded(long seed) {
    Simulation world = new Simulation(seed, 1, 3, 3, DEPLOYED);
    world.run(4000);
    return world;
  }

  /** So many changes, one after the other, by machines that take part; each is acknowledged. */
  private static void change(Simulation world, int count) {
    long before = world.nowMs();
    for (int i = 0; i < count; i++) {
      Simulation.SentChange x = world.send(reaching(world), StateKeys.CONFIGURATION, -1);
      until(world, 5000, () -> x.answer()[0] != null);
      if (x.answer()[0] instanceof ChangeResult.Acknowledged) continue;
      i--;
      world.run(50);
      if (world.nowMs() > before + 60_000L)
        throw new AssertionError("no changes taken\n" + world.eventLogText());
    }
  }

  private static String reaching(Simulation world) {
    for (SimControlMachine control : world.controls.values())
      if (control.up && control.node.isActive() && !control.node.isUnavailable())
        return control.name;
    return world.anyRunning();
  }

  private static long until(Simulation world, long most, BooleanSupplier so) {
    long from = world.nowMs();
    while (!so.getAsBoolean()) {
      if (world.nowMs() - from > most)
        throw new AssertionError("not within " + most + "\n" + world.eventLogText());
      world.run(5);
    }
    return world.nowMs() - from;
  }

  private static long number(Simulation world, String name) {
    return world.controls.get(name).node.storedValue(StateKeys.CONFIGURATION).getKey();
  }

  private static long newest(Simulation world) {
    return world.sentChanges.stream()
        .filter(x -> x.answer()[0] instanceof ChangeResult.Acknowledged)
        .mapToLong(x -> ((ChangeResult.Acknowledged) x.answer()[0]).number())
        .max()
        .orElse(0);
  }

  private static boolean caughtUp(Simulation world, String name) {
    SimControlMachine control = world.controls.get(name);
    return control.up
        && control.node.isActive()
        && control.node.members().generation() == world.newestMembers().generation()
        && number(world, name) >= newest(world);
  }

  private static void well(Simulation world, String what) {
    for (String c : MACHINES) world.read(c, StateKeys.CONFIGURATION);
    world.run(1500);
    world.settle(6000);
    Assertions.assertEquals(List.of(), world.violations, what + "\n" + world.eventLogText());
  }

  /** How long it took until the machine held the newest state, at the most over all of them. */
  private static long longestCatchUp(int changes, boolean withDisk) {
    long longest = 0;
    for (long seed = 1; seed <= 2; seed++) {
      Simulation world = founded(seed);
      change(world, changes);
      for (String name : MACHINES) {
        SimControlMachine control = world.controls.get(name);
        if (withDisk) control.cutPower();
        else control.replaceDisk("again-" + name);
        world.run(500);
        change(world, 3);
        control.start();
        longest = Math.max(longest, until(world, CATCH_UP, () -> caughtUp(world, name)));
        world.run(CATCH_UP);
      }
      well(world, "seed " + seed);
    }
    return longest;
  }

  @Test
  void aRestartedMemberHasTheNewestStateAsSoonAfterHundredsOfChangesAsAfterAFew() {
    long few = longestCatchUp(5, true), many = longestCatchUp(A_DAY, true);
    Assertions.assertTrue(many <= 1500 && many <= few + 500, few + " ms, then " + many + " ms");
  }

  @Test
  void anEmptiedMemberHasTheNewestStateAsSoonAfterHundredsOfChangesAsAfterAFew() {
    long few = longestCatchUp(5, false), many = longestCatchUp(A_DAY, false);
    Assertions.assertTrue(many <= 3000 && many <= few + 500, few + " ms, then " + many + " ms");
  }

  @Test
  void aMemberCutOffWhileMuchChangedServesNothingOldAndCatchesUp() {
    long longest = 0;
    for (long seed = 1; seed <= 3; seed++)
      for (String name : MACHINES) {
        Simulation world = founded(seed);
        change(world, 100);
        world.cutOff(name);
        world.run(1000);
        change(world, 100);
        for (int i = 0; i < 20; i++) {
          world.read(name, StateKeys.CONFIGURATION);
          world.run(1000);
        }
        world.heal(name);
        longest = Math.max(longest, until(world, CATCH_UP, () -> caughtUp(world, name)));
        well(world, "seed " + seed + " " + name);
      }
    Assertions.assertTrue(longest <= 1500, longest + " ms");
  }

  /** Each in turn is the one with old state that wakes and believes itself owner. */
  @Test
  void anOwnerThatWakesWithOldStateLeadsNobodyBack() {
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = founded(seed);
      change(world, 60);
      for (int i = 0; i < 4; i++) {
        String owner = world.ownersOf(StateKeys.CONFIGURATION);
        world.controls.get(owner).pause();
        world.run(2500);
        change(world, 20);
        world.controls.get(owner).resume();
        for (int j = 0; j < 20; j++) {
          world.read(owner, StateKeys.CONFIGURATION);
          world.run(j);
        }
        until(world, CATCH_UP, () -> caughtUp(world, owner));
        world.run(CATCH_UP);
      }
      well(world, "seed " + seed);
    }
  }

  /** All lose power within a change, at each step of it, after the rings have come round. */
  @Test
  void allLosePowerAtAnyStepOfAChangeAfterTheRingsCameRound() {
    long longest = 0;
    for (int ms = 0; ms <= 60; ms += 6) {
      Simulation world = founded(ms);
      change(world, A_DAY);
      world.send(reaching(world), StateKeys.CONFIGURATION, -1);
      world.run(ms);
      for (SimControlMachine control : world.controls.values()) control.cutPower();
      world.run(500);
      for (SimControlMachine control : world.controls.values()) control.start();
      longest =
          Math.max(
              longest,
              until(world, 8000, () -> !world.ownersOf(StateKeys.CONFIGURATION).isEmpty()));
      change(world, 1);
      well(world, "power lost " + ms + " ms after a change was sent");
    }
    Assertions.assertTrue(longest <= 4000, longest + " ms until somebody leads");
  }
}
