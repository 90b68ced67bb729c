package gladelug.common;

/**
 * The end of a process that lost something it can't do without: a thread, or memory. A process that
 * goes on without it takes connections and serves nobody; one that ends is started again. State on
 * disk stays as it is: it is written for processes that may end at any instruction.
 */
public final class FatalFailure {
  /** Who is told of an error that a thread can't go on after. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Called on the thread that failed.
     *
     * @param thread the thread's name
     * @param task what it was doing
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
      // shutdown hooks could wait for the very thread that is gone
      Runtime.getRuntime().halt(Program.EXIT_FAILED);
    }
  }

  /**
   * Sees to it that an error that nobody caught ends the process, on any thread. Other uncaught
   * exceptions are logged.
   */
  public static void endProcessOnUncaughtErrors() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, cause) -> onUncaught(thread.getName(), cause));
  }

  /** What an event loop's handler threw: an error ends the process, an exception is logged. */
  public static void onUncaught(Throwable cause) {
    onUncaught(Thread.currentThread().getName(), cause);
  }

  private static void onUncaught(String thread, Throwable cause) {
    if (cause instanceof Error) endProcess(thread, "unknown", cause);
    else Log.thrown("uncaught-exception", cause, "thread", thread);
  }
}
