package gladelug.emulator.check;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Runs the model checker at length and says what it found.
 *
 * <p>The command fleet-emulator check.
 */
public final class ModelCheck {
  /** members of the core; walks from seed on, of so many steps each. */
  public record Options(int members, long seed, int walks, int steps) {}

  private ModelCheck() {}

  /** The rules that can be switched off, by name. */
  public static List<String> mutations() {
    return Arrays.stream(Mutation.values()).map(Enum::name).toList();
  }

  /**
   * True where no rule was broken; says how far it went and draws the first counterexample.
   * mutation: the rule of the protocol that is switched off, NONE for none.
   */
  public static boolean run(Options o, String mutation, Consumer<String> say) {
    return run(o, Mutation.valueOf(mutation), say);
  }

  private static boolean run(Options o, Mutation mutation, Consumer<String> say) {
    long begun = System.nanoTime(), steps = 0, done = 0, reads = 0, generations = 0;
    for (int i = 0; i < o.walks; i++) {
      long seed = o.seed + i;
      Setup setup = setup(o.members, seed).with(mutation);
      RandomWalk.Result r = RandomWalk.run(setup, seed, o.steps);
      steps += r.steps().size();
      done += r.done();
      reads += r.reads();
      generations += r.generation();
      if (r.broken() == null) continue;
      say.accept("seed " + seed + ", step " + r.steps().size() + ": " + r.broken());
      List<Step> few = Replay.shrink(setup, r.steps(), r.broken().rule());
      say.accept(few.size() + " steps bring it about\n" + StepTable.draw(setup, few));
      return false;
    }
    double seconds = (System.nanoTime() - begun) / 1e9;
    say.accept(
        String.format(
            Locale.ROOT,
            "%d members, %d walks from seed %d: %d steps, %.0f a second; %d changes acknowledged, "
                + "%d reads answered, %d generations of members; no rule broken",
            o.members,
            o.walks,
            o.seed,
            steps,
            steps / seconds,
            done,
            reads,
            generations));
    return true;
  }

  /**
   * Explores every run of so many moves from the beginning of each scenario; true where no rule was
   * broken.
   */
  public static boolean explore(int depth, long mostStates, String mutation, Consumer<String> say) {
    Mutation m = Mutation.valueOf(mutation);
    List<Scenario> scenarios =
        List.of(
            Scenario.twoOwners(m),
            Scenario.changeOfMembers(m),
            Scenario.founding(m),
            Scenario.lossAtTheFounding(m));
    boolean well = true;
    for (Scenario scenario : scenarios) {
      Exploration.Result r = Exploration.explore(scenario, depth, mostStates);
      say.accept(r.toString());
      if (r.rule() == null) continue;
      say.accept(StepTable.draw(scenario.setup(), r.broken()));
      well = false;
    }
    return well;
  }

  /** One walk in four begins with the founding, the others with a core that is founded. */
  static Setup setup(int members, long seed) {
    return Setup.of(members, seed % 4 != 0, seed + 1).withSpares(1 + (int) (seed % 2));
  }
}
