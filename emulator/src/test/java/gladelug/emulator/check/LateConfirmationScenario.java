package gladelug.emulator.check;

import gladelug.control.core.message.CoreMessage;
import java.util.List;
import java.util.function.Supplier;

/**
 * An owner's round of confirmations is answered, but the answers are delayed. Another member takes
 * over and acknowledges a change. Then the former owner is asked for the newest value and the
 * delayed answers arrive; they must not confirm the read.
 */
final class LateConfirmationScenario implements Supplier<String> {
  @Override
  public String get() {
    String former = "a", next = "b", other = "c";
    Setup setup = Setup.of(3, true, 0).withSpares(0).withKeys(List.of(Schedule.KEY));
    Schedule schedule = new Schedule(setup);
    schedule.makeOwner(former);
    schedule.acknowledgeChange(former);
    schedule.delayMessages(
        flight ->
            flight.to().equals(former)
                && flight.envelope().message() instanceof CoreMessage.ConfirmResponse);
    schedule.runUntil(() -> !schedule.world.network.inFlight().isEmpty());
    schedule.stopMachine(former);
    schedule.loseMessages(flight -> flight.to().equals(former) || flight.from().equals(former));
    schedule.apply(Step.on(Step.Kind.HEALTH, other, 0));
    schedule.apply(Step.on(Step.Kind.HEALTH, next, 1));
    schedule.runUntil(() -> schedule.machine(next).node.owns(Schedule.KEY));
    schedule.acknowledgeChange(next);
    schedule.apply(Step.key(Step.Kind.READ, former, Schedule.KEY, 0));
    schedule.delayMessages(flight -> false);
    schedule.loseMessages(flight -> false);
    schedule.deliverAll();
    return schedule.finish();
  }
}
