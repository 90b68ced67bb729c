package gladelug.common;

/**
 * The stalls of this process: a thread that has stood still for six seconds takes readiness away,
 * and after thirty the process ends with {@link Program#EXIT_FAILED}, so that it is started anew.
 */
public final class ProcessStalls {
  /** Between two checks, in ms. */
  private static final int CHECK_INTERVAL_MS = 2000;

  private static final int UNREADY_AFTER_MS = 6000, EXIT_AFTER_MS = 30_000;

  private static final StallDetector DETECTOR =
      new StallDetector(
          Clock.monotonic(),
          CHECK_INTERVAL_MS,
          UNREADY_AFTER_MS,
          EXIT_AFTER_MS,
          FatalFailure::endProcess);

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
              while (sleepUntilNextCheck()) DETECTOR.check();
            },
            "stalls");
    thread.setDaemon(true);
    thread.start();
  }

  private static boolean sleepUntilNextCheck() {
    try {
      Thread.sleep(CHECK_INTERVAL_MS);
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  /** Why the process isn't ready on account of a thread, else what the rest of it says. */
  public static String unreadyReasonOr(String unready) {
    String thread = DETECTOR.stalledThread();
    return thread.isEmpty() ? unready : "thread " + thread + " stands still";
  }
}
