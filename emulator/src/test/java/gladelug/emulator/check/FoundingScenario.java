package gladelug.emulator.check;

import java.util.function.Supplier;

/**
 * Short random walks from empty disks, as a scenario for a core with a slip in its bootstrap.
 *
 * <p>The rule broken in the first walk that breaks one, with the steps of all walks up to it.
 */
final class FoundingScenario implements Supplier<String> {
  private static final int MEMBERS = 3;
  private static final int WALKS = 1500;
  private static final int STEPS_PER_WALK = 300;

  /** One seed in so many begins with the founding. */
  private static final int FOUNDING_SEEDS = 4;

  @Override
  public String get() {
    long walked = 0;
    for (int walk = 0; walk < WALKS; walk++) {
      int seed = walk * FOUNDING_SEEDS;
      RandomWalk.Result result =
          RandomWalk.run(ModelCheck.setup(MEMBERS, seed), seed, STEPS_PER_WALK);
      walked += result.steps().size();
      if (result.broken() != null)
        return "seed " + seed + ", after " + walked + " steps: " + result.broken();
    }
    return "";
  }
}
