package gladelug.data.relay;

/**
 * How long requests of a service hold the place they were given: their own work, and what else they
 * usually wait for at a replica. Learned from requests that completed. Confined to the request
 * thread.
 */
final class RequestDurations {
  /** Until a request completed. */
  private static final double INITIAL_MS = 250;

  /** The weight of one request against those before it. */
  private static final double REQUEST_WEIGHT = 1.0 / 20;

  private double meanMs = INITIAL_MS;
  private double beyondWorkMs = INITIAL_MS;

  /** A request whose own work was reckoned at workMs held its place for durationMs. */
  void measured(double durationMs, double workMs) {
    meanMs += (durationMs - meanMs) * REQUEST_WEIGHT;
    beyondWorkMs += (Math.max(0, durationMs - workMs) - beyondWorkMs) * REQUEST_WEIGHT;
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
