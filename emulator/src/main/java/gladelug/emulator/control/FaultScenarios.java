package gladelug.emulator.control;

import java.util.List;

/** The fault scenarios that fleet-emulator plays on the control plane, by their numbers from 1. */
public final class FaultScenarios {
  private static final List<ControlFaultRun.FaultScenario> SCENARIOS =
      List.of(
          new LongPartition(20_000),
          new RacingOperators(60),
          new RollingReplacement(),
          new RestartsDuringChanges(400),
          new ConnectionResets(30_000));

  /** The number of scenarios. */
  public static final int COUNT = SCENARIOS.size();

  private FaultScenarios() {}

  /** Returns the scenario with a number, in its default size. */
  public static ControlFaultRun.FaultScenario of(int number) {
    return SCENARIOS.get(number - 1);
  }
}
