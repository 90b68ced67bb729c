package gladelug.data.relay;

/**
 * How long requests of a service hold their slots: their own work, and what else they usually wait
 * for at a replica. Learned from completed requests. Confined to the request thread.
 */
final class RequestDurations {
  /** Estimate until the first request completed, in ms. */
  private static final double INITIAL_MS = 250;

  /** Number of requests over which durations are averaged. */
  private static final int MAX_SAMPLES = 20;

  private double meanMs = INITIAL_MS;
  private double beyondWorkMs = INITIAL_MS;
  private int sampleCount;

  /**
   * Records that a request held its slot for durationMs, of which workMs was the estimate of its
   * own work.
   */
  void recordCompletion(double durationMs, double workMs) {
    sampleCount = Math.min(MAX_SAMPLES, sampleCount + 1);
    meanMs += (durationMs - meanMs) / sampleCount;
    beyondWorkMs += (Math.max(0, durationMs - workMs) - beyondWorkMs) / sampleCount;
  }

  /** Returns the mean duration of a request of the service, in ms. */
  double meanMs() {
    return meanMs;
  }

  /** Returns the expected duration of a request whose own work takes workMs, in ms. */
  double expectedMs(double workMs) {
    return workMs + beyondWorkMs;
  }
}
