/*
 * Plays given steps in a new world.
 */
package gladelug.rehearsal.check;

import java.util.ArrayList;
import java.util.List;

/** Replays and shortens runs. */
final class Replay {
  private Replay() {}

  /** Does a step; what the protocol throws breaks a rule. False where the step is not possible. */
  static boolean apply(World world, Step s) {
    try {
      return world.apply(s);
    } catch (RuntimeException e) {
      StackTraceElement at = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
      world.rules.breaks(Rules.Rule.NO_EXCEPTION, s + " at " + s.machine() + ": " + e + " " + at);
      return true;
    }
  }

  /** The world after these steps, or after the first that broke a rule. */
  static World play(Setup setup, List<Step> steps) {
    World world = World.toPlay(setup, false);
    for (Step s : steps) {
      apply(world, s);
      if (world.rules.broken() != null) break;
    }
    return world;
  }

  /** The steps with all taken out that the same rule breaks without. */
  static List<Step> shrink(Setup setup, List<Step> steps, Rules.Rule rule) {
    List<Step> shortest = new ArrayList<>(steps);
    for (int chunk = Math.max(1, shortest.size() / 2); chunk > 1; chunk /= 2)
      shortest = without(setup, shortest, rule, chunk);
    int size;
    do {
      size = shortest.size();
      shortest = without(setup, shortest, rule, 1);
    } while (shortest.size() < size);
    return shortest;
  }

  private static List<Step> without(Setup setup, List<Step> steps, Rules.Rule rule, int chunk) {
    List<Step> left = new ArrayList<>(steps);
    for (int from = left.size() - chunk; from >= 0; from -= chunk) {
      List<Step> tried = new ArrayList<>(left.subList(0, from));
      tried.addAll(left.subList(from + chunk, left.size()));
      Rules.Broken b = play(setup, tried).rules.broken();
      if (b != null && b.rule() == rule) left = tried;
    }
    return left;
  }
}
