package gladelug.common;

/**
 * Detects stalled threads of this process: a thread that runs no task for six seconds makes the
 * process unready, and after thirty seconds the process exits with {@link Program#EXIT_FAILED}, so
 * that it is restarted.
 */
public final class ProcessStalls {

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

  /** Returns the detector that watches this process's threads. */
  public static StallDetector detector() {
    return DETECTOR;
  }

  /** Starts the periodic checks; programs call it once. */
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

  /** Returns that a thread is stalled, if one is, else the given reason. */
  public static String unreadyReasonOr(String unready) {
    String thread = DETECTOR.stalledThread();
    return thread.isEmpty() ? unready : "thread " + thread + " is stalled";
  }
}
