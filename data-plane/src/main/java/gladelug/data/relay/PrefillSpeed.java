package gladelug.data.relay;

/**
 * How long replicas of a service take to compute a unit of a prompt, learned from how soon answers
 * begin. Waiting only ever makes an answer later, so the estimate goes down fast and up slowly and
 * settles near the quickest tenth of what is seen. Confined to the request thread.
 */
final class PrefillSpeed {
  /** Until something was measured, in ms a unit. */
  static final double USUAL_UNIT_MS = 0.03;

  private static final double LEAST_UNIT_MS = 0.0005;
  private static final double MOST_UNIT_MS = 1;
  private static final double DOWN = 1.0 / 4;
  private static final double UP = 1.0 / 40;

  /** Fewer units tell more of the wait than of the speed. */
  private static final int LEAST_UNITS = 1000;

  private double unitMs = USUAL_UNIT_MS;

  double unitMs() {
    return unitMs;
  }

  /** An answer began so many ms after its request left, with so many units computed for it. */
  void measured(double ms, int units) {
    if (units < LEAST_UNITS) return;
    double measured = Math.max(LEAST_UNIT_MS, Math.min(MOST_UNIT_MS, ms / units));
    unitMs += (measured - unitMs) * (measured < unitMs ? DOWN : UP);
  }
}
