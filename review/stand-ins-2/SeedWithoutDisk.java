package review2;

import java.nio.file.Path;

/**
 * Case: at the first start, one of the three seeds is a machine that serves control_plane and has no
 * disk. All machines run from the start on and stay up.
 */
public final class SeedWithoutDisk {
  private static final long WITHIN_MS = 60_000;

  private SeedWithoutDisk() {}

  /** Arguments: root of the project, record file, 1 with the disruption or 0 without. */
  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0]), Path.of(args[1]), args[2].equals("1")));
  }

  private static int run(Path root, Path recordFile, boolean trouble) throws Exception {
    int[] seeds = trouble ? new int[] {1, 2, 4} : new int[] {1, 2, 3};
    try (Fleet fleet = new Fleet(root, recordFile, seeds);
        Platform platform = new Platform(fleet.platform())) {
      platform.list(Platform.entry("cards", "i-a", fleet.net + "11:8080", "z1"));
      for (int i = 1; i <= Fleet.MACHINES + 1; i++) fleet.start(i, "second", true);
      for (int i = 1; i <= Fleet.MACHINES + 1; i++) fleet.start(i, "relay", true);
      boolean acknowledged =
          fleet.untilAcknowledged("PUT", "/-/config", "0", Fleet.CARDS_CONFIGURATION, WITHIN_MS);
      boolean ready = acknowledged && fleet.ready(1, 20_000);
      int readBack = fleet.operator(1, "GET", "/-/config", null, "");
      String result =
          "the first configuration "
              + (acknowledged ? "was acknowledged" : "had no acknowledgement within " + WITHIN_MS + " ms")
              + "; relay ready: " + ready + "; read back: " + readBack;
      fleet.log(result);
      System.out.println(result);
      for (int i = 1; i <= Fleet.MACHINES + 1; i++) fleet.log("machine " + i + ": " + fleet.output(i, "second"));
      return acknowledged && ready ? 0 : 1;
    }
  }
}
