package gladelug.emulator.sim;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests that operators' histories are linearizable under seeded faults. */
final class OperatorsRunTest {
  @Test
  void historiesUnderSeededFaultsAreLinearizable() {
    long first = Long.getLong("operators.first", 1);
    long seeds = Long.getLong("operators.seeds", 40);
    int acknowledged = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      OperatorsRun run = OperatorsRun.play(seed);
      if (!run.findings().isEmpty()) Assertions.fail(run.report());
      acknowledged += run.acknowledged();
    }
    Assertions.assertTrue(
        acknowledged > 20 * seeds, "only " + acknowledged + " changes were acknowledged");
  }
}
