package gladelug.data.relay;

/**
 * How long requests of a service hold the place they were given: their own work, and what else they
 * usually wait for at a replica. Learned from requests that completed. Confined to the request
 * thread.
 */
final class RequestDurations {
  /** Until a request completed. */
  private static final double INITIAL_MS = 250;

  /** Over how many requests durations are averaged. */
  private static final int AVERAGED_OVER = 20;

  private double meanMs = INITIAL_MS;
  private double beyondWorkMs = INITIAL_MS;
  private int measured;

  /** A request whose own work was reckoned at workMs held its place for durationMs. */
  void measured(double durationMs, double workMs) {
    measured = Math.min(AVERAGED_OVER, measured + 1);
    meanMs += (durationMs - meanMs) / measured;
    beyondWorkMs += (Math.max(0, durationMs - workMs) - beyondWorkMs) / measured;
  }

  /** What a request of the service usually takes, in ms. */
  double meanMs() {
    return meanMs;
  }

  /** What a request whose own work is so many ms is likely to take, in ms. */
  double expectedMs(double workMs) {
    return workMs + beyondWorkMs;
  }
}
