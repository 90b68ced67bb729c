package gladelug.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Drops events from a plan while it goes on breaking a rule: first halves, then smaller parts, at
 * last one by one. What is tried takes its real time, so the tries are bounded.
 */
final class PlanShrinker {
  private PlanShrinker() {}

  /** The smallest plan found. fails: whether a plan still breaks the rule, by playing it. */
  static SoakPlan shrink(SoakPlan plan, int maxTries, Predicate<SoakPlan> stillFails) {
    SoakPlan smallest = plan;
    int tries = 0;
    int chunkSize = Math.max(1, plan.events().size() / 2);
    while (tries < maxTries && !smallest.events().isEmpty()) {
      boolean dropped = false;
      for (int from = 0; from < smallest.events().size() && tries < maxTries; ) {
        SoakPlan candidate = smallest.withEvents(without(smallest.events(), from, chunkSize));
        tries++;
        if (stillFails.test(candidate)) {
          smallest = candidate;
          dropped = true;
        } else from += chunkSize;
      }
      if (chunkSize == 1 && !dropped) break;
      chunkSize = Math.max(1, Math.min(chunkSize / 2, smallest.events().size() / 2));
    }
    return smallest;
  }

  private static List<SoakEvent> without(List<SoakEvent> events, int from, int chunkSize) {
    List<SoakEvent> remaining = new ArrayList<>(events.subList(0, from));
    remaining.addAll(events.subList(Math.min(events.size(), from + chunkSize), events.size()));
    return remaining;
  }
}
