package gladelug.emulator.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gladelug.emulator.Fleet;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Runs a short fault scenario with real processes, in which operators race and lose answers. */
final class ControlFaultRunTest {
  private static final long SEED = 5;
  private static final int ROUNDS = 8;

  @Test
  void aTakenChangeIsNotRefusedWhenItIsSentAgain() throws Exception {
    Path out = Files.createTempDirectory("gladelug-control-day");
    try (Fleet fleet = new Fleet(ControlFaultRun.deployment(), out, SEED, "summary")) {
      assertTrue(
          new ControlFaultRun(fleet, SEED, System.out::println).play(new RacingOperators(ROUNDS)),
          "see the findings printed above; logs in  " + out);
    }
  }
}
