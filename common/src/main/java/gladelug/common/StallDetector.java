package gladelug.common;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Finds threads that stand still though their process runs. Each watched thread gets a task now and
 * then; until that has run, the thread counts as standing still, for as long as the checks
 * themselves went on: a process that was frozen as a whole blames none of its threads. Thread-safe.
 */
public final class StallDetector {
  /** Gives a thread a task; false where it takes none. */
  @FunctionalInterface
  public interface TaskSubmitter {
    /** Hands the task over without waiting for it. */
    boolean post(Runnable task);
  }

  /** A watched thread; closed when the thread is to end. */
  public final class WatchedThread implements AutoCloseable {
    private final String thread;
    private final TaskSubmitter submitter;
    private volatile boolean answered = true;
    private volatile long longestWaitMs;
    private volatile long stalledMs;
    private long submittedAtMs;

    private WatchedThread(String thread, TaskSubmitter poster) {
      this.thread = thread;
      this.submitter = poster;
    }

    private void probe(long nowMs, Clock clock) {
      submittedAtMs = nowMs;
      stalledMs = 0;
      answered = false;
      boolean posted =
          submitter.post(
              () -> {
                longestWaitMs = Math.max(longestWaitMs, clock.now() - submittedAtMs);
                answered = true;
              });
      // a thread that has too much to do takes no task, and goes on; it is asked at the next check
      if (!posted) answered = true;
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
   * Watches nothing yet.
   *
   * @param checkIntervalMs between two checks
   * @param stalledAfterMs standing still, after which {@link #stalledThread} names a thread
   * @param exitAfterMs standing still, after which onFatal is told
   */
  StallDetector(
      Clock clock, int everyMs, int stalledAfterMs, int endsAfterMs, FatalFailure.Handler onFatal) {
    this.clock = clock;
    this.checkIntervalMs = everyMs;
    this.stalledAfterMs = stalledAfterMs;
    this.exitAfterMs = endsAfterMs;
    this.onFatal = onFatal;
    this.checkedAtMs = clock.now();
  }

  /** Watches a thread from now on. */
  public WatchedThread watch(String thread, TaskSubmitter poster) {
    WatchedThread added = new WatchedThread(thread, poster);
    watched.add(added);
    return added;
  }

  /** To be called every everyMs; what passed beyond twice that was a pause of this process. */
  void check() {
    long nowMs = clock.now();
    long passedMs = Math.min(nowMs - checkedAtMs, 2L * checkIntervalMs);
    checkedAtMs = nowMs;
    for (WatchedThread one : watched) {
      if (one.answered) {
        one.probe(nowMs, clock);
        continue;
      }
      one.stalledMs += passedMs;
      if (one.stalledMs >= exitAfterMs)
        onFatal.onFatal(
            one.thread, "stands still", new IllegalStateException(one.stalledMs + " ms"));
    }
  }

  /** The name of a thread that has stood still for long, or empty. */
  public String stalledThread() {
    for (WatchedThread one : watched) if (one.stalledMs >= stalledAfterMs) return one.thread;
    return "";
  }

  /** By thread, the longest that a task waited for the one before it, in ms. */
  public Map<String, Long> longestWaitsMs() {
    Map<String, Long> longest = new TreeMap<>();
    for (WatchedThread one : watched) longest.merge(one.thread, one.longestWaitMs, Math::max);
    return longest;
  }
}
