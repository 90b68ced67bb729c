package gladelug.common;

/**
 * The stalls of this process: a thread that has stood still for six seconds takes readiness away,
 * and after thirty the process ends with {@link Program#FAILED}, so that it is started anew.
 */
public final class ProcessStalls {
  /** Between two checks, in ms. */
  private static final int EVERY_MS = 2000;

  private static final int UNREADY_AFTER_MS = 6000, ENDS_AFTER_MS = 30_000;

  private static final StallDetector DETECTOR =
      new StallDetector(
          Clock.monotonic(), EVERY_MS, UNREADY_AFTER_MS, ENDS_AFTER_MS, FatalFailure::endProcess);

  private ProcessStalls() {}

  /** What watches this process's threads. */
  public static StallDetector detector() {
    return DETECTOR;
  }

  /** Begins to check; for programs, once. */
  public static void start() {
    Thread thread =
        new Thread(
            () -> {
              while (pause()) DETECTOR.check();
            },
            "stalls");
    thread.setDaemon(true);
    thread.start();
  }

  private static boolean pause() {
    try {
      Thread.sleep(EVERY_MS);
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  /** Why the process isn't ready on account of a thread, else what the rest of it says. */
  public static String orElse(String unready) {
    String thread = DETECTOR.stalled();
    return thread.isEmpty() ? unready : "thread " + thread + " stands still";
  }
}
