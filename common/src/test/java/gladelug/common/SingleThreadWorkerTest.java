package gladelug.common;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of SingleThreadWorker: what becomes of tasks that throw. */
final class SingleThreadWorkerTest {
  private static final int WAIT_S = 20;
  private static final int EVERY_MS = 5;

  /** Guards against a periodic duty, such as the core's tick, that one exception ends for good. */
  @Test
  void aPeriodicTaskThatThrewComesAgain() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(4);
    try (SingleThreadWorker worker = new SingleThreadWorker("w", 16, Clock.monotonic())) {
      worker.scheduleEvery(
          EVERY_MS,
          () -> {
            runs.countDown();
            throw new IllegalStateException("each time");
          });
      Assertions.assertTrue(runs.await(WAIT_S, TimeUnit.SECONDS));
    }
  }

  /** Guards against a worker's thread that ends silently while its process goes on. */
  @Test
  void anErrorIsToldWithThreadAndCauseAndTheWorkerIsNotLost() throws InterruptedException {
    BlockingQueue<String> told = new LinkedBlockingQueue<>();
    AtomicInteger later = new AtomicInteger();
    CountDownLatch ran = new CountDownLatch(1);
    try (SingleThreadWorker worker =
        new SingleThreadWorker(
            "w",
            16,
            Clock.monotonic(),
            (thread, task, cause) -> told.add(thread + " " + cause.getMessage()))) {
      worker.offer(
          () -> {
            throw new OutOfMemoryError("planted");
          });
      worker.offer(
          () -> {
            later.incrementAndGet();
            ran.countDown();
          });
      Assertions.assertEquals("w planted", told.poll(WAIT_S, TimeUnit.SECONDS));
      Assertions.assertTrue(ran.await(WAIT_S, TimeUnit.SECONDS));
      Assertions.assertEquals(1, later.get());
    }
  }

  /** The program of the test below. */
  static final class Failing {
    private Failing() {}

    public static void main(String[] args) throws InterruptedException {
      SingleThreadWorker worker = new SingleThreadWorker("core", 16, Clock.monotonic());
      worker.offer(
          () -> {
            throw new StackOverflowError("planted");
          });
      new CountDownLatch(1).await();
    }
  }

  @Test
  void aProcessWhoseWorkerFailsEndsWithItsCodeAndOneLine(@TempDir Path folder)
      throws IOException, InterruptedException {
    Path log = folder.resolve("log");
    Process process =
        new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                "-cp",
                System.getProperty("java.class.path"),
                Failing.class.getName())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    try {
      Assertions.assertTrue(process.waitFor(WAIT_S, TimeUnit.SECONDS), "it went on as a shell");
      String lines = Files.readString(log);
      Assertions.assertEquals(Program.EXIT_FAILED, process.exitValue(), lines);
      Assertions.assertTrue(lines.contains("failed in thread core"), lines);
    } finally {
      process.destroyForcibly();
    }
  }
}
