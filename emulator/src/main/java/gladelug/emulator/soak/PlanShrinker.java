package gladelug.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Removes events from a failing plan as long as it still breaks a rule: first halves, then ever
 * smaller chunks, finally single events. Each try plays a plan in real time, so the number of tries
 * is limited.
 */
final class PlanShrinker {
  private PlanShrinker() {}

  /**
   * Returns the smallest failing plan that was found.
   *
   * @param stillFails plays a plan and returns whether it still breaks a rule
   */
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
