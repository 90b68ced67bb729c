package gladelug.emulator.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gladelug.emulator.Fleet;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** A short day of the control side with real processes: operators who race and lose answers. */
final class ControlFaultRunTest {
  private static final long SEED = 5;
  private static final int ROUNDS = 8;

  @Test
  void whatWasTakenIsNeverRefusedWhenItIsSentAgain() throws Exception {
    Path out = Files.createTempDirectory("gladelug-control-day");
    try (Fleet fleet = new Fleet(ControlFaultRun.deployment(), out, SEED, "summary")) {
      assertTrue(
          new ControlFaultRun(fleet, SEED, System.out::println).play(new RacingOperators(ROUNDS)),
          "see the judgements above; logs in " + out);
    }
  }
}
