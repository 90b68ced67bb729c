package gladelug.data.relay;

import java.util.function.IntSupplier;

/**
 * This relay's share of a store's link, a token bucket in ms of the link's time. All relays have
 * the same share, so that together they leave the link some of its time without asking each other.
 * Pulls, for which a request waits, may spend all of it; saves only what is beyond half, so that
 * they take what pulls leave. Confined to the request thread.
 */
final class StoreLink {
  /** How much of the link's time all relays may spend together: a queue grows beyond that. */
  private static final double MAX_UTILIZATION = 0.7;

  /** How much of its share a relay that was idle has saved up, in ms of the link's time. */
  private static final double MAX_TOKENS_MS = 240;

  /** Below this, only pulls. */
  private static final double RESERVED_FOR_PULLS_MS = MAX_TOKENS_MS / 2;

  /** A pull that took too long: the store or its link is left alone so long, in ms. */
  private static final long SLOW_BACKOFF_MS = 3000;

  private final IntSupplier relayCount;
  private double tokensMs = RESERVED_FOR_PULLS_MS;
  private long refilledAtMs;
  private long slowUntilMs = Long.MIN_VALUE / 2;

  /** relays: over how many the link's time is shared out. */
  StoreLink(IntSupplier relays, long now) {
    this.relayCount = relays;
    this.refilledAtMs = now;
  }

  private void refill(long now) {
    double share = MAX_UTILIZATION / Math.max(1, relayCount.getAsInt());
    tokensMs = Math.min(MAX_TOKENS_MS, tokensMs + (now - refilledAtMs) * share);
    refilledAtMs = now;
  }

  /** Whether a pull that takes the link so long may be asked for. */
  boolean mayPull(double ms, long now) {
    refill(now);
    return now >= slowUntilMs && tokensMs >= ms;
  }

  /** Whether a save that takes the link so long may be asked for. */
  boolean maySave(double ms, long now) {
    refill(now);
    return now >= slowUntilMs && tokensMs >= RESERVED_FOR_PULLS_MS + ms;
  }

  /** A move that takes the link so long was asked for. */
  void spend(double ms, long now) {
    refill(now);
    tokensMs -= ms;
  }

  /** A pull took far longer than it should. */
  void markSlow(long now) {
    slowUntilMs = now + SLOW_BACKOFF_MS;
  }
}
