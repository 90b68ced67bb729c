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
  public interface Poster {
    /** Hands the task over without waiting for it. */
    boolean post(Runnable task);
  }

  /** A watched thread; closed when the thread is to end. */
  public final class Watched implements AutoCloseable {
    private final String thread;
    private final Poster poster;
    private volatile boolean answered = true;
    private volatile long longestMs;
    private volatile long stillMs;
    private long postedAtMs;

    private Watched(String thread, Poster poster) {
      this.thread = thread;
      this.poster = poster;
    }

    private void probe(long nowMs, Clock clock) {
      postedAtMs = nowMs;
      stillMs = 0;
      answered = false;
      boolean posted =
          poster.post(
              () -> {
                longestMs = Math.max(longestMs, clock.now() - postedAtMs);
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
  private final int everyMs;
  private final int stalledAfterMs;
  private final int endsAfterMs;
  private final FatalFailure.Handler onFatal;
  private final List<Watched> watched = new CopyOnWriteArrayList<>();
  private long checkedAtMs;

  /**
   * Watches nothing yet.
   *
   * @param everyMs between two checks
   * @param stalledAfterMs standing still, after which {@link #stalled} names a thread
   * @param endsAfterMs standing still, after which onFatal is told
   */
  StallDetector(
      Clock clock, int everyMs, int stalledAfterMs, int endsAfterMs, FatalFailure.Handler onFatal) {
    this.clock = clock;
    this.everyMs = everyMs;
    this.stalledAfterMs = stalledAfterMs;
    this.endsAfterMs = endsAfterMs;
    this.onFatal = onFatal;
    this.checkedAtMs = clock.now();
  }

  /** Watches a thread from now on. */
  public Watched watch(String thread, Poster poster) {
    Watched added = new Watched(thread, poster);
    watched.add(added);
    return added;
  }

  /** To be called every everyMs; what passed beyond twice that was a pause of this process. */
  void check() {
    long nowMs = clock.now();
    long passedMs = Math.min(nowMs - checkedAtMs, 2L * everyMs);
    checkedAtMs = nowMs;
    for (Watched one : watched) {
      if (one.answered) {
        one.probe(nowMs, clock);
        continue;
      }
      one.stillMs += passedMs;
      if (one.stillMs >= endsAfterMs)
        onFatal.onFatal(one.thread, "stands still", new IllegalStateException(one.stillMs + " ms"));
    }
  }

  /** The name of a thread that has stood still for long, or empty. */
  public String stalled() {
    for (Watched one : watched) if (one.stillMs >= stalledAfterMs) return one.thread;
    return "";
  }

  /** By thread, the longest that a task waited for the one before it, in ms. */
  public Map<String, Long> longestWaitsMs() {
    Map<String, Long> longest = new TreeMap<>();
    for (Watched one : watched) longest.merge(one.thread, one.longestMs, Math::max);
    return longest;
  }
}
