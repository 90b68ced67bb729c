package gladelug.emulator.control;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records every change that the stand-in operators sent and every configuration that they read,
 * with times of this machine's monotonic clock in milliseconds. It is the only input of {@link
 * ControlJudge}. Thread-safe.
 */
public final class ChangeLedger {
  /** The outcome of an attempt to change the configuration, as far as the operator can tell. */
  public enum Outcome {
    /** Status 200: the change was confirmed under a version number. */
    CONFIRMED,
    /** Status 412: the change was based on another number than the current one. */
    REFUSED_AS_STALE,
    /** Any other answer that says for certain that the change was not made. */
    REFUSED,
    /**
     * Status 503: there is no majority at the moment; the answer says nothing about the content
     * sent.
     */
    NOT_TAKEN,
    /** There was no answer, or one that leaves open whether the change was taken. */
    UNKNOWN
  }

  /**
   * One attempt to make a change.
   *
   * @param operator the name of the operator that sent it
   * @param member the core member that it was sent to
   * @param content the marker that identifies the content of this change; the same when it is sent
   *     again
   * @param basedOn the version number of the configuration that the change was based on
   * @param sentAtMs when sending began
   * @param answeredAtMs when the answer was read, or the operator stopped waiting for it
   * @param status the HTTP status, or 0 without an answer
   * @param number the version number of a confirmed change, the current number of a stale change,
   *     else -1
   */
  public record Attempt(
      String operator,
      String member,
      int content,
      long basedOn,
      long sentAtMs,
      long answeredAtMs,
      Outcome outcome,
      int status,
      long number) {}

  /**
   * One read of the configuration.
   *
   * @param sentAtMs when the request was sent
   * @param number the version number that was read, or -1 without one
   * @param content the marker in the configuration that was read, or -1 if there was none
   */
  public record Reading(
      String member, long sentAtMs, long answeredAtMs, int status, long number, int content) {
    /** Returns how long the answer took. */
    public long durationMs() {
      return answeredAtMs - sentAtMs;
    }
  }

  /** Lower markers are used by the fleet's own initial configurations. */
  private static final int FIRST_CONTENT = 100;

  /** Higher markers could be confused with other numbers in a configuration. */
  private static final int LAST_CONTENT = 999;

  private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Reading> readings = new ConcurrentLinkedQueue<>();
  private final AtomicInteger lastContent = new AtomicInteger(FIRST_CONTENT - 1);

  /** Returns a marker that was not used before. */
  public int nextContent() {
    int content = lastContent.incrementAndGet();
    if (content > LAST_CONTENT) throw new IllegalStateException("no unused content marker is left");
    return content;
  }

  /** Records an attempt and its outcome. */
  public void record(Attempt attempt) {
    attempts.add(attempt);
  }

  /** Records a read and its answer. */
  public void record(Reading reading) {
    readings.add(reading);
  }

  /** Returns all attempts so far, in the order of their answers. */
  public List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  /** Returns all reads so far, in the order of their answers. */
  public List<Reading> readings() {
    return List.copyOf(readings);
  }
}
