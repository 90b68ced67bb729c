package gladelug.emulator.check;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Replays and shortens runs. */
final class Replay {
  private Replay() {}

  /**
   * Performs a step. An exception of the protocol counts as a broken rule. Returns false where the
   * step is not possible.
   */
  static boolean apply(CheckedWorld world, Step step) {
    try {
      return world.apply(step);
    } catch (RuntimeException exception) {
      StackTraceElement location =
          exception.getStackTrace().length > 0 ? exception.getStackTrace()[0] : null;
      world.rules.report(
          Rules.Rule.NO_EXCEPTION,
          step + " at " + step.machine() + ": " + exception + " " + location);
      return true;
    }
  }

  /** Returns the world after these steps and the recovery, or when the first rule was broken. */
  static CheckedWorld replay(Setup setup, List<Step> steps) {
    CheckedWorld world = replayWithoutRecovery(setup, steps);
    Recovery.run(world);
    return world;
  }

  /** Replays the steps without the recovery. */
  static CheckedWorld replayWithoutRecovery(Setup setup, List<Step> steps) {
    CheckedWorld world = CheckedWorld.forReplay(setup, false);
    for (Step step : steps) {
      apply(world, step);
      if (world.rules.brokenRule() != null) break;
    }
    return world;
  }

  /** Removes all steps that are not needed to break the same rule. */
  static List<Step> shrink(Setup setup, List<Step> steps, Rules.Rule rule) {
    boolean beforeRecovery = replayWithoutRecovery(setup, steps).rules.brokenRule() != null;
    return shrink(
        steps,
        candidate -> {
          CheckedWorld world =
              beforeRecovery ? replayWithoutRecovery(setup, candidate) : replay(setup, candidate);
          Rules.Broken found = world.rules.brokenRule();
          return found != null && found.rule() == rule;
        });
  }

  /** Removes all steps that are not needed for the condition to hold. */
  static List<Step> shrink(List<Step> steps, Predicate<List<Step>> holds) {
    List<Step> shortest = new ArrayList<>(steps);
    for (int chunk = Math.max(1, shortest.size() / 2); chunk > 1; chunk /= 2)
      shortest = removeChunks(shortest, holds, chunk);
    int size;
    do {
      size = shortest.size();
      shortest = removeChunks(shortest, holds, 1);
    } while (shortest.size() < size);
    return shortest;
  }

  private static List<Step> removeChunks(List<Step> steps, Predicate<List<Step>> holds, int chunk) {
    List<Step> remaining = new ArrayList<>(steps);
    for (int from = remaining.size() - chunk; from >= 0; from -= chunk) {
      List<Step> candidate = new ArrayList<>(remaining.subList(0, from));
      candidate.addAll(remaining.subList(from + chunk, remaining.size()));
      if (holds.test(candidate)) remaining = candidate;
    }
    return remaining;
  }
}
