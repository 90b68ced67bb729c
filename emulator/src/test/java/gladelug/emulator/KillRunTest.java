package gladelug.emulator;

import static gladelug.emulator.KillRun.run;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of KillRun. */
final class KillRunTest {
  /** Runs the command "run" briefly with real processes and kills. */
  @Test
  void aShortRunOfRealProcessesWithKillsBreaksNoRule() throws Exception {
    Path out = Files.createTempDirectory("gladelug-rehearsal");
    try (Fleet fleet = new Fleet(Deployment.safariNjia(), out, 7, "summary")) {
      boolean clean = run(fleet, 20, 7, true, 0.5);
      Assertions.assertTrue(clean, "see the verdicts above; logs in " + out);
      long complete =
          fleet.ledger.calls.values().stream().filter(c -> c.outcome.equals("complete")).count();
      Assertions.assertTrue(
          complete > fleet.ledger.calls.size() / 2, complete + " of " + fleet.ledger.calls.size());
    }
  }
}
