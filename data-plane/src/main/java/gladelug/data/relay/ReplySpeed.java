package gladelug.data.relay;

/**
 * The time a reply of a service takes after its first event, per token of its maximum length.
 * Callers state the maximum; what share of it is used is learned. Confined to the request thread.
 */
final class ReplySpeed {
  /** Weight of a new sample in the moving average. */
  private static final double REPLY_WEIGHT = 1.0 / 32;

  private double msPerToken;

  /** Records that a reply of at most maxTokens took durationMs after its first event. */
  void recordReply(long durationMs, int maxTokens) {
    if (maxTokens <= 0 || durationMs < 0) return;
    msPerToken += ((double) durationMs / maxTokens - msPerToken) * REPLY_WEIGHT;
  }

  /**
   * Returns the expected duration of a reply of at most maxTokens, in ms; 0 until one was recorded.
   */
  int expectedMs(int maxTokens) {
    return (int) Math.round(msPerToken * Math.max(0, maxTokens));
  }
}
