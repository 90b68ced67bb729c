package gladelug.common;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of StallDetector with a simulated clock and thread. */
final class StallDetectorTest {
  private static final int CHECK_INTERVAL_MS = 1000,
      STALLED_AFTER_MS = 3000,
      EXIT_AFTER_MS = 10_000;

  private long nowMs = 1_000_000;
  private final List<String> fatalFailures = new ArrayList<>();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private final StallDetector detector =
      new StallDetector(
          () -> nowMs,
          CHECK_INTERVAL_MS,
          STALLED_AFTER_MS,
          EXIT_AFTER_MS,
          (thread, task, cause) -> fatalFailures.add(thread + " " + task));
  private final StallDetector.WatchedThread watched = detector.watch("core", tasks::add);

  private void passSeconds(int seconds) {
    for (int i = 0; i < seconds; i++) {
      nowMs += CHECK_INTERVAL_MS;
      detector.check();
    }
  }

  private void runTasks() {
    while (!tasks.isEmpty()) tasks.poll().run();
  }

  @Test
  void aThreadThatRunsItsTasksIsNotStalled() {
    for (int i = 0; i < 100; i++) {
      passSeconds(1);
      nowMs += 20;
      runTasks();
    }
    Assertions.assertEquals("", detector.stalledThread());
    Assertions.assertEquals(List.of(), fatalFailures);
    Assertions.assertEquals(Map.of("core", 20L), detector.longestWaitsMs());
  }

  @Test
  void aStalledThreadIsNamedAndThenEndsTheProcess() {
    passSeconds(1 + 2);
    Assertions.assertEquals("", detector.stalledThread());
    passSeconds(1);
    Assertions.assertEquals("core", detector.stalledThread());
    passSeconds(6);
    Assertions.assertEquals(List.of(), fatalFailures);
    passSeconds(1);
    Assertions.assertEquals(List.of("core is stalled"), fatalFailures);
  }

  @Test
  void aThreadThatResumesIsNotStalledAnyMore() {
    passSeconds(6);
    Assertions.assertEquals("core", detector.stalledThread());
    runTasks();
    passSeconds(1);
    Assertions.assertEquals("", detector.stalledThread());
    Assertions.assertEquals(Map.of("core", 5000L), detector.longestWaitsMs());
  }

  /** Guards against blaming threads after the process was frozen or its machine was suspended. */
  @Test
  void aPauseOfTheWholeProcessCountsAsAtMostTwoCheckIntervals() {
    passSeconds(1);
    nowMs += 3_600_000;
    detector.check();
    Assertions.assertEquals("", detector.stalledThread());
    Assertions.assertEquals(List.of(), fatalFailures);
  }

  /** Guards against blaming a busy thread whose queue is full at every check. */
  @Test
  void aThreadThatRejectsAProbeIsProbedAgainAndNotStalled() {
    boolean[] full = {true};
    detector.watch("index", task -> !full[0] && tasks.add(task));
    for (int i = 0; i < 60; i++) {
      passSeconds(1);
      runTasks();
    }
    Assertions.assertEquals("", detector.stalledThread());
    full[0] = false;
    passSeconds(12);
    Assertions.assertTrue(
        fatalFailures.contains("index is stalled"),
        "stalled after it accepted a probe: " + fatalFailures);
  }

  @Test
  void aClosedThreadIsNotWatchedAnyMore() {
    passSeconds(1);
    watched.close();
    passSeconds(60);
    Assertions.assertEquals(List.of(), fatalFailures);
    Assertions.assertEquals("", detector.stalledThread());
  }
}
