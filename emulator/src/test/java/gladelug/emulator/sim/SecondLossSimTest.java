package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.QuorumConfig.AcknowledgementMode;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of a second loss right after a repair, a replacement or a departure: by then the new member
 * must hold everything acknowledged, and the remaining machines must be a majority of the current
 * set. The time of the second event is swept in small steps.
 */
final class SecondLossSimTest {
  /**
   * Time after its start during which a machine still counts as lost, for three and for five
   * voters.
   */
  private static final long CATCH_UP_OF_THREE_MS = 4000, CATCH_UP_OF_FIVE_MS = 6000;

  /** Time until a new process and the core hear each other. */
  private static final long PROCESS_START_MS = 1000;

  private static final QuorumConfig OF_THREE = deployedConfig(3, 2000);
  private static final QuorumConfig OF_FIVE = deployedConfig(5, 2500);

  private static QuorumConfig deployedConfig(int voters, int replaceAfterMs) {
    return QuorumConfig.builder()
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
        .targetMembers(voters)
        .drainTimeoutMs(6000)
        .replaceDeadAfterMs(replaceAfterMs)
        .build();
  }

  private static Simulation startSettled(long seed, int machines, QuorumConfig tunables) {
    Simulation world = new Simulation(seed, 1, machines, 3, tunables);
    world.run(9000);
    Assertions.assertEquals(
        tunables.targetMembers(), world.newestMembers().all().size(), world.eventLogText());
    acknowledgeChange(world);
    return world;
  }

  /** Runs until the condition holds and returns the elapsed time in ms. */
  private static long runUntil(Simulation world, long maxMs, BooleanSupplier condition) {
    long startMs = world.nowMs();
    while (!condition.getAsBoolean()) {
      if (world.nowMs() - startMs > maxMs)
        throw new AssertionError("not within " + maxMs + "\n" + world.eventLogText());
      world.run(10);
    }
    return world.nowMs() - startMs;
  }

  /** Requires that some active machine acknowledges a change. */
  private static void acknowledgeChange(Simulation world) {
    List<Simulation.SentChange> sent = new ArrayList<>();
    runUntil(
        world,
        8000,
        () -> {
          boolean taken =
              sent.stream().anyMatch(x -> x.answer()[0] instanceof ChangeResult.Acknowledged);
          boolean open = sent.stream().anyMatch(x -> x.answer()[0] == null);
          if (!taken && !open)
            sent.add(world.send(activeMember(world), StateKeys.CONFIGURATION, -1));
          return taken;
        });
  }

  /** Returns an active machine that hears a majority. */
  private static String activeMember(Simulation world) {
    for (SimControlMachine control : world.controls.values()) {
      if (!control.up || !control.node.isActive()) continue;
      long alive = control.node.memberLiveness().values().stream().filter(x -> x).count();
      if (alive > control.node.members().all().size() / 2) return control.name;
    }
    return world.anyRunning();
  }

  private static boolean isMember(Simulation world, String name) {
    return world.newestMembers().find(name) != null;
  }

  private static List<String> voterNames(Simulation world) {
    return world.newestMembers().all().stream().map(MemberSet.Member::name).toList();
  }

  private static void assertHealthy(Simulation world, String label) {
    world.run(6000);
    acknowledgeChange(world);
    world.settle(3000);
    Assertions.assertEquals(List.of(), world.violations, label + "\n" + world.eventLogText());
  }

  @Test
  void twoVotersLostAtOnceAreBothReplacedInTimeForTwoMore() {
    long longestMs = 0;
    for (long seed = 1; seed <= 10; seed++) {
      Simulation world = startSettled(seed, 8, OF_FIVE);
      List<String> first = voterNames(world).subList((int) (seed % 4), (int) (seed % 4) + 2);
      for (String m : first) world.controls.get(m).cutPower();
      long tookMs =
          runUntil(
              world,
              CATCH_UP_OF_FIVE_MS,
              () -> first.stream().noneMatch(m -> isMember(world, m)) && world.allMembersActive());
      longestMs = Math.max(longestMs, tookMs);
      for (String m : voterNames(world).subList(1, 3)) world.controls.get(m).cutPower();
      assertHealthy(world, "seed " + seed + " " + first);
    }
    Assertions.assertTrue(longestMs < CATCH_UP_OF_FIVE_MS - PROCESS_START_MS, longestMs + " ms");
  }

  /** The successor stands by and takes the place before the old member ends. */
  @Test
  void aMemberThatLeavesEndsOnlyOnceAnyOtherMayBeLostToo() {
    long longestMs = 0;
    for (long seed = 1; seed <= 12; seed++) {
      for (String leaver : List.of("c1", "c2", "c3")) {
        Simulation world = startSettled(seed, 3, OF_THREE);
        world.addMachine("c4");
        world.run(2000 + world.random.nextInt(1000));
        world.send(activeMember(world), StateKeys.CONFIGURATION, -1);
        world.run(world.random.nextInt(30));
        world.controls.get(leaver).terminate();
        longestMs =
            Math.max(longestMs, runUntil(world, 6000, () -> !world.controls.get(leaver).up));
        world.removeForGood(leaver);
        String second = voterNames(world).get(world.random.nextInt(3));
        world.removeForGood(second);
        assertHealthy(
            world, "seed " + seed + ", " + leaver + " leaves, then " + second + " is lost");
      }
    }
    Assertions.assertTrue(longestMs < 2500, longestMs + " ms until a member that leaves may end");
  }

  @Test
  void aMemberThatLeavesAndHasNoSuccessorHandsItsKeysOnAndEndsAtOnce() {
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = startSettled(seed, 3, OF_THREE);
      for (String leaver : List.of("c1", "c2", "c3", "c1", "c2", "c3")) {
        SimRelay relay = world.relays.get("r1");
        relay.longestGapMs = 0;
        world.controls.get(leaver).terminate();
        long tookMs = runUntil(world, 6000, () -> !world.controls.get(leaver).up);
        Assertions.assertTrue(
            tookMs < 500, leaver + " took " + tookMs + "\n" + world.eventLogText());
        world.run(1500);
        acknowledgeChange(world);
        world.controls.get(leaver).start();
        world.run(4000);
        Assertions.assertTrue(
            relay.longestGapMs < 30, relay.longestGapMs + "\n" + world.eventLogText());
      }
      Assertions.assertEquals(1, world.newestGeneration(), "restarted, not replaced");
      assertHealthy(world, "seed " + seed);
    }
  }

  /** A machine that is killed while it drains counts as an ordinary loss. */
  @Test
  void aMemberKilledAtAnyStepOfItsLeavingIsReplacedAllTheSame() {
    for (int ms = 0; ms <= 240; ms += 4) {
      Simulation world = startSettled(ms, 3, OF_THREE);
      world.addMachine("c4");
      world.run(2500);
      String leaver = world.ownersOf(StateKeys.CORE);
      world.controls.get(leaver).terminate();
      world.run(ms);
      world.removeForGood(leaver);
      runUntil(
          world, CATCH_UP_OF_THREE_MS, () -> !isMember(world, leaver) && world.allMembersActive());
      world.removeForGood(voterNames(world).get(ms / 4 % 3));
      assertHealthy(world, leaver + " killed " + ms + " ms after it was asked to stop");
    }
  }

  /**
   * The old member dies as the new machine starts; the remaining core then loses any one machine
   * for good.
   */
  @Test
  void anyMachineMayBeLostOnceANewOneHasHadItsTimeToCatchUp() {
    for (long seed = 1; seed <= 24; seed++) {
      Simulation world = startSettled(seed, 3, OF_THREE);
      String first = List.of("c1", "c2", "c3").get((int) (seed % 3));
      world.removeForGood(first);
      long start = world.nowMs();
      world.run(PROCESS_START_MS + world.random.nextInt(300));
      world.addMachine("c4");
      world.run(start + CATCH_UP_OF_THREE_MS - world.nowMs());
      String second = voterNames(world).get(world.random.nextInt(3));
      world.removeForGood(second);
      assertHealthy(world, "seed " + seed + ", " + first + " then " + second + " lost");
    }
  }

  /**
   * Two of five members are lost while one is replaced, at any step, with or without their disks.
   */
  @Test
  void aChangeOfMembersIsFinishedWhateverIsLostAtAnyStepOfIt() {
    for (int ms = 0; ms <= 180; ms += 3) {
      Simulation world = startSettled(ms, 8, OF_FIVE);
      List<String> before = voterNames(world);
      world.removeForGood(before.get(ms % 5));
      runUntil(
          world,
          CATCH_UP_OF_FIVE_MS,
          () -> world.eventLogText().contains("membership-change reason=DEAD"));
      world.run(ms);
      String second = before.get((ms + 1 + ms / 3 % 4) % 5);
      SimControlMachine control = world.controls.get(second);
      if (ms % 2 == 0) control.cutPower();
      else control.replaceDisk("again-" + ms);
      world.run(700);
      control.start();
      runUntil(world, CATCH_UP_OF_FIVE_MS, world::allMembersActive);
      assertHealthy(world, second + " lost " + ms + " ms after the change began");
      Assertions.assertEquals(5, world.newestMembers().all().size(), world.eventLogText());
    }
  }

  @Test
  void theCoreGrowsThoughAFounderDiesRightAfterTheFirstStart() {
    for (int ms = 100; ms <= 4000; ms += 150)
      for (boolean forGood : new boolean[] {false, true}) {
        Simulation world = new Simulation(ms, 1, 8, 3, OF_FIVE);
        if (forGood) runUntil(world, 4000, () -> world.newestGeneration() > 0);
        world.run(ms);
        String founder = "c" + (1 + ms / 150 % 3);
        world.controls.get(founder).cutPower();
        if (forGood) world.departed.add(founder);
        world.run(1500);
        if (!forGood) world.controls.get(founder).start();
        runUntil(
            world, 8000, () -> world.newestMembers().all().size() == 5 && world.allMembersActive());
        assertHealthy(world, founder + " lost after " + ms + (forGood ? " for good" : ""));
      }
  }

  /** No running member remembers the replaced one, which was down when its place was taken. */
  @Test
  void aMemberReplacedWhileItWasDownLearnsItThoughAllOthersWereRestarted() {
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = startSettled(seed, 4, OF_THREE);
      String old = voterNames(world).get((int) (seed % 3));
      world.controls.get(old).cutPower();
      runUntil(
          world, CATCH_UP_OF_THREE_MS, () -> !isMember(world, old) && world.allMembersActive());
      for (SimControlMachine control : world.controls.values())
        if (!control.name.equals(old)) control.cutPower();
      world.run(500);
      for (SimControlMachine control : world.controls.values()) control.start();
      long tookMs = runUntil(world, 4000, () -> world.controls.get(old).node.isRetired());
      Assertions.assertTrue(tookMs <= 2500, tookMs + " ms until it knows\n" + world.eventLogText());
      // it is admitted again when needed, with the state on its disk
      String next = voterNames(world).get(0);
      world.removeForGood(next);
      runUntil(world, CATCH_UP_OF_THREE_MS, () -> isMember(world, old) && world.allMembersActive());
      assertHealthy(world, old + " replaced, then in for " + next);
    }
  }

  /**
   * The member is cut off while others are replaced, and a member holding the state is lost as it
   * returns.
   */
  @Test
  void aMemberThatWasCutOffIsInTheNewestGenerationSoonAfterItIsBack() {
    long longestMs = 0;
    for (long seed = 1; seed <= 8; seed++) {
      Simulation world = startSettled(seed, 6, OF_FIVE);
      List<String> before = voterNames(world);
      String cut = before.get(0), lost = before.get(1), spare = "c6";
      world.cutOff(cut);
      world.run(900);
      world.removeForGood(lost);
      runUntil(world, CATCH_UP_OF_FIVE_MS, () -> isMember(world, spare));
      world.run(10_000);
      acknowledgeChange(world);
      Assertions.assertTrue(isMember(world, cut) != isMember(world, lost), world.eventLogText());
      world.heal(cut);
      longestMs =
          Math.max(
              longestMs, runUntil(world, CATCH_UP_OF_FIVE_MS, () -> knowsItsPlace(world, cut)));
      world.run(CATCH_UP_OF_FIVE_MS);
      assertHealthy(world, "seed " + seed);
    }
    Assertions.assertTrue(longestMs <= 1000, longestMs + " ms");
  }

  private static boolean knowsItsPlace(Simulation world, String name) {
    SimControlMachine control = world.controls.get(name);
    return isMember(world, name)
        ? control.node.members().generation() == world.newestMembers().generation()
            && control.node.isActive()
        : control.node.isRetired();
  }

  /** Value and bandwidth are scaled down by 40 from a value of 1.6 MB on links of 100 Mbit/s. */
  @Test
  void aLargeValueIsCopiedToWhoLacksItAndNotAgainWhileItIsOnItsWay() {
    long longestMs = 0, maxMs = 0;
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = startSettled(seed, 8, OF_FIVE);
      world.paddingBytes = 40_000;
      acknowledgeChange(world);
      world.run(1000);
      world.bytesPerMs = 12_500 / 40;
      world.controls.get(voterNames(world).get((int) seed % 5)).cutPower();
      runUntil(
          world,
          CATCH_UP_OF_FIVE_MS,
          () -> world.eventLogText().contains("membership-change reason=DEAD"));
      world.membershipBytes = 0;
      longestMs =
          Math.max(longestMs, runUntil(world, CATCH_UP_OF_FIVE_MS, world::allMembersActive));
      world.run(1000);
      maxMs = Math.max(maxMs, world.membershipBytes);
      world.bytesPerMs = 0;
      assertHealthy(world, "seed " + seed);
    }
    Assertions.assertTrue(longestMs <= 600, longestMs + " ms, " + maxMs + " bytes");
    Assertions.assertTrue(maxMs <= 12 * 40_000, longestMs + " ms, " + maxMs + " bytes");
  }
}
