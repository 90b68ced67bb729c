package gladelug.emulator.soak;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Threads of the stand-ins; none of them keeps the program from ending. */
final class DaemonThreads {
  /** What a thread does; a failure of its socket ends it and nothing else. */
  interface Task {
    void run() throws IOException;
  }

  private DaemonThreads() {}

  static void start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // the connection ended, which whoever waits for its answer notices
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  static ExecutorService pool(String name) {
    return Executors.newCachedThreadPool(runnable -> daemon(runnable, name));
  }

  static ScheduledExecutorService timer(String name) {
    return Executors.newScheduledThreadPool(2, runnable -> daemon(runnable, name));
  }

  private static Thread daemon(Runnable runnable, String name) {
    Thread thread = new Thread(runnable, name);
    thread.setDaemon(true);
    return thread;
  }

  static void pause(long durationMs) {
    try {
      TimeUnit.MILLISECONDS.sleep(durationMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
