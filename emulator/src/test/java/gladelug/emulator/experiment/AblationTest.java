package gladelug.emulator.experiment;

import gladelug.data.relay.Mechanism;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of AblationPlan and AblationTable. */
final class AblationTest {
  @TempDir Path folder;

  private AblationPlan plan() {
    return new AblationPlan(
        Path.of("bench"),
        Path.of("site"),
        List.of("a", "b"),
        List.of("1", "2"),
        List.of(Mechanism.RETRIES),
        List.of("--fast"),
        folder);
  }

  @Test
  void everyVariantRunsTheSameDaysAndSeeds() {
    Assertions.assertEquals(List.of("all-on", "retries"), plan().variants());
    List<AblationPlan.Trial> trials = plan().trials("retries");
    Assertions.assertEquals(4, trials.size());
    Assertions.assertEquals(
        List.of(
            "bench", "run", "site", "a", "--seed", "2", "--fast", "--report", "r", "--why", "w"),
        plan().command(trials.get(1), Path.of("r"), "w"));
  }

  @Test
  void contributionsAreComparedTrialByTrialAndAMissingResultIsExcludedFromTheMeans()
      throws IOException {
    AblationTable table = new AblationTable();
    for (double served : new double[] {0.8, 0.7, 0.9}) table.add("all-on", served);
    for (double served : new double[] {0.7, 0.65, Double.NaN}) table.add("retries", served);
    AblationTable.Row row = table.rows().get(1);
    Assertions.assertEquals(2, row.trials());
    Assertions.assertEquals(0.075, row.contribution(), 1e-9);
    Assertions.assertEquals(0.05, row.min(), 1e-9);
    Assertions.assertEquals(0.1, row.max(), 1e-9);
    table.write(folder, "a title");
    Assertions.assertTrue(Files.readString(folder.resolve("ablation.md")).contains("retries"));
    Assertions.assertTrue(Files.exists(folder.resolve("ablation.svg")));
  }
}
