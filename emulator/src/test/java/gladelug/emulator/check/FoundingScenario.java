package gladelug.emulator.check;

import java.util.function.Supplier;

/**
 * Short random walks from empty disks, to test a core with an injected fault in its bootstrap.
 * Returns the rule broken in the first walk that breaks one, with the number of steps of all walks
 * up to it.
 */
final class FoundingScenario implements Supplier<String> {
  private static final int MEMBERS = 3;
  private static final int WALKS = 1500;
  private static final int STEPS_PER_WALK = 300;

  /** Distance between seeds whose walks begin with the founding. */
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
