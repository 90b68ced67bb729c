package gladelug.common;

/**
 * A source of monotonic time. Protocol code uses no wall clock, so clock adjustments don't affect
 * it; the simulator supplies its own implementation.
 */
@FunctionalInterface
public interface Clock {
  /** Returns the current time in ms, counted from an arbitrary origin. */
  long now();

  /** Returns a clock based on {@link System#nanoTime}. */
  static Clock monotonic() {
    long base = System.nanoTime();
    return () -> (System.nanoTime() - base) / 1_000_000L + 1_000_000L;
  }
}
