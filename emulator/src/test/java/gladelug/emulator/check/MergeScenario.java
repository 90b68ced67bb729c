package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.message.CoreMessage;
import java.util.List;
import java.util.function.Supplier;

/**
 * A membership change is completed by a machine that holds a value that no other member accepted.
 *
 * <p>A former owner wrote the value only to itself; the next owner had another value acknowledged
 * under the same number, and the former owner has not heard of it when both are sealed. The former
 * owner then merges the stored values and informs the next members.
 */
final class MergeScenario implements Supplier<String> {
  @Override
  public String get() {
    List<String> names = List.of("a", "b", "c");
    for (String former : names)
      for (String next : names)
        if (!former.equals(next)) {
          String third =
              names.stream().filter(n -> !n.equals(former) && !n.equals(next)).findFirst().get();
          String found = play(former, next, third);
          if (!found.isEmpty()) return found;
        }
    return "";
  }

  private static String play(String former, String next, String third) {
    String spare = "d";
    Schedule schedule = new Schedule(Setup.of(3, true, 0).withSpares(1));
    schedule.isolate(spare);
    schedule.makeOwner(former);
    schedule.acknowledgeChange(former);
    schedule.isolate(former);
    schedule.propose(former);
    schedule.makeOwner(next);
    schedule.acknowledgeChange(next);
    schedule.isolate(third);
    schedule.loseMessages(flight -> flight.to().equals(former) && isValue(flight));
    schedule.reconnect(former);
    schedule.reconnect(spare);
    schedule.apply(Step.on(Step.Kind.HEALTH, former, 1));
    schedule.runUntil(
        () -> schedule.machine(former).node.isSealed() && schedule.machine(next).node.isSealed());
    schedule.stopMachine(next);
    schedule.runUntil(() -> schedule.machine(former).node.members().generation() > 1);
    return schedule.finish();
  }

  private static boolean isValue(InFlightMessage flight) {
    return flight.envelope().message() instanceof CoreMessage.AcceptRequest accept
        && !accept.key().equals(StateKeys.CORE);
  }
}
