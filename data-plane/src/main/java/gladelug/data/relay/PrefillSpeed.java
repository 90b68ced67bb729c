package gladelug.data.relay;

/**
 * How long replicas of a service take to compute a unit of a prompt, learned from how soon answers
 * begin. Waiting only ever makes an answer later, so the estimate goes down fast and up slowly and
 * settles near the quickest tenth of what is seen. Confined to the request thread.
 */
final class PrefillSpeed {
  /** Until something was measured, in ms a unit. */
  static final double DEFAULT_MS_PER_UNIT = 0.03;

  private static final double MIN_MS_PER_UNIT = 0.0005;
  private static final double MAX_MS_PER_UNIT = 1;
  private static final double DECREASE_WEIGHT = 1.0 / 4;
  private static final double INCREASE_WEIGHT = 1.0 / 40;

  /** Fewer units tell more of the wait than of the speed. */
  private static final int MIN_UNITS = 1000;

  private double msPerUnit = DEFAULT_MS_PER_UNIT;

  double msPerUnit() {
    return msPerUnit;
  }

  /** An answer began so many ms after its request left, with so many units computed for it. */
  void recordAnswer(double ms, int units) {
    if (units < MIN_UNITS) return;
    double measured = Math.max(MIN_MS_PER_UNIT, Math.min(MAX_MS_PER_UNIT, ms / units));
    msPerUnit +=
        (measured - msPerUnit) * (measured < msPerUnit ? DECREASE_WEIGHT : INCREASE_WEIGHT);
  }
}
