package gladelug.data.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Limits retries: every first attempt of a service earns a fraction of a retry, and there is a
 * small initial allowance, so that retries over the fleet stay under the bound whatever fails. What
 * the fleet may spend in a window beyond its earnings is divided evenly among the relays.
 */
public final class RetryBudget {
  /** Built-in values: retries earned per first attempt, initial allowance, and maximum saved up. */
  static final double DEFAULT_EARN_RATIO = 0.15, DEFAULT_ALLOWANCE = 1, DEFAULT_MAX_TOKENS = 3;

  /**
   * Share of the bound that is used, as a relay's part is computed from a view of the fleet that
   * may lag behind.
   */
  private static final double SAFETY_FACTOR = 0.7;

  private final Map<String, double[]> tokensByService = new HashMap<>();
  private final Supplier<RelaySettings> settings;
  private final IntSupplier relayCount;

  /**
   * Creates a budget that follows changes of the settings.
   *
   * @param relayCount number of relays that share the fleet's allowance
   */
  public RetryBudget(Supplier<RelaySettings> settings, IntSupplier relayCount) {
    this.settings = settings;
    this.relayCount = relayCount;
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
        service, name -> new double[] {usesDefaults() ? DEFAULT_ALLOWANCE : maxTokens() / 2});
  }

  /** Records a first attempt, which earns a fraction of a retry. */
  public void recordFirstAttempt(String service) {
    double[] tokens = tokensOf(service);
    tokens[0] =
        Math.min(
            Math.max(1, maxTokens()),
            tokens[0] + settings.get().retryRatio() * (usesDefaults() ? 1 : SAFETY_FACTOR));
  }

  /** Takes one retry from the budget; returns false if there is none left. */
  public boolean takeRetry(String service) {
    double[] tokens = tokensOf(service);
    if (tokens[0] < 1) return false;
    tokens[0]--;
    return true;
  }
}
