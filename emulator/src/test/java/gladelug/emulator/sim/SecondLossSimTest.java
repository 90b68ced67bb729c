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
 * Tests of a loss that comes right after a repair, a replacement or a leave: by then the new member
 * has to hold all that was acknowledged, and what is left has to be a majority of the present set.
 * The moment of the second event is swept in small steps.
 */
final class SecondLossSimTest {
  /**
   * How long a machine still counts as lost after its start, in ms: of three voters and of five.
   */
  private static final long CATCH_UP_OF_THREE = 4000, CATCH_UP_OF_FIVE = 6000;

  /** Until a new process hears the core and is heard by it, in ms. */
  private static final long PROCESS_START = 1000;

  private static final QuorumConfig OF_THREE = deployed(3, 2000);
  private static final QuorumConfig OF_FIVE = deployed(5, 2500);

  private static QuorumConfig deployed(int voters, int replaceAfter) {
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
        .replaceDeadAfterMs(replaceAfter)
        .build();
  }

  private static Simulation settled(long seed, int machines, QuorumConfig tunables) {
    Simulation world = new Simulation(seed, 1, machines, 3, tunables);
    world.run(9000);
    Assertions.assertEquals(
        tunables.targetMembers(), world.newestMembers().all().size(), world.eventLogText());
    acknowledged(world);
    return world;
  }

  /** Runs until it is so; how long that took, in ms. */
  private static long until(Simulation world, long most, BooleanSupplier so) {
    long from = world.nowMs();
    while (!so.getAsBoolean()) {
      if (world.nowMs() - from > most)
        throw new AssertionError("not within " + most + "\n" + world.eventLogText());
      world.run(10);
    }
    return world.nowMs() - from;
  }

  /** A change is acknowledged by any machine that takes part. */
  private static void acknowledged(Simulation world) {
    List<Simulation.SentChange> sent = new ArrayList<>();
    until(
        world,
        8000,
        () -> {
          boolean taken =
              sent.stream().anyMatch(x -> x.answer()[0] instanceof ChangeResult.Acknowledged);
          boolean open = sent.stream().anyMatch(x -> x.answer()[0] == null);
          if (!taken && !open) sent.add(world.send(taking(world), StateKeys.CONFIGURATION, -1));
          return taken;
        });
  }

  /** A machine that takes part and hears a majority. */
  private static String taking(Simulation world) {
    for (SimControlMachine control : world.controls.values()) {
      if (!control.up || !control.node.isActive()) continue;
      long alive = control.node.memberLiveness().values().stream().filter(x -> x).count();
      if (alive > control.node.members().all().size() / 2) return control.name;
    }
    return world.anyRunning();
  }

  private static boolean member(Simulation world, String name) {
    return world.newestMembers().find(name) != null;
  }

  private static List<String> voters(Simulation world) {
    return world.newestMembers().all().stream().map(MemberSet.Member::name).toList();
  }

  private static void well(Simulation world, String what) {
    world.run(6000);
    acknowledged(world);
    world.settle(3000);
    Assertions.assertEquals(List.of(), world.violations, what + "\n" + world.eventLogText());
  }

  @Test
  void twoVotersLostAtOnceAreBothReplacedInTimeForTwoMore() {
    long longest = 0;
    for (long seed = 1; seed <= 10; seed++) {
      Simulation world = settled(seed, 8, OF_FIVE);
      List<String> first = voters(world).subList((int) (seed % 4), (int) (seed % 4) + 2);
      for (String m : first) world.controls.get(m).cutPower();
      long took =
          until(
              world,
              CATCH_UP_OF_FIVE,
              () -> first.stream().noneMatch(m -> member(world, m)) && world.allMembersActive());
      longest = Math.max(longest, took);
      for (String m : voters(world).subList(1, 3)) world.controls.get(m).cutPower();
      well(world, "seed " + seed + " " + first);
    }
    Assertions.assertTrue(longest < CATCH_UP_OF_FIVE - PROCESS_START, longest + " ms");
  }

  /** The successor stands by; its place is taken before the old member ends. */
  @Test
  void aMemberThatLeavesEndsOnlyOnceAnyOtherMayBeLostToo() {
    long longest = 0;
    for (long seed = 1; seed <= 12; seed++) {
      for (String leaver : List.of("c1", "c2", "c3")) {
        Simulation world = settled(seed, 3, OF_THREE);
        world.addMachine("c4");
        world.run(2000 + world.random.nextInt(1000));
        world.send(taking(world), StateKeys.CONFIGURATION, -1);
        world.run(world.random.nextInt(30));
        world.controls.get(leaver).terminate();
        longest = Math.max(longest, until(world, 6000, () -> !world.controls.get(leaver).up));
        world.removeForGood(leaver);
        String second = voters(world).get(world.random.nextInt(3));
        world.removeForGood(second);
        well(world, "seed " + seed + ", " + leaver + " leaves, then " + second + " is lost");
      }
    }
    Assertions.assertTrue(longest < 2500, longest + " ms until a member that leaves may end");
  }

  @Test
  void aMemberThatLeavesAndHasNoSuccessorHandsItsKeysOnAndEndsAtOnce() {
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = settled(seed, 3, OF_THREE);
      for (String leaver : List.of("c1", "c2", "c3", "c1", "c2", "c3")) {
        SimRelay relay = world.relays.get("r1");
        relay.longestGapMs = 0;
        world.controls.get(leaver).terminate();
        long took = until(world, 6000, () -> !world.controls.get(leaver).up);
        Assertions.assertTrue(took < 500, leaver + " took " + took + "\n" + world.eventLogText());
        world.run(1500);
        acknowledged(world);
        world.controls.get(leaver).start();
        world.run(4000);
        Assertions.assertTrue(
            relay.longestGapMs < 30, relay.longestGapMs + "\n" + world.eventLogText());
      }
      Assertions.assertEquals(1, world.newestGeneration(), "restarted, not replaced");
      well(world, "seed " + seed);
    }
  }

  /** A machine that is killed while it leaves is a loss as any other. */
  @Test
  void aMemberKilledAtAnyStepOfItsLeavingIsReplacedAllTheSame() {
    for (int ms = 0; ms <= 240; ms += 4) {
      Simulation world = settled(ms, 3, OF_THREE);
      world.addMachine("c4");
      world.run(2500);
      String leaver = world.ownersOf(StateKeys.CORE);
      world.controls.get(leaver).terminate();
      world.run(ms);
      world.removeForGood(leaver);
      until(world, CATCH_UP_OF_THREE, () -> !member(world, leaver) && world.allMembersActive());
      world.removeForGood(voters(world).get(ms / 4 % 3));
      well(world, leaver + " killed " + ms + " ms after it was asked to stop");
    }
  }

  /** The old member dies as the new machine starts; what is left then loses any one for good. */
  @Test
  void anyMachineMayBeLostOnceANewOneHasHadItsTimeToCatchUp() {
    for (long seed = 1; seed <= 24; seed++) {
      Simulation world = settled(seed, 3, OF_THREE);
      String first = List.of("c1", "c2", "c3").get((int) (seed % 3));
      world.removeForGood(first);
      long start = world.nowMs();
      world.run(PROCESS_START + world.random.nextInt(300));
      world.addMachine("c4");
      world.run(start + CATCH_UP_OF_THREE - world.nowMs());
      String second = voters(world).get(world.random.nextInt(3));
      world.removeForGood(second);
      well(world, "seed " + seed + ", " + first + " then " + second + " lost");
    }
  }

  /** Of five, two are lost while one is replaced: at any step, with the disk or without. */
  @Test
  void aChangeOfMembersIsFinishedWhateverIsLostAtAnyStepOfIt() {
    for (int ms = 0; ms <= 180; ms += 3) {
      Simulation world = settled(ms, 8, OF_FIVE);
      List<String> before = voters(world);
      world.removeForGood(before.get(ms % 5));
      until(
          world,
          CATCH_UP_OF_FIVE,
          () -> world.eventLogText().contains("membership-change reason=DEAD"));
      world.run(ms);
      String second = before.get((ms + 1 + ms / 3 % 4) % 5);
      SimControlMachine control = world.controls.get(second);
      if (ms % 2 == 0) control.cutPower();
      else control.replaceDisk("again-" + ms);
      world.run(700);
      control.start();
      until(world, CATCH_UP_OF_FIVE, world::allMembersActive);
      well(world, second + " lost " + ms + " ms after the change began");
      Assertions.assertEquals(5, world.newestMembers().all().size(), world.eventLogText());
    }
  }

  @Test
  void theCoreGrowsThoughAFounderDiesRightAfterTheFirstStart() {
    for (int ms = 100; ms <= 4000; ms += 150)
      for (boolean forGood : new boolean[] {false, true}) {
        Simulation world = new Simulation(ms, 1, 8, 3, OF_FIVE);
        if (forGood) until(world, 4000, () -> world.newestGeneration() > 0);
        world.run(ms);
        String founder = "c" + (1 + ms / 150 % 3);
        world.controls.get(founder).cutPower();
        if (forGood) world.departed.add(founder);
        world.run(1500);
        if (!forGood) world.controls.get(founder).start();
        until(
            world, 8000, () -> world.newestMembers().all().size() == 5 && world.allMembersActive());
        well(world, founder + " lost after " + ms + (forGood ? " for good" : ""));
      }
  }

  /** Nobody who is up remembers it, and it was down when its place was taken. */
  @Test
  void aMemberReplacedWhileItWasDownLearnsItThoughAllOthersWereRestarted() {
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = settled(seed, 4, OF_THREE);
      String old = voters(world).get((int) (seed % 3));
      world.controls.get(old).cutPower();
      until(world, CATCH_UP_OF_THREE, () -> !member(world, old) && world.allMembersActive());
      for (SimControlMachine control : world.controls.values())
        if (!control.name.equals(old)) control.cutPower();
      world.run(500);
      for (SimControlMachine control : world.controls.values()) control.start();
      long took = until(world, 4000, () -> world.controls.get(old).node.isRetired());
      Assertions.assertTrue(took <= 2500, took + " ms until it knows\n" + world.eventLogText());
      // and it is taken in again where it is wanted, with what it had on its disk
      String next = voters(world).get(0);
      world.removeForGood(next);
      until(world, CATCH_UP_OF_THREE, () -> member(world, old) && world.allMembersActive());
      well(world, old + " replaced, then in for " + next);
    }
  }

  /**
   * It was cut off while others were replaced, and one of those that held is lost as it returns.
   */
  @Test
  void aMemberThatWasCutOffIsInTheNewestGenerationSoonAfterItIsBack() {
    long longest = 0;
    for (long seed = 1; seed <= 8; seed++) {
      Simulation world = settled(seed, 6, OF_FIVE);
      List<String> before = voters(world);
      String cut = before.get(0), lost = before.get(1), spare = "c6";
      world.cutOff(cut);
      world.run(900);
      world.removeForGood(lost);
      until(world, CATCH_UP_OF_FIVE, () -> member(world, spare));
      world.run(10_000);
      acknowledged(world);
      Assertions.assertTrue(member(world, cut) != member(world, lost), world.eventLogText());
      world.heal(cut);
      longest = Math.max(longest, until(world, CATCH_UP_OF_FIVE, () -> knowsItsPlace(world, cut)));
      world.run(CATCH_UP_OF_FIVE);
      well(world, "seed " + seed);
    }
    Assertions.assertTrue(longest <= 1000, longest + " ms");
  }

  private static boolean knowsItsPlace(Simulation world, String name) {
    SimControlMachine control = world.controls.get(name);
    return member(world, name)
        ? control.node.members().generation() == world.newestMembers().generation()
            && control.node.isActive()
        : control.node.isRetired();
  }

  /**
   * Forty times smaller than a value of 1.6 MB on links of 100 Mbit/s, with the link as much
   * narrower.
   */
  @Test
  void aLargeValueIsCopiedToWhoLacksItAndNotAgainWhileItIsOnItsWay() {
    long longest = 0, most = 0;
    for (long seed = 1; seed <= 6; seed++) {
      Simulation world = settled(seed, 8, OF_FIVE);
      world.paddingBytes = 40_000;
      acknowledged(world);
      world.run(1000);
      world.bytesPerMs = 12_500 / 40;
      world.controls.get(voters(world).get((int) seed % 5)).cutPower();
      until(
          world,
          CATCH_UP_OF_FIVE,
          () -> world.eventLogText().contains("membership-change reason=DEAD"));
      world.membershipBytes = 0;
      longest = Math.max(longest, until(world, CATCH_UP_OF_FIVE, world::allMembersActive));
      world.run(1000);
      most = Math.max(most, world.membershipBytes);
      world.bytesPerMs = 0;
      well(world, "seed " + seed);
    }
    Assertions.assertTrue(longest <= 600, longest + " ms, " + most + " bytes");
    Assertions.assertTrue(most <= 12 * 40_000, longest + " ms, " + most + " bytes");
  }
}
