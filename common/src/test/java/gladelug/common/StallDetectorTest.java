package gladelug.common;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of StallDetector with a clock and a thread of the test's own. */
final class StallDetectorTest {
  private static final int EVERY_MS = 1000, STALLED_MS = 3000, ENDS_MS = 10_000;

  private long nowMs = 1_000_000;
  private final List<String> ended = new ArrayList<>();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private final StallDetector detector =
      new StallDetector(
          () -> nowMs,
          EVERY_MS,
          STALLED_MS,
          ENDS_MS,
          (thread, task, cause) -> ended.add(thread + " " + task));
  private final StallDetector.WatchedThread watched = detector.watch("core", tasks::add);

  private void pass(int seconds) {
    for (int i = 0; i < seconds; i++) {
      nowMs += EVERY_MS;
      detector.check();
    }
  }

  private void runTasks() {
    while (!tasks.isEmpty()) tasks.poll().run();
  }

  @Test
  void aThreadThatDoesItsTasksIsWell() {
    for (int i = 0; i < 100; i++) {
      pass(1);
      nowMs += 20;
      runTasks();
    }
    Assertions.assertEquals("", detector.stalledThread());
    Assertions.assertEquals(List.of(), ended);
    Assertions.assertEquals(Map.of("core", 20L), detector.longestWaitsMs());
  }

  @Test
  void oneThatStandsStillIsNamedAndThenEndsTheProcess() {
    pass(1 + 2);
    Assertions.assertEquals("", detector.stalledThread());
    pass(1);
    Assertions.assertEquals("core", detector.stalledThread());
    pass(6);
    Assertions.assertEquals(List.of(), ended);
    pass(1);
    Assertions.assertEquals(List.of("core stands still"), ended);
  }

  @Test
  void oneThatGoesOnIsWellAgain() {
    pass(6);
    Assertions.assertEquals("core", detector.stalledThread());
    runTasks();
    pass(1);
    Assertions.assertEquals("", detector.stalledThread());
    Assertions.assertEquals(Map.of("core", 5000L), detector.longestWaitsMs());
  }

  /** A frozen process, or one whose machine slept, blames no thread for what it missed itself. */
  @Test
  void aPauseOfTheWholeProcessCountsForNoMoreThanTwoChecks() {
    pass(1);
    nowMs += 3_600_000;
    detector.check();
    Assertions.assertEquals("", detector.stalledThread());
    Assertions.assertEquals(List.of(), ended);
  }

  /** Its queue is full at the moment of a check, perhaps of many, though it works through it. */
  @Test
  void oneThatTakesNoTaskIsAskedAgainAndNotBlamed() {
    boolean[] full = {true};
    detector.watch("index", task -> !full[0] && tasks.add(task));
    for (int i = 0; i < 60; i++) {
      pass(1);
      runTasks();
    }
    Assertions.assertEquals("", detector.stalledThread());
    full[0] = false;
    pass(12);
    Assertions.assertTrue(ended.contains("index stands still"), "once it took a task: " + ended);
  }

  @Test
  void oneThatIsToEndIsWatchedNoMore() {
    pass(1);
    watched.close();
    pass(60);
    Assertions.assertEquals(List.of(), ended);
    Assertions.assertEquals("", detector.stalledThread());
  }
}
