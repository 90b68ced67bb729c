package gladelug.common;

/**
 * Detects that a thread, or its whole process, stood still: a longer gap than allowed between two
 * signs of life. The owner reports a sign of life periodically, and before each decision that must
 * not rest on knowledge from before a standstill, since after one such a decision may come first.
 * Thread-safe.
 */
public final class StandstillDetector {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private final Runnable onStandstill;
  private long lastAliveMs;
  private long resumedAtMs = NEVER;

  /**
   * Creates a detector that counts its creation as the first sign of life.
   *
   * @param nowMs the current time
   * @param onStandstill called after a standstill, on the thread that detects it
   */
  public StandstillDetector(long nowMs, Runnable onStandstill) {
    this.onStandstill = onStandstill;
    this.lastAliveMs = nowMs;
  }

  /**
   * Reports a sign of life.
   *
   * @param maxGapMs the longest time since the previous one that is no standstill
   * @return when the newest standstill was detected, or a time in the distant past without one
   */
  public long observe(long nowMs, long maxGapMs) {
    synchronized (this) {
      boolean stoodStill = nowMs - lastAliveMs > maxGapMs;
      lastAliveMs = Math.max(lastAliveMs, nowMs);
      if (!stoodStill) return resumedAtMs;
      resumedAtMs = nowMs;
    }
    onStandstill.run();
    return nowMs;
  }
}
