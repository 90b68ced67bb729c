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

/** Tests of SingleThreadWorker with tasks that throw. */
final class SingleThreadWorkerTest {
  private static final int TIMEOUT_S = 20;
  private static final int PERIOD_MS = 5;

  /** Guards against a periodic task, such as the core's tick, that ends after one exception. */
  @Test
  void aPeriodicTaskRunsAgainAfterAnException() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(4);
    try (SingleThreadWorker worker = new SingleThreadWorker("w", 16, Clock.monotonic())) {
      worker.scheduleEvery(
          PERIOD_MS,
          () -> {
            runs.countDown();
            throw new IllegalStateException("each time");
          });
      Assertions.assertTrue(runs.await(TIMEOUT_S, TimeUnit.SECONDS));
    }
  }

  /** Guards against a worker's thread that ends silently while its process continues. */
  @Test
  void anErrorIsReportedWithThreadAndCauseAndTheWorkerContinues() throws InterruptedException {
    BlockingQueue<String> reported = new LinkedBlockingQueue<>();
    AtomicInteger later = new AtomicInteger();
    CountDownLatch ran = new CountDownLatch(1);
    try (SingleThreadWorker worker =
        new SingleThreadWorker(
            "w",
            16,
            Clock.monotonic(),
            (thread, task, cause) -> reported.add(thread + " " + cause.getMessage()))) {
      worker.offer(
          () -> {
            throw new OutOfMemoryError("planted");
          });
      worker.offer(
          () -> {
            later.incrementAndGet();
            ran.countDown();
          });
      Assertions.assertEquals("w planted", reported.poll(TIMEOUT_S, TimeUnit.SECONDS));
      Assertions.assertTrue(ran.await(TIMEOUT_S, TimeUnit.SECONDS));
      Assertions.assertEquals(1, later.get());
    }
  }

  /** A program whose worker fails, run by the test below. */
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
  void aProcessWhoseWorkerFailsExitsWithItsCodeAndAMessage(@TempDir Path folder)
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
      Assertions.assertTrue(
          process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process did not exit");
      String lines = Files.readString(log);
      Assertions.assertEquals(Program.EXIT_FAILED, process.exitValue(), lines);
      Assertions.assertTrue(lines.contains("failed in thread core"), lines);
    } finally {
      process.destroyForcibly();
    }
  }
}
