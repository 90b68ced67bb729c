package gladelug.common;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Detects threads that are stalled while their process runs. Each watched thread periodically gets
 * a probe task and counts as stalled until it has run it. Only time during which the checks
 * themselves ran is counted, so no thread is blamed after the whole process was frozen.
 * Thread-safe.
 */
public final class StallDetector {
  /** Submits tasks to a watched thread. */
  @FunctionalInterface
  public interface TaskSubmitter {
    /** Submits a task without blocking; returns false if the thread accepts none. */
    boolean post(Runnable task);
  }

  /** A watched thread; must be closed before the thread ends. */
  public final class WatchedThread implements AutoCloseable {
    private final String thread;
    private final TaskSubmitter submitter;
    private volatile boolean answered = true;
    private volatile long longestWaitMs;
    private volatile long stalledMs;
    private long submittedAtMs;

    private WatchedThread(String thread, TaskSubmitter submitter) {
      this.thread = thread;
      this.submitter = submitter;
    }

    private void probe(long nowMs, Clock clock) {
      submittedAtMs = nowMs;
      stalledMs = 0;
      answered = false;
      boolean submitted =
          submitter.post(
              () -> {
                longestWaitMs = Math.max(longestWaitMs, clock.now() - submittedAtMs);
                answered = true;
              });
      // an overloaded thread rejects the task but isn't stalled; it is probed at the next check
      if (!submitted) answered = true;
    }

    @Override
    public void close() {
      watched.remove(this);
    }
  }

  private final Clock clock;
  private final int checkIntervalMs;
  private final int stalledAfterMs;
  private final int exitAfterMs;
  private final FatalFailure.Handler onFatal;
  private final List<WatchedThread> watched = new CopyOnWriteArrayList<>();
  private long checkedAtMs;

  /**
   * Creates a detector that watches no thread yet.
   *
   * @param checkIntervalMs time between two checks
   * @param stalledAfterMs time after which {@link #stalledThread} names a stalled thread
   * @param exitAfterMs time after which onFatal is called for a stalled thread
   */
  StallDetector(
      Clock clock,
      int checkIntervalMs,
      int stalledAfterMs,
      int exitAfterMs,
      FatalFailure.Handler onFatal) {
    this.clock = clock;
    this.checkIntervalMs = checkIntervalMs;
    this.stalledAfterMs = stalledAfterMs;
    this.exitAfterMs = exitAfterMs;
    this.onFatal = onFatal;
    this.checkedAtMs = clock.now();
  }

  /** Starts to watch a thread. */
  public WatchedThread watch(String thread, TaskSubmitter submitter) {
    WatchedThread added = new WatchedThread(thread, submitter);
    watched.add(added);
    return added;
  }

  /** Must be called every checkIntervalMs; a gap of more than two intervals counts as two. */
  void check() {
    long nowMs = clock.now();
    long elapsedMs = Math.min(nowMs - checkedAtMs, 2L * checkIntervalMs);
    checkedAtMs = nowMs;
    for (WatchedThread watchedThread : watched) {
      if (watchedThread.answered) {
        watchedThread.probe(nowMs, clock);
        continue;
      }
      watchedThread.stalledMs += elapsedMs;
      if (watchedThread.stalledMs >= exitAfterMs)
        onFatal.onFatal(
            watchedThread.thread,
            "is stalled",
            new IllegalStateException(watchedThread.stalledMs + " ms"));
    }
  }

  /** Returns the name of a stalled thread, or an empty text if there is none. */
  public String stalledThread() {
    for (WatchedThread watchedThread : watched)
      if (watchedThread.stalledMs >= stalledAfterMs) return watchedThread.thread;
    return "";
  }

  /** Returns the longest time in ms that a probe task waited, by thread. */
  public Map<String, Long> longestWaitsMs() {
    Map<String, Long> longest = new TreeMap<>();
    for (WatchedThread watchedThread : watched)
      longest.merge(watchedThread.thread, watchedThread.longestWaitMs, Math::max);
    return longest;
  }
}
