package gladelug.data.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * The budget of retries: every first attempt of a service earns a fraction of one, and a small
 * allowance stands at the start, so that over the fleet they stay under the bound whatever fails.
 * What the fleet may spend beyond its earnings in a window is divided evenly over the relays.
 */
public final class RetryBudget {
  /** The product's own figures: 0.15 earned a first try, at most 3 saved up, 1 to begin with. */
  static final double DEFAULT_EARN_RATIO = 0.15, DEFAULT_ALLOWANCE = 1, DEFAULT_MAX_TOKENS = 3;

  /**
   * Of what a bound leaves, how much is used: a relay's share is reckoned from a view that may lag.
   */
  private static final double SAFETY_FACTOR = 0.7;

  private final Map<String, double[]> tokensByService = new HashMap<>();
  private final Supplier<RelaySettings> settings;
  private final IntSupplier relayCount;

  /** By the settings of the moment; relays: over how many the fleet's allowance is shared out. */
  public RetryBudget(Supplier<RelaySettings> settings, IntSupplier relays) {
    this.settings = settings;
    this.relayCount = relays;
  }

  private boolean usesDefaults() {
    return settings.get().retrySlack() < 0;
  }

  private double maxTokens() {
    return usesDefaults()
        ? DEFAULT_MAX_TOKENS
        : Math.max(
            0, settings.get().retrySlack() * SAFETY_FACTOR / Math.max(1, relayCount.getAsInt()));
  }

  private double[] tokensOf(String service) {
    return tokensByService.computeIfAbsent(
        service, text -> new double[] {usesDefaults() ? DEFAULT_ALLOWANCE : maxTokens() / 2});
  }

  public void recordFirstAttempt(String service) {
    double[] t = tokensOf(service);
    t[0] =
        Math.min(
            Math.max(1, maxTokens()),
            t[0] + settings.get().retryRatio() * (usesDefaults() ? 1 : SAFETY_FACTOR));
  }

  public boolean takeRetry(String service) {
    double[] t = tokensOf(service);
    if (t[0] < 1) return false;
    t[0]--;
    return true;
  }
}
