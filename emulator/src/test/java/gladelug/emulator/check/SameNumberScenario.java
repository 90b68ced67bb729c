package gladelug.emulator.check;

import java.util.List;
import java.util.function.Supplier;

/**
 * Two owners in turn give the same number to different values, the former without a majority.
 *
 * <p>An owner writes a value only to itself and is cut off; the next owner has another value
 * acknowledged under the same number; a third member then takes over with the promises of the first
 * and its own. Each order of the three members is played, since a tie may be broken by name.
 */
final class SameNumberScenario implements Supplier<String> {
  private static final List<List<String>> ORDERS =
      List.of(
          List.of("a", "b", "c"),
          List.of("a", "c", "b"),
          List.of("b", "a", "c"),
          List.of("b", "c", "a"),
          List.of("c", "a", "b"),
          List.of("c", "b", "a"));

  @Override
  public String get() {
    for (List<String> order : ORDERS) {
      String found = play(order.get(0), order.get(1), order.get(2));
      if (!found.isEmpty()) return order + ", " + found;
    }
    return "";
  }

  private static String play(String first, String second, String third) {
    Setup setup = Setup.of(3, true, 0).withSpares(0).withKeys(List.of(Schedule.KEY));
    Schedule schedule = new Schedule(setup);
    schedule.makeOwner(first);
    schedule.acknowledgeChange(first);
    schedule.isolate(first);
    schedule.propose(first);
    schedule.makeOwner(second);
    schedule.acknowledgeChange(second);
    schedule.isolate(second);
    schedule.reconnect(first);
    schedule.makeOwner(third);
    schedule.acknowledgeChange(third);
    return schedule.finish();
  }
}
