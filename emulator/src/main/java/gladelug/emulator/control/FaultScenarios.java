package gladelug.emulator.control;

import java.util.List;

/**
 * The five troubles that control sides of this kind are known to meet, by number, as fleet-emulator
 * plays them.
 *
 * <p>The troubles of a day by their numbers from 1.
 */
public final class FaultScenarios {
  private static final List<ControlFaultRun.FaultScenario> SCENARIOS =
      List.of(
          new LongPartition(20_000),
          new RacingOperators(60),
          new RollingReplacement(),
          new RestartsDuringChanges(400),
          new ConnectionResets(30_000));

  /** How many there are. */
  public static final int COUNT = SCENARIOS.size();

  private FaultScenarios() {}

  /** The usual size of the trouble with a number. */
  public static ControlFaultRun.FaultScenario of(int number) {
    return SCENARIOS.get(number - 1);
  }
}
