package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Injects each kind of fault on a member chosen by the seed, often the owner of the configuration,
 * and ends it after a while. Disks are lost and machines removed only while the member set
 * tolerates it.
 */
final class FaultInjector {
  private static final int MAX_DELAY_AFTER_ACKNOWLEDGEMENT_MS = 400;
  private static final int MAX_MACHINES = 16;

  private final Simulation sim;
  private final OperatorCalls calls;
  private final Random random;
  private int diskCount;

  FaultInjector(Simulation sim, OperatorCalls calls, Random random) {
    this.sim = sim;
    this.calls = calls;
    this.random = random;
  }

  /** Injects a fault now; it ends by itself. */
  void inject(FaultKind kind) {
    SimControlMachine member = randomMember();
    sim.log("sim", kind + " " + member.name);
    switch (kind) {
      case ONE_WAY_CUT -> oneWayCut(member);
      case SHORT_CUT -> cutOff(member, between(300, 8000));
      case LONG_CUT -> cutOff(member, between(17_000, 35_000));
      case FLAPPING_CUT -> flapLinks(member, between(4, 12));
      case CUT_WITH_RESETS -> cutWithResets(member, between(300, 12_000));
      case CONNECTIONS_RESET -> cutWithResets(member, 1);
      case SPLIT -> split();
      case POWER_AFTER_ACKNOWLEDGEMENT -> powerAfterAcknowledgement(member);
      case WIPE_AFTER_ACKNOWLEDGEMENT -> afterAcknowledgement(() -> wipe(member));
      case KILL -> stopFor(member, random.nextBoolean(), between(100, 4000));
      case REPLACEMENT -> replace(member);
      case TURNOVER -> replaceAll();
      case CLOCK_STEP -> member.stepClock(between(20, 20_000));
      case FREEZE -> pauseFor(member);
      case DISK_STALL -> stallDisk(member);
      case DISK_SLOW -> slowDisk(member);
      case DISK_FULL -> fillDisk(member);
      case ALL_LOSE_POWER -> stopAll(true);
      case ALL_KILLED -> stopAll(false);
    }
  }

  /** Injects the closing fault of a run right after an acknowledgement. */
  void injectClosingFault(int tolerated) {
    calls.onNextAcknowledgement(
        () -> {
          switch (random.nextInt(4)) {
            case 0 -> stopAll(true);
            case 1 -> stopAll(false);
            case 2 -> wipeAsManyAsTolerated(tolerated, false);
            default -> wipeAsManyAsTolerated(tolerated, true);
          }
        });
  }

  /** Ends all faults that would end by themselves. */
  void repairAll() {
    sim.healAll();
    for (SimControlMachine control : presentMachines()) {
      control.storage.extraSyncMs = 0;
      control.storage.full = false;
      control.storage.stalled = false;
      if (!control.up) control.start();
      else {
        control.storage.startWrite(sim, control);
        if (control.paused) control.resume();
      }
    }
  }

  private int between(int min, int max) {
    return min + random.nextInt(max - min);
  }

  private List<SimControlMachine> presentMachines() {
    return sim.controls.values().stream()
        .filter(control -> !sim.departed.contains(control.name))
        .toList();
  }

  private SimControlMachine randomMember() {
    List<SimControlMachine> present = presentMachines();
    if (random.nextBoolean())
      for (SimControlMachine control : present)
        if (control.up && control.node.owns(StateKeys.CONFIGURATION)) return control;
    return present.get(random.nextInt(present.size()));
  }

  private void oneWayCut(SimControlMachine member) {
    boolean isOutgoing = random.nextBoolean();
    List<String> others = new ArrayList<>(sim.controlNames());
    others.remove(member.name);
    if (random.nextBoolean()) others = List.of(others.get(random.nextInt(others.size())));
    for (String other : others) {
      if (isOutgoing) sim.cutLink(member.name, other);
      else sim.cutLink(other, member.name);
    }
    sim.after(between(1000, 12_000), () -> sim.heal(member.name));
  }

  private void cutOff(SimControlMachine member, long durationMs) {
    sim.cutOff(member.name);
    sim.after(durationMs, () -> sim.heal(member.name));
  }

  /** Answers every packet with a reset, which ends the connections. */
  private void cutWithResets(SimControlMachine member, long durationMs) {
    sim.cutWithResets(member.name);
    sim.after(durationMs, () -> sim.heal(member.name));
  }

  private void flapLinks(SimControlMachine member, int times) {
    if (times == 0) return;
    sim.cutOff(member.name);
    sim.after(
        between(100, 1500),
        () -> {
          sim.heal(member.name);
          sim.after(between(50, 1500), () -> flapLinks(member, times - 1));
        });
  }

  private void split() {
    Set<String> side = new HashSet<>();
    for (String name : sim.controlNames()) if (random.nextBoolean()) side.add(name);
    sim.split(side);
    sim.after(between(1000, 15_000), sim::healAll);
  }

  private void afterAcknowledgement(Runnable action) {
    calls.onNextAcknowledgement(
        () -> sim.after(random.nextInt(MAX_DELAY_AFTER_ACKNOWLEDGEMENT_MS + 1), action));
  }

  private void powerAfterAcknowledgement(SimControlMachine member) {
    int otherCount = random.nextInt(3);
    afterAcknowledgement(
        () -> {
          stopFor(member, true, between(200, 3000));
          int remaining = otherCount;
          for (SimControlMachine other : presentMachines())
            if (other != member && remaining-- > 0) stopFor(other, true, between(200, 3000));
        });
  }

  private void stopFor(SimControlMachine member, boolean cutsPower, long durationMs) {
    if (cutsPower) member.cutPower();
    else member.kill();
    sim.after(
        durationMs,
        () -> {
          if (!member.up && !sim.departed.contains(member.name)) member.start();
        });
  }

  private void wipe(SimControlMachine member) {
    if (sim.departed.contains(member.name) || !sim.mayLose(member.name)) return;
    sim.onDiskLost(member.name);
    member.replaceDisk("disk-" + ++diskCount + "-of-" + member.name);
    stopFor(member, false, between(100, 3000));
  }

  private void replace(SimControlMachine member) {
    if (sim.controls.size() >= MAX_MACHINES || !sim.mayLose(member.name)) return;
    boolean planned = random.nextBoolean();
    if (planned) {
      sim.addMachine("c" + (sim.controls.size() + 1));
      sim.after(between(500, 5000), () -> removeForGood(member));
    } else if (removeForGood(member))
      sim.after(between(500, 5000), () -> sim.addMachine("c" + (sim.controls.size() + 1)));
  }

  private boolean removeForGood(SimControlMachine member) {
    if (sim.departed.contains(member.name) || !sim.mayLose(member.name)) return false;
    sim.removeForGood(member.name);
    return true;
  }

  /** Replaces every present machine, one after the other, each as soon as the core tolerates it. */
  private void replaceAll() {
    replaceAll(new ArrayList<>(presentMachines()));
  }

  private void replaceAll(List<SimControlMachine> remaining) {
    if (remaining.isEmpty() || sim.controls.size() >= MAX_MACHINES) return;
    SimControlMachine member = remaining.get(0);
    if (sim.mayLose(member.name)) {
      remaining.remove(0);
      sim.addMachine("c" + (sim.controls.size() + 1));
      sim.after(between(100, 2000), () -> removeForGood(member));
    }
    sim.after(between(2000, 6000), () -> replaceAll(remaining));
  }

  private void pauseFor(SimControlMachine member) {
    member.pause();
    sim.after(between(300, 12_000), member::resume);
  }

  private void stallDisk(SimControlMachine member) {
    member.storage.stalled = true;
    sim.after(
        between(300, 6000),
        () -> {
          member.storage.stalled = false;
          member.storage.startWrite(sim, member);
        });
  }

  private void slowDisk(SimControlMachine member) {
    member.storage.extraSyncMs = between(30, 500);
    sim.after(between(1000, 8000), () -> member.storage.extraSyncMs = 0);
  }

  private void fillDisk(SimControlMachine member) {
    member.storage.full = true;
    sim.after(between(500, 8000), () -> member.storage.full = false);
  }

  private void stopAll(boolean cutsPower) {
    for (SimControlMachine member : presentMachines())
      stopFor(member, cutsPower, between(100, 2000));
  }

  private void wipeAsManyAsTolerated(int tolerated, boolean othersLosePower) {
    List<SimControlMachine> members = new ArrayList<>(presentMachines());
    int remaining = tolerated;
    for (SimControlMachine member : members) {
      boolean isWiped = remaining > 0 && sim.mayLose(member.name);
      if (isWiped) {
        remaining--;
        wipe(member);
      } else if (othersLosePower) stopFor(member, true, between(200, 1500));
    }
  }
}
