package gladelug.data.relay;

import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** The speed of prefill learned from answers that also waited. */
final class PrefillSpeedTest {
  @Test
  void theSpeedOfFastAndSlowReplicasIsLearnedDespiteQueueing() {
    for (double truth : new double[] {0.002, 0.0064, 0.026, 0.2}) {
      for (long seed = 0; seed < 20; seed++) {
        Random random = new Random(seed);
        PrefillSpeed speed = new PrefillSpeed();
        for (int i = 0; i < 300; i++) {
          int units = 2000 + random.nextInt(15_000);
          double waits = random.nextInt(3) == 0 ? random.nextDouble() * 2 : 0;
          speed.recordAnswer(units * truth * (1 + waits), units);
        }
        Assertions.assertEquals(truth, speed.msPerUnit(), truth * 0.35, truth + " seed " + seed);
      }
    }
  }

  @Test
  void shortPromptsAreIgnored() {
    PrefillSpeed speed = new PrefillSpeed();
    for (int i = 0; i < 100; i++) speed.recordAnswer(400, 300);
    Assertions.assertEquals(PrefillSpeed.DEFAULT_MS_PER_UNIT, speed.msPerUnit());
  }

  @Test
  void reuseIsTheShareOfRequestedUnitsThatIsFound() {
    ReuseShare reuse = new ReuseShare();
    Assertions.assertEquals(0, reuse.share());
    for (int i = 0; i < 1000; i++) reuse.recordRequest(100, i % 4 == 0 ? 100 : 0);
    Assertions.assertEquals(0.25, reuse.share(), 0.05);
  }
}
