package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A seeded random run of a checked core. A run consists of phases of random length. Each phase
 * chooses anew which machines are stopped, which links are cut, how eagerly disks sync, and how
 * often rare steps happen.
 */
final class RandomWalk {
  /** The result of a run. */
  record Result(
      Setup setup,
      List<Step> steps,
      Rules.Broken broken,
      int acknowledgedCount,
      int readCount,
      long generation) {}

  private static final int MAX_PHASE_STEPS = 3000;
  private static final int[] USUAL_TICKS_MS = {30, 100, 160, 160};
  private static final int[] LONG_TICKS_MS = {600, 1200, 3000, 9000};

  private final CheckedWorld world;
  private final Setup setup;
  private final Random random;
  private final List<Step> steps = new ArrayList<>();
  private final Set<String> stoppedMachines = new HashSet<>();
  private final Set<String> cutLinks = new HashSet<>();
  private int stepsLeftInPhase;
  private boolean isOrderly;
  private int nextMachine;
  private double rareStepRate;
  private double lossRate;
  private double syncRate;

  private RandomWalk(Setup setup, long seed) {
    this.setup = setup;
    this.world = CheckedWorld.forReplay(setup, false);
    this.random = new Random(seed);
  }

  /** Runs up to the given number of steps, or until a rule is broken. */
  static Result run(Setup setup, long seed, int steps) {
    RandomWalk walk = new RandomWalk(setup, seed);
    while (walk.steps.size() < steps && walk.world.rules.brokenRule() == null) walk.step();
    CheckedWorld world = walk.world;
    Recovery.run(world);
    return new Result(
        setup,
        walk.steps,
        world.rules.brokenRule(),
        world.operators.acknowledgedCount(),
        world.operators.readCount(),
        world.rules.newestGeneration());
  }

  /**
   * Returns the steps after which the condition holds for the first time, or null if it never does.
   */
  static List<Step> stepsUntil(
      Setup setup, long seed, int steps, Predicate<CheckedWorld> condition) {
    RandomWalk walk = new RandomWalk(setup, seed);
    while (walk.steps.size() < steps && walk.world.rules.brokenRule() == null) {
      walk.step();
      if (condition.test(walk.world)) return walk.steps;
    }
    return null;
  }

  private void step() {
    if (stepsLeftInPhase-- <= 0) startPhase();
    Step step = chooseStep();
    if (step != null && Replay.apply(world, step)) steps.add(step);
  }

  private void startPhase() {
    stepsLeftInPhase = 1 + random.nextInt(1 + random.nextInt(MAX_PHASE_STEPS));
    stoppedMachines.clear();
    cutLinks.clear();
    boolean isCalm = random.nextInt(3) == 0;
    isOrderly = random.nextInt(3) > 0;
    rareStepRate = isCalm ? 0.001 : 0.02 * random.nextDouble() * random.nextDouble();
    lossRate = isCalm ? 0 : 0.3 * random.nextDouble() * random.nextDouble();
    syncRate = isCalm ? 0.5 : 0.05 + 0.45 * random.nextDouble();
    if (isCalm) return;
    if (random.nextBoolean()) isolate(randomMachine());
    else cutRandomLinks();
  }

  /** Cuts one machine off, and perhaps stops its timers. */
  private void isolate(CheckedMachine isolated) {
    if (random.nextBoolean()) stoppedMachines.add(isolated.name);
    for (CheckedMachine other : world.machines()) {
      cutLinks.add(isolated.name + other.name);
      cutLinks.add(other.name + isolated.name);
    }
  }

  private void cutRandomLinks() {
    for (CheckedMachine machine : world.machines()) {
      if (random.nextInt(5) == 0) stoppedMachines.add(machine.name);
      for (CheckedMachine other : world.machines())
        if (random.nextInt(8) == 0) cutLinks.add(machine.name + other.name);
    }
  }

  private Step chooseStep() {
    if (random.nextDouble() < rareStepRate) return rareStep();
    if (random.nextDouble() < 0.05) return operatorStep();
    if (isOrderly) return orderlyStep();
    CheckedMachine machine = randomMachine();
    if (!machine.isRunning())
      return random.nextInt(10) == 0 ? Step.on(Step.Kind.RESTART, machine.name) : null;
    if (machine.disk.pendingWrites() > 0 && random.nextDouble() < syncRate)
      return syncStep(machine);
    int messages = world.network.inFlight().size();
    if (random.nextInt(messages + 6) < messages) return networkStep();
    if (stoppedMachines.contains(machine.name) && random.nextInt(30) > 0) return null;
    return tick(machine);
  }

  /** Chooses the next step without races: writes and messages in order, and timers in turn. */
  private Step orderlyStep() {
    for (CheckedMachine machine : world.machines())
      if (machine.isRunning()
          && machine.disk.pendingWrites() > 0
          && !stoppedMachines.contains(machine.name)) return Step.on(Step.Kind.SYNC, machine.name);
    if (!world.network.inFlight().isEmpty()) {
      InFlightMessage message = world.network.inFlight().get(0);
      boolean isLost =
          cutLinks.contains(message.from() + message.to()) || random.nextDouble() < lossRate;
      return world.network.step(isLost ? Step.Kind.DROP : Step.Kind.DELIVER, 0);
    }
    List<CheckedMachine> all = world.machines();
    CheckedMachine machine = all.get(nextMachine++ % all.size());
    if (!machine.isRunning())
      return random.nextInt(10) == 0 ? Step.on(Step.Kind.RESTART, machine.name) : null;
    return stoppedMachines.contains(machine.name) ? null : tick(machine);
  }

  private CheckedMachine randomMachine() {
    List<CheckedMachine> all = world.machines();
    return all.get(random.nextInt(all.size()));
  }

  private Step tick(CheckedMachine machine) {
    int[] durationsMs = random.nextInt(40) == 0 ? LONG_TICKS_MS : USUAL_TICKS_MS;
    return Step.on(Step.Kind.TICK, machine.name, durationsMs[random.nextInt(durationsMs.length)]);
  }

  private Step syncStep(CheckedMachine machine) {
    int pending = machine.disk.pendingWrites();
    long writeCount = random.nextInt(4) == 0 ? 1 + random.nextInt(pending) : 0;
    return Step.on(Step.Kind.SYNC, machine.name, writeCount);
  }

  private Step networkStep() {
    List<InFlightMessage> messages = world.network.inFlight();
    int index = random.nextInt(messages.size());
    if (random.nextInt(3) > 0) index = random.nextInt(index + 1);
    InFlightMessage message = messages.get(index);
    boolean isLost =
        cutLinks.contains(message.from() + message.to()) || random.nextDouble() < lossRate;
    Step.Kind kind =
        isLost ? Step.Kind.DROP : random.nextInt(25) == 0 ? Step.Kind.DUPLICATE : Step.Kind.DELIVER;
    return world.network.step(kind, index);
  }

  private Step operatorStep() {
    CheckedMachine machine =
        random.nextBoolean() ? randomMachine() : randomOwner(StateKeys.CONFIGURATION);
    if (random.nextInt(6) == 0) return Step.on(Step.Kind.RESEND, machine.name, random.nextInt(6));
    if (random.nextBoolean())
      return Step.key(Step.Kind.PROPOSE, machine.name, StateKeys.CONFIGURATION, random.nextInt(2));
    List<String> keys = setup.keys();
    return Step.key(Step.Kind.READ, machine.name, keys.get(random.nextInt(keys.size())), 0);
  }

  private Step rareStep() {
    CheckedMachine machine = randomMachine();
    return switch (random.nextInt(10)) {
      case 0, 1, 2, 3 ->
          Step.on(Step.Kind.CRASH, machine.name, random.nextInt(machine.disk.pendingWrites() + 1));
      case 4, 5, 6 -> Step.on(Step.Kind.WIPE, machine.name, random.nextInt(4));
      case 7 -> Step.on(Step.Kind.HEALTH, machine.name, random.nextInt(3) == 0 ? 0 : 1);
      default -> replaceStep();
    };
  }

  /** Returns a random machine that considers itself the owner, or any machine if there is none. */
  private CheckedMachine randomOwner(String key) {
    List<CheckedMachine> owners = new ArrayList<>();
    for (CheckedMachine machine : world.machines())
      if (machine.isRunning() && machine.node.owns(key)) owners.add(machine);
    return owners.isEmpty() ? randomMachine() : owners.get(random.nextInt(owners.size()));
  }

  private Step replaceStep() {
    CheckedMachine owner = randomOwner(StateKeys.CORE);
    if (!owner.isRunning()) return null;
    List<MemberSet.Member> members = owner.node.members().all();
    List<MemberSet.Member> candidates = owner.node.joinCandidates();
    if (members.isEmpty() || candidates.isEmpty()) return null;
    String leaving = members.get(random.nextInt(members.size())).name();
    return new Step(
        Step.Kind.SWAP,
        owner.name,
        leaving,
        candidates.get(random.nextInt(candidates.size())).name(),
        0);
  }
}
