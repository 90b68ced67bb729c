package gladelug.common;

/**
 * Ends the process after the loss of an essential thread or of memory. A process that continued
 * would accept connections without serving them, whereas one that exits is restarted. State on disk
 * is safe, because it is written to survive an exit at any instruction.
 */
public final class FatalFailure {
  /** Handles errors after which a thread can't continue. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Called on the thread that failed.
     *
     * @param thread the thread's name
     * @param task the task that failed, or what happened
     */
    void onFatal(String thread, String task, Throwable cause);
  }

  private FatalFailure() {}

  /** Logs what failed and ends the process at once with {@link Program#EXIT_FAILED}. */
  public static void endProcess(String thread, String task, Throwable cause) {
    try {
      Log.thrown("process-failed", cause, "thread", thread, "task", task);
      System.err.println("failed in thread " + thread + ", task " + task + ": " + cause);
    } finally {
      // shutdown hooks could wait for the thread that failed
      Runtime.getRuntime().halt(Program.EXIT_FAILED);
    }
  }

  /**
   * Makes an uncaught {@link Error} on any thread end the process; other uncaught exceptions are
   * logged.
   */
  public static void endProcessOnUncaughtErrors() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, cause) -> onUncaught(thread.getName(), cause));
  }

  /** Handles what an event loop's handler threw: an error ends the process, others are logged. */
  public static void onUncaught(Throwable cause) {
    onUncaught(Thread.currentThread().getName(), cause);
  }

  private static void onUncaught(String thread, Throwable cause) {
    if (cause instanceof Error) endProcess(thread, "unknown", cause);
    else Log.thrown("uncaught-exception", cause, "thread", thread);
  }
}
