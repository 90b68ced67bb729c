package gladelug.emulator.day;

import gladelug.emulator.Deployment;
import gladelug.emulator.Fleet;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Day. */
final class DayTest {
  /** Plays the first episodes of a fixed seed with real processes. */
  @Test
  void theFirstEpisodesOfAFixedSeedBreakNoRule() throws Exception {
    Path out = Files.createTempDirectory("gladelug-day");
    try (Fleet fleet = new Fleet(Deployment.mokaRidge(), out, 21, "summary")) {
      Assertions.assertTrue(
          new Day(fleet, 21, 0.5).play(2, 8), "see the verdicts above; logs in " + out);
    }
  }
}
