package gladelug.emulator.soak;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Creates the threads of the stand-ins, all of them daemon threads, so that they don't keep the JVM
 * alive.
 */
final class DaemonThreads {
  /** The work of a thread; an IOException ends this thread and nothing else. */
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
                // the connection was closed, which the peer that waits for an answer notices
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
