package gladelug.emulator.control;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the stand-ins for operators saw: every change they sent and every state they read, with the
 * times by this machine's steady clock. The judge of the control side reads this and nothing else.
 *
 * <p>The operators' own record of a day.
 */
public final class ChangeLedger {
  /** What an operator can tell of one attempt to change the configuration. */
  public enum Outcome {
    /** 200: it was confirmed under a number. */
    CONFIRMED,
    /** 412: another number is current. */
    REFUSED_AS_STALE,
    /** Any other answer that says for certain that nothing was changed because of what was sent. */
    REFUSED,
    /** No majority at the moment; nothing was said of what was sent. */
    NOT_TAKEN,
    /** It may have been taken: a clear answer that says so, or no answer at all. */
    UNKNOWN
  }

  /**
   * One sending of one content.
   *
   * @param operator who sent it
   * @param member the core member that it was sent to
   * @param content the marker that is in this content and in no other
   * @param basedOn the number that it was based on
   * @param sentAtMs when it began to be sent, in milliseconds
   * @param answeredAtMs when its answer was read or given up, in milliseconds
   * @param number the number of a confirmed change, the current one of a stale change, else -1
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
   * One reading of the configuration.
   *
   * @param content the marker found in what was read, or -1 where there was no configuration
   */
  public record Reading(
      String member, long sentAtMs, long answeredAtMs, int status, long number, int content) {
    /** How long the answer took, in milliseconds. */
    public long durationMs() {
      return answeredAtMs - sentAtMs;
    }
  }

  /** Markers below are those of the fleet's own first configurations. */
  private static final int FIRST_CONTENT = 100;

  /** Markers above look like others in a configuration. */
  private static final int LAST_CONTENT = 999;

  private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Reading> readings = new ConcurrentLinkedQueue<>();
  private final AtomicInteger lastContent = new AtomicInteger(FIRST_CONTENT - 1);

  /** A marker that no content had before. */
  public int nextContent() {
    int content = lastContent.incrementAndGet();
    if (content > LAST_CONTENT) throw new IllegalStateException("no content is left for a change");
    return content;
  }

  /** Notes one attempt and its outcome. */
  public void record(Attempt attempt) {
    attempts.add(attempt);
  }

  /** Notes one reading and its answer. */
  public void record(Reading reading) {
    readings.add(reading);
  }

  /** All attempts so far, in the order of their answers. */
  public List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  /** All readings so far, in the order of their answers. */
  public List<Reading> readings() {
    return List.copyOf(readings);
  }
}
