package gladelug.emulator.check;

import java.util.function.Supplier;

/**
 * Random walks of the model checker, to test a core with an injected fault. Returns the rule broken
 * in the first walk that breaks one, with the number of steps of all walks up to it.
 */
final class RandomWalkScenario implements Supplier<String> {
  private static final int MEMBERS = 3;
  private static final int WALKS = 240;
  private static final int STEPS_PER_WALK = 1200;

  @Override
  public String get() {
    long walked = 0;
    for (int seed = 0; seed < WALKS; seed++) {
      Setup setup = ModelCheck.setup(MEMBERS, seed);
      RandomWalk.Result result = RandomWalk.run(setup, seed, STEPS_PER_WALK);
      walked += result.steps().size();
      if (result.broken() != null)
        return "seed " + seed + ", after " + walked + " steps: " + result.broken();
    }
    return "";
  }
}
