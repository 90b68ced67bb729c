package gladelug.emulator.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Runs a short soak test with real processes, the flags of the deploy file and the classes of this
 * build.
 */
final class SoakTest {
  /** The root of the project; surefire runs the tests in a module's folder, one level below. */
  private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

  private static SoakEvent event(long atMs, EventKind kind, int target, int forMs) {
    return new SoakEvent(atMs, kind, target, forMs);
  }

  /**
   * Returns a plan with overlapping events of every group: relays, core, configurations, replicas,
   * clients and the store.
   */
  private static SoakPlan plan() {
    return new SoakPlan(
        3,
        26,
        3,
        2,
        List.of(
            event(300, EventKind.MEMBER_WIPE, 2, 1000),
            event(9000, EventKind.RELAY_TERMS, 1, 8000),
            event(9500, EventKind.ROUTES, 0, 0),
            event(10_000, EventKind.ANSWER_ENDLESS, 1, 1000),
            event(11_000, EventKind.ISOLATE, 1, 0),
            event(12_000, EventKind.SWAP, 0, 0),
            event(13_000, EventKind.MEMBER_KILL, 3, 500),
            event(14_000, EventKind.TENANT, 2, 0),
            event(15_000, EventKind.RACE, 0, 0),
            event(16_000, EventKind.RELAY_FREEZE, 2, 1500),
            event(17_000, EventKind.BURST, 0, 0),
            event(18_000, EventKind.REPLICA_CRASH, 2, 1000),
            event(19_000, EventKind.TENANT, 2, 0),
            event(20_000, EventKind.REVOKE, 3, 0),
            event(21_000, EventKind.RELAY_KILL, 3, 300),
            event(22_000, EventKind.RESEND, 0, 0),
            event(23_000, EventKind.STORE_DOWN, 0, 1000)));
  }

  @Test
  void aShortSoakBreaksNoRule() throws IOException {
    Path folder = Files.createTempDirectory("gladelug-soak");
    Soak.Result result =
        Soak.play(plan(), DeployCommands.fromOwnClassPath(ROOT), folder, System.out::println);
    String report = SoakReport.write(result);
    Assertions.assertTrue(result.clean(), report);
    long served = result.ledger().calls.values().stream().filter(SoakLedger.Call::isServed).count();
    Assertions.assertTrue(served > 50, report);
    for (String file : List.of("plan.json", "report.txt", "report.json", "chart.svg"))
      Assertions.assertTrue(Files.exists(folder.resolve(file)), file);
  }
}
