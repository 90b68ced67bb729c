package gladelug.data.relay;

/**
 * How long a reply of a service takes after its first event, for each token that it may have at
 * most: callers tell the most, and learn how much of it comes. Confined to the request thread.
 */
final class ReplySpeed {
  /** The weight of one reply against those before it. */
  private static final double REPLY_WEIGHT = 1.0 / 32;

  private double msPerToken;

  /** A reply that might have so many tokens took so many ms after its first event. */
  void recordReply(long ms, int mostTokens) {
    if (mostTokens <= 0 || ms < 0) return;
    msPerToken += ((double) ms / mostTokens - msPerToken) * REPLY_WEIGHT;
  }

  /** How long a reply of at most so many tokens is likely to take, in ms; 0 until one was seen. */
  int expectedMs(int mostTokens) {
    return (int) Math.round(msPerToken * Math.max(0, mostTokens));
  }
}
