package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Explores every run from a scenario's first state up to a depth. A member's state follows from
 * what it received. Two runs in which every process received the same in the same order, with equal
 * disks, equal messages in flight and equal data to check, therefore continue alike, and only one
 * of them is followed; the order of events at different members does not matter. Members cannot be
 * copied, so each run is replayed from its beginning.
 *
 * <p>The search is breadth first, so a counterexample has as few moves as possible.
 */
final class Exploration {
  /** Several steps that count as one. kind: the limit of the menu that the move counts against. */
  private record Move(Kind kind, List<Step> steps) {}

  private enum Kind {
    DELIVERY,
    TICK,
    PROPOSAL,
    READ,
    CRASH,
    WIPE
  }

  private record Run(Run previous, Move move) {}

  /** depth: the depth that was fully explored; moves: how often a state was extended by a move. */
  record Result(
      String scenario,
      int depth,
      long states,
      long moves,
      double seconds,
      List<Step> broken,
      Rules.Broken rule) {
    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%s: all runs of %d moves, %d states, %d moves, %.0f moves a second; %s",
          scenario,
          depth,
          states,
          moves,
          moves / seconds,
          rule == null ? "no rule broken" : rule.toString());
    }
  }

  private final Scenario scenario;
  private final Consumer<CheckedWorld> visited;
  private final Set<Long> seenStates = new HashSet<>();
  private List<Run> frontier = new ArrayList<>();
  private long moveCount;
  private List<Step> brokenRun;
  private Rules.Broken brokenRule;

  private Exploration(Scenario scenario, Consumer<CheckedWorld> visited) {
    this.scenario = scenario;
    this.visited = visited;
  }

  /** Explores up to a depth, and no deeper once this many states were found. */
  static Result explore(Scenario scenario, int depth, long maxStates) {
    return explore(scenario, depth, maxStates, world -> {});
  }

  /**
   * Explores likewise and passes the world to the consumer after each move, in the order of the
   * exploration.
   */
  static Result explore(
      Scenario scenario, int depth, long maxStates, Consumer<CheckedWorld> visited) {
    Exploration exploration = new Exploration(scenario, visited);
    long startNs = System.nanoTime();
    Run first = new Run(null, null);
    exploration.frontier.add(first);
    exploration.seenStates.add(exploration.stateKey(exploration.replay(first), first));
    int reachedDepth = 0;
    while (reachedDepth < depth
        && exploration.brokenRule == null
        && exploration.seenStates.size() < maxStates
        && exploration.exploreNextDepth()) reachedDepth++;
    double seconds = (System.nanoTime() - startNs) / 1e9;
    return new Result(
        scenario.name(),
        reachedDepth,
        exploration.seenStates.size(),
        exploration.moveCount,
        seconds,
        exploration.brokenRun,
        exploration.brokenRule);
  }

  private boolean exploreNextDepth() {
    List<Run> next = new ArrayList<>();
    for (Run run : frontier)
      for (Move move : moves(run)) {
        Run extended = new Run(run, move);
        CheckedWorld world = replay(extended);
        moveCount++;
        visited.accept(world);
        if (world.rules.brokenRule() != null) {
          brokenRun = stepsOf(extended);
          brokenRule = world.rules.brokenRule();
          return false;
        }
        if (seenStates.add(stateKey(world, extended))) next.add(extended);
      }
    frontier = next;
    return !next.isEmpty();
  }

  private CheckedWorld replay(Run run) {
    CheckedWorld world = CheckedWorld.forExploration(scenario.setup());
    for (Step step : stepsOf(run)) Replay.apply(world, step);
    return world;
  }

  private List<Step> stepsOf(Run run) {
    List<Run> runs = new ArrayList<>();
    for (Run part = run; part.previous != null; part = part.previous) runs.add(0, part);
    List<Step> steps = new ArrayList<>(scenario.prefix());
    for (Run part : runs) steps.addAll(part.move.steps);
    return steps;
  }

  /**
   * Returns the digest of a state. It includes the moves used so far, since they limit what may
   * follow.
   */
  private long stateKey(CheckedWorld world, Run run) {
    long hash = world.digest();
    for (Kind kind : Kind.values())
      if (kind != Kind.DELIVERY) hash = HashMixer.mix(hash, countUsed(run, kind));
    return hash;
  }

  private static int countUsed(Run run, Kind kind) {
    int count = 0;
    for (Run part = run; part.previous != null; part = part.previous)
      if (part.move.kind == kind) count++;
    return count;
  }

  private List<Move> moves(Run run) {
    CheckedWorld world = replay(run);
    List<Move> moves = new ArrayList<>();
    boolean mayCrash = countUsed(run, Kind.CRASH) < scenario.menu().maxCrashes();
    addDeliveries(world, mayCrash, moves);
    for (CheckedMachine machine : world.machines()) {
      if (countUsed(run, Kind.TICK) < scenario.menu().maxTicks())
        for (int durationMs : scenario.menu().tickDurationsMs())
          moves.add(withSync(Kind.TICK, Step.on(Step.Kind.TICK, machine.name, durationMs)));
      if (mayCrash) moves.add(crashMove(machine.name, List.of()));
      if (countUsed(run, Kind.WIPE) < scenario.menu().maxWipes()) addWipes(world, machine, moves);
      if (machine.isRunning() && machine.node.owns(StateKeys.CONFIGURATION))
        addOperatorMoves(machine, run, moves);
    }
    return moves;
  }

  private void addDeliveries(CheckedWorld world, boolean mayCrash, List<Move> moves) {
    Set<Long> seenDigests = new HashSet<>();
    List<InFlightMessage> messages = world.network.inFlight();
    for (int index = 0; index < messages.size(); index++) {
      InFlightMessage message = messages.get(index);
      if (!scenario.menu().messageTypes().contains(message.type())
          || !seenDigests.add(message.digest())) continue;
      Step step = world.network.step(Step.Kind.DELIVER, index);
      moves.add(withSync(Kind.DELIVERY, step));
      if (mayCrash) moves.add(crashMove(message.to(), List.of(step)));
    }
  }

  private void addOperatorMoves(CheckedMachine machine, Run run, List<Move> moves) {
    String key = StateKeys.CONFIGURATION;
    if (countUsed(run, Kind.PROPOSAL) < scenario.menu().maxProposals())
      moves.add(withSync(Kind.PROPOSAL, Step.key(Step.Kind.PROPOSE, machine.name, key, 1)));
    if (countUsed(run, Kind.READ) < scenario.menu().maxReads())
      moves.add(withSync(Kind.READ, Step.key(Step.Kind.READ, machine.name, key, 0)));
  }

  private void addWipes(CheckedWorld world, CheckedMachine machine, List<Move> moves) {
    if (world.setup.isFounded() || scenario.mayJoin()) addWipes(world, machine, 0, moves);
    if (!world.setup.isFounded()) addWipes(world, machine, Step.BOOTSTRAP_AGAIN, moves);
  }

  private static void addWipes(
      CheckedWorld world, CheckedMachine machine, long flags, List<Move> moves) {
    if (!machine.hasDisk || !world.faultBudget.mayWipe(machine, flags != 0)) return;
    Step wipe = Step.on(Step.Kind.WIPE, machine.name, flags);
    moves.add(new Move(Kind.WIPE, List.of(wipe, Step.on(Step.Kind.RESTART, machine.name))));
  }

  /**
   * Returns a move in which everything the step writes, and what follows from that at the same
   * machine, becomes durable at once.
   */
  private static Move withSync(Kind kind, Step step) {
    Step sync = Step.on(Step.Kind.SYNC, step.machine());
    return new Move(kind, List.of(step, sync, sync));
  }

  private static Move crashMove(String machine, List<Step> before) {
    List<Step> steps = new ArrayList<>(before);
    steps.add(Step.on(Step.Kind.CRASH, machine));
    steps.add(Step.on(Step.Kind.RESTART, machine));
    return new Move(Kind.CRASH, steps);
  }
}
