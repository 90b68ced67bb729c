package gladelug.emulator.check;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** Runs the model checker for the command "fleet-emulator check" and reports the result. */
public final class ModelCheck {
  /** members: size of the core; seed: seed of the first walk; steps: steps of each walk. */
  public record Options(int members, long seed, int walks, int steps) {}

  private ModelCheck() {}

  /** Returns the names of the rules that can be disabled. */
  public static List<String> mutations() {
    return Arrays.stream(Mutation.values()).map(Enum::name).toList();
  }

  /**
   * Runs random walks and returns whether no rule was broken. Reports the totals, or the first
   * counterexample as a table. mutation: the protocol rule to disable, or NONE.
   */
  public static boolean run(Options options, String mutation, Consumer<String> output) {
    return run(options, Mutation.valueOf(mutation), output);
  }

  private static boolean run(Options options, Mutation mutation, Consumer<String> output) {
    long startNs = System.nanoTime(), steps = 0, acknowledged = 0, reads = 0, generations = 0;
    for (int i = 0; i < options.walks; i++) {
      long seed = options.seed + i;
      Setup setup = setup(options.members, seed).with(mutation);
      RandomWalk.Result result = RandomWalk.run(setup, seed, options.steps);
      steps += result.steps().size();
      acknowledged += result.acknowledgedCount();
      reads += result.readCount();
      generations += result.generation();
      if (result.broken() == null) continue;
      output.accept("seed " + seed + ", step " + result.steps().size() + ": " + result.broken());
      List<Step> shortened = Replay.shrink(setup, result.steps(), result.broken().rule());
      output.accept(shortened.size() + " steps reproduce it\n" + StepTable.draw(setup, shortened));
      return false;
    }
    double seconds = (System.nanoTime() - startNs) / 1e9;
    output.accept(
        String.format(
            Locale.ROOT,
            "%d members, %d walks from seed %d: %d steps, %.0f a second; %d changes acknowledged, "
                + "%d reads answered, %d generations of members; no rule broken",
            options.members,
            options.walks,
            options.seed,
            steps,
            steps / seconds,
            acknowledged,
            reads,
            generations));
    return true;
  }

  /**
   * Explores every run of a number of moves from the beginning of each scenario. Returns whether no
   * rule was broken.
   */
  public static boolean explore(
      int depth, long maxStates, String mutation, Consumer<String> output) {
    Mutation mutationRule = Mutation.valueOf(mutation);
    List<Scenario> scenarios =
        List.of(
            Scenario.twoOwners(mutationRule),
            Scenario.membershipChange(mutationRule),
            Scenario.founding(mutationRule),
            Scenario.founderDiskLoss(mutationRule),
            Scenario.foundingWithWitnesses(1, mutationRule),
            Scenario.foundingWithWitnesses(3, mutationRule));
    boolean allHold = true;
    for (Scenario scenario : scenarios) {
      Exploration.Result result = Exploration.explore(scenario, depth, maxStates);
      output.accept(result.toString());
      if (result.rule() == null) continue;
      output.accept(StepTable.draw(scenario.setup(), result.broken()));
      allHold = false;
    }
    return allHold;
  }

  /**
   * Returns the setup of a walk: one in four begins with the founding, the others with a core that
   * is already founded. In half of the foundings one to all of the founders have no disk.
   */
  static Setup setup(int members, long seed) {
    if (seed % 8 == 4)
      return Setup.withWitnesses(members, 1 + (int) (seed / 8 % members), seed + 1);
    return Setup.of(members, seed % 4 != 0, seed + 1).withSpares(1 + (int) (seed % 2));
  }
}
