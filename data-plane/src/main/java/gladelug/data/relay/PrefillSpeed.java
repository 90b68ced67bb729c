package gladelug.data.relay;

/**
 * The time replicas of a service take to compute one unit of a prompt, learned from how soon
 * answers begin. Queueing only ever makes an answer later, so the estimate decreases quickly,
 * increases slowly, and settles near the fastest tenth of the samples. Confined to the request
 * thread.
 */
final class PrefillSpeed {
  /** Initial estimate, in ms per unit. */
  static final double DEFAULT_MS_PER_UNIT = 0.03;

  private static final double MIN_MS_PER_UNIT = 0.0005;
  private static final double MAX_MS_PER_UNIT = 1;
  private static final double DECREASE_WEIGHT = 1.0 / 4;
  private static final double INCREASE_WEIGHT = 1.0 / 40;

  /** Minimum number of units of a sample; with fewer, queueing dominates the duration. */
  private static final int MIN_UNITS = 1000;

  private double msPerUnit = DEFAULT_MS_PER_UNIT;

  double msPerUnit() {
    return msPerUnit;
  }

  /**
   * Records that an answer began durationMs after its request was sent, with this many units
   * computed for it.
   */
  void recordAnswer(double durationMs, int units) {
    if (units < MIN_UNITS) return;
    double measured = Math.max(MIN_MS_PER_UNIT, Math.min(MAX_MS_PER_UNIT, durationMs / units));
    msPerUnit +=
        (measured - msPerUnit) * (measured < msPerUnit ? DECREASE_WEIGHT : INCREASE_WEIGHT);
  }
}
