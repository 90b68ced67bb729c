package gladelug.data.relay;

import java.util.function.IntSupplier;

/**
 * This relay's share of a store's link, as a token bucket in ms of link time. All relays have the
 * same share, so that together they leave the link some idle time without coordination. Pulls, for
 * which a request waits, may spend all tokens; saves only those above half, so that they use what
 * pulls leave. Confined to the request thread.
 */
final class StoreLink {
  /** Share of link time that all relays may spend together; above it a queue grows. */
  private static final double MAX_UTILIZATION = 0.7;

  /** Capacity of the bucket, in ms of link time. */
  private static final double MAX_TOKENS_MS = 240;

  /** Tokens reserved for pulls, in ms of link time. */
  private static final double RESERVED_FOR_PULLS_MS = MAX_TOKENS_MS / 2;

  /** How long the store is not used after a pull that took too long, in ms. */
  private static final long SLOW_BACKOFF_MS = 3000;

  private final IntSupplier relayCount;
  private double tokensMs = RESERVED_FOR_PULLS_MS;
  private long refilledAtMs;
  private long slowUntilMs = Long.MIN_VALUE / 2;

  /**
   * Creates a link.
   *
   * @param relayCount number of relays that share the link
   */
  StoreLink(IntSupplier relayCount, long nowMs) {
    this.relayCount = relayCount;
    this.refilledAtMs = nowMs;
  }

  private void refill(long nowMs) {
    double share = MAX_UTILIZATION / Math.max(1, relayCount.getAsInt());
    tokensMs = Math.min(MAX_TOKENS_MS, tokensMs + (nowMs - refilledAtMs) * share);
    refilledAtMs = nowMs;
  }

  /** Returns whether a pull that occupies the link for this long may be requested. */
  boolean mayPull(double linkMs, long nowMs) {
    refill(nowMs);
    return nowMs >= slowUntilMs && tokensMs >= linkMs;
  }

  /** Returns whether a save that occupies the link for this long may be requested. */
  boolean maySave(double linkMs, long nowMs) {
    refill(nowMs);
    return nowMs >= slowUntilMs && tokensMs >= RESERVED_FOR_PULLS_MS + linkMs;
  }

  /** Records a requested transfer that occupies the link for this long. */
  void spend(double linkMs, long nowMs) {
    refill(nowMs);
    tokensMs -= linkMs;
  }

  /** Records that a pull took far longer than expected. */
  void markSlow(long nowMs) {
    slowUntilMs = nowMs + SLOW_BACKOFF_MS;
  }
}
