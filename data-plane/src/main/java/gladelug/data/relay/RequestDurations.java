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
  private static final int MAX_SAMPLES = 20;

  private double meanMs = INITIAL_MS;
  private double beyondWorkMs = INITIAL_MS;
  private int sampleCount;

  /** A request whose own work was reckoned at workMs held its place for durationMs. */
  void recordCompletion(double durationMs, double workMs) {
    sampleCount = Math.min(MAX_SAMPLES, sampleCount + 1);
    meanMs += (durationMs - meanMs) / sampleCount;
    beyondWorkMs += (Math.max(0, durationMs - workMs) - beyondWorkMs) / sampleCount;
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
