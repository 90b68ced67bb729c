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
 * Tests of the state after hundreds of changes: a member that was restarted, emptied or cut off for
 * long soon has the newest state, in a time that depends on the size of the state and not on its
 * history, and serves nothing older until then.
 */
final class StateSimTest {
  /** Time after its return during which a machine still counts as lost. */
  private static final long CATCH_UP_MS = 4000;

  private static final int CHANGES_OF_A_DAY = 300;
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

  /** Sends changes one after the other to reachable members until each is acknowledged. */
  private static void acknowledgeChanges(Simulation world, int count) {
    long before = world.nowMs();
    for (int i = 0; i < count; i++) {
      Simulation.SentChange sentChange =
          world.send(reachableMember(world), StateKeys.CONFIGURATION, -1);
      runUntil(world, 5000, () -> sentChange.answer()[0] != null);
      if (sentChange.answer()[0] instanceof ChangeResult.Acknowledged) continue;
      i--;
      world.run(50);
      if (world.nowMs() > before + 60_000L)
        throw new AssertionError("no changes taken\n" + world.eventLogText());
    }
  }

  private static String reachableMember(Simulation world) {
    for (SimControlMachine control : world.controls.values())
      if (control.up && control.node.isActive() && !control.node.isUnavailable())
        return control.name;
    return world.anyRunning();
  }

  private static long runUntil(Simulation world, long maxMs, BooleanSupplier condition) {
    long startMs = world.nowMs();
    while (!condition.getAsBoolean()) {
      if (world.nowMs() - startMs > maxMs)
        throw new AssertionError("not within " + maxMs + "\n" + world.eventLogText());
      world.run(5);
    }
    return world.nowMs() - startMs;
  }

  private static long numberOf(Simulation world, String name) {
    return world.controls.get(name).node.storedValue(StateKeys.CONFIGURATION).getKey();
  }

  private static long newestAcknowledged(Simulation world) {
    return world.sentChanges.stream()
        .filter(sentChange -> sentChange.answer()[0] instanceof ChangeResult.Acknowledged)
        .mapToLong(sentChange -> ((ChangeResult.Acknowledged) sentChange.answer()[0]).number())
        .max()
        .orElse(0);
  }

  private static boolean caughtUp(Simulation world, String name) {
    SimControlMachine control = world.controls.get(name);
    return control.up
        && control.node.isActive()
        && control.node.members().generation() == world.newestMembers().generation()
        && numberOf(world, name) >= newestAcknowledged(world);
  }

  private static void assertHealthy(Simulation world, String label) {
    for (String c : MACHINES) world.read(c, StateKeys.CONFIGURATION);
    world.run(1500);
    world.settle(6000);
    Assertions.assertEquals(List.of(), world.violations, label + "\n" + world.eventLogText());
  }

  /** Returns the longest time that any machine took to hold the newest state. */
  private static long longestCatchUpMs(int changes, boolean withDisk) {
    long longestMs = 0;
    for (long seed = 1; seed <= 2; seed++) {
      Simulation world = founded(seed);
      acknowledgeChanges(world, changes);
      for (String name : MACHINES) {
        SimControlMachine control = world.controls.get(name);
        if (withDisk) control.cutPower();
        else control.replaceDisk("again-" + name);
        world.run(500);
        acknowledgeChanges(world, 3);
        control.start();
        longestMs = Math.max(longestMs, runUntil(world, CATCH_UP_MS, () -> caughtUp(world, name)));
        world.run(CATCH_UP_MS);
      }
      assertHealthy(world, "seed " + seed);
    }
    return longestMs;
  }

  @Test
  void aRestartedMemberHasTheNewestStateAsSoonAfterHundredsOfChangesAsAfterAFew() {
    long fewMs = longestCatchUpMs(5, true), manyMs = longestCatchUpMs(CHANGES_OF_A_DAY, true);
    Assertions.assertTrue(
        manyMs <= 1500 && manyMs <= fewMs + 500, fewMs + " ms, then " + manyMs + " ms");
  }

  @Test
  void anEmptiedMemberHasTheNewestStateAsSoonAfterHundredsOfChangesAsAfterAFew() {
    long fewMs = longestCatchUpMs(5, false), manyMs = longestCatchUpMs(CHANGES_OF_A_DAY, false);
    Assertions.assertTrue(
        manyMs <= 3000 && manyMs <= fewMs + 500, fewMs + " ms, then " + manyMs + " ms");
  }

  @Test
  void aMemberCutOffWhileMuchChangedServesNothingOldAndCatchesUp() {
    long longestMs = 0;
    for (long seed = 1; seed <= 3; seed++)
      for (String name : MACHINES) {
        Simulation world = founded(seed);
        acknowledgeChanges(world, 100);
        world.cutOff(name);
        world.run(1000);
        acknowledgeChanges(world, 100);
        for (int i = 0; i < 20; i++) {
          world.read(name, StateKeys.CONFIGURATION);
          world.run(1000);
        }
        world.heal(name);
        longestMs = Math.max(longestMs, runUntil(world, CATCH_UP_MS, () -> caughtUp(world, name)));
        assertHealthy(world, "seed " + seed + " " + name);
      }
    Assertions.assertTrue(longestMs <= 1500, longestMs + " ms");
  }

  /**
   * Each owner in turn is paused, resumes with old state and still believes that it is the owner.
   */
  @Test
  void anOwnerThatResumesWithOldStateNeverServesIt() {
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = founded(seed);
      acknowledgeChanges(world, 60);
      for (int i = 0; i < 4; i++) {
        String owner = world.ownersOf(StateKeys.CONFIGURATION);
        world.controls.get(owner).pause();
        world.run(2500);
        acknowledgeChanges(world, 20);
        world.controls.get(owner).resume();
        for (int j = 0; j < 20; j++) {
          world.read(owner, StateKeys.CONFIGURATION);
          world.run(j);
        }
        runUntil(world, CATCH_UP_MS, () -> caughtUp(world, owner));
        world.run(CATCH_UP_MS);
      }
      assertHealthy(world, "seed " + seed);
    }
  }

  /**
   * All members lose power at each step of a change, after the record rings have wrapped around.
   */
  @Test
  void allLosePowerAtAnyStepOfAChangeAfterTheRecordRingsWrapped() {
    long longestMs = 0;
    for (int ms = 0; ms <= 60; ms += 6) {
      Simulation world = founded(ms);
      acknowledgeChanges(world, CHANGES_OF_A_DAY);
      world.send(reachableMember(world), StateKeys.CONFIGURATION, -1);
      world.run(ms);
      for (SimControlMachine control : world.controls.values()) control.cutPower();
      world.run(500);
      for (SimControlMachine control : world.controls.values()) control.start();
      longestMs =
          Math.max(
              longestMs,
              runUntil(world, 8000, () -> !world.ownersOf(StateKeys.CONFIGURATION).isEmpty()));
      acknowledgeChanges(world, 1);
      assertHealthy(world, "power lost " + ms + " ms after a change was sent");
    }
    Assertions.assertTrue(longestMs <= 4000, longestMs + " ms until somebody leads");
  }
}
