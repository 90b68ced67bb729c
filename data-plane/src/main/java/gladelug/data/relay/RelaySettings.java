package gladelug.data.relay;

import gladelug.common.configuration.RolloutPlan;
import gladelug.data.state.StateSubscriptionService;
import java.util.Set;

/**
 * Settings of a relay other than its addresses: bounds of its queue, of retries and of streams
 * without a lease, and how replicas are known. The defaults apply to the native protocol; a
 * deployment's values come from its settings file.
 */
public final class RelaySettings {
  /** The settings with all defaults. */
  public static final RelaySettings DEFAULTS = builder().build();

  /** Default extra cost of a replica in another zone, in ms. */
  private static final double DEFAULT_OTHER_ZONE_MS = 2;

  /** Duration of the leases of a core that awaits them whole before it acknowledges, in ms. */
  private static final long DEFAULT_LEASE_MS = 2000;

  private final int maxQueuedRequests;
  private final boolean localSharesOnly;
  private final boolean allowsUnnamedWeights;
  private final boolean cutsRevokedStreams;
  private final double retryRatio;
  private final double retrySlack;
  private final long stateRenewalIntervalMs;
  private final long leaseMs;
  private final long freshMs;
  private final double otherZoneMs;
  private final boolean prefersNewestWeights;
  private final boolean hidesMissingRoutes;
  private final long weightsCutoffMs;
  private final RolloutPlan rolloutPlan;
  private final long lookupTimeoutMs;
  private final Set<Mechanism> disabledMechanisms;
  private final boolean oneIndexPerZone;

  private RelaySettings(Builder builder) {
    maxQueuedRequests = builder.maxQueuedRequests;
    localSharesOnly = builder.localSharesOnly;
    allowsUnnamedWeights = builder.allowsUnnamedWeights;
    cutsRevokedStreams = builder.cutsRevokedStreams;
    retryRatio = builder.retryRatio;
    retrySlack = builder.retrySlack;
    stateRenewalIntervalMs = builder.stateRenewalIntervalMs;
    leaseMs = builder.leaseMs;
    freshMs = builder.freshMs;
    otherZoneMs = builder.otherZoneMs;
    prefersNewestWeights = builder.prefersNewestWeights;
    weightsCutoffMs = builder.weightsCutoffMs;
    rolloutPlan = builder.rolloutPlan;
    lookupTimeoutMs = builder.lookupTimeoutMs;
    hidesMissingRoutes = builder.hidesMissingRoutes;
    disabledMechanisms = Set.copyOf(builder.disabledMechanisms);
    oneIndexPerZone = builder.oneIndexPerZone;
  }

  /** Returns whether only the first index of a zone by name follows holders; otherwise all do. */
  public boolean oneIndexPerZone() {
    return oneIndexPerZone;
  }

  /** Returns whether a mechanism is enabled; all are except in experiments. */
  public boolean isEnabled(Mechanism mechanism) {
    return !disabledMechanisms.contains(mechanism);
  }

  /** Returns how many requests of a service may be queued here. */
  public int maxQueuedRequests() {
    return maxQueuedRequests;
  }

  /**
   * Returns whether this relay enforces quota shares alone, for comparison with the fleet's
   * division.
   */
  public boolean localSharesOnly() {
    return localSharesOnly;
  }

  /** Returns whether requests may run on the weights reported by replicas while none are named. */
  public boolean allowsUnnamedWeights() {
    return allowsUnnamedWeights;
  }

  /**
   * Returns whether running streams are cut off when their key is revoked, and some time after the
   * lease has expired, as the key may have been revoked by then.
   */
  public boolean cutsRevokedStreams() {
    return cutsRevokedStreams;
  }

  /** Returns the number of retries allowed per first attempt, over the fleet. */
  public double retryRatio() {
    return retryRatio;
  }

  /**
   * Returns the number of retries allowed beyond that in a window, over the fleet; negative for the
   * built-in allowance.
   */
  public double retrySlack() {
    return retrySlack;
  }

  /** Returns the interval at which the core is asked for leases and newer state, in ms. */
  public long stateRenewalIntervalMs() {
    return stateRenewalIntervalMs;
  }

  /** Returns how long the core's leases last, in ms. */
  public long leaseMs() {
    return leaseMs;
  }

  /**
   * Returns in how much of a lease on the configuration the core acknowledges no change that this
   * relay lacks, in ms.
   */
  public long freshMs() {
    return freshMs;
  }

  /** Returns the extra cost of a replica in another zone, in ms. */
  public double otherZoneMs() {
    return otherZoneMs;
  }

  /**
   * Returns whether all requests go to replicas with the newest weights as soon as there is one;
   * otherwise old and new weights serve side by side until the cutoff.
   */
  public boolean prefersNewestWeights() {
    return prefersNewestWeights;
  }

  /** Returns how long after weights are named requests may still start on older ones, in ms. */
  public long weightsCutoffMs() {
    return weightsCutoffMs;
  }

  /** Returns when replicas load newly named weights. */
  public RolloutPlan rolloutPlan() {
    return rolloutPlan;
  }

  /** Returns how long an index's answer is awaited, in ms. */
  public long lookupTimeoutMs() {
    return lookupTimeoutMs;
  }

  /**
   * Returns whether a path without a route is answered with 404 also to callers without a valid
   * key.
   */
  public boolean hidesMissingRoutes() {
    return hidesMissingRoutes;
  }

  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings, starting from the defaults. */
  public static final class Builder {
    private int maxQueuedRequests = 256;
    private boolean localSharesOnly;
    private boolean allowsUnnamedWeights;
    private boolean cutsRevokedStreams = true;
    private double retryRatio = RetryBudget.DEFAULT_EARN_RATIO;
    private double retrySlack = -1;
    private long stateRenewalIntervalMs = StateSubscriptionService.REQUEST_INTERVAL_MS;
    private long leaseMs = DEFAULT_LEASE_MS;
    private long freshMs = DEFAULT_LEASE_MS;
    private double otherZoneMs = DEFAULT_OTHER_ZONE_MS;
    private boolean prefersNewestWeights = true;
    private boolean hidesMissingRoutes;
    private long weightsCutoffMs = 15_000;
    private RolloutPlan rolloutPlan = RolloutPlan.thirds(15_000);
    private long lookupTimeoutMs = LookupClient.DEFAULT_WAIT_MS;
    private Set<Mechanism> disabledMechanisms = Set.of();

    private boolean oneIndexPerZone;

    public Builder oneIndexPerZone(boolean enabled) {
      oneIndexPerZone = enabled;
      return this;
    }

    /** Switches off mechanisms, for experiments. */
    public Builder without(Set<Mechanism> mechanisms) {
      disabledMechanisms = mechanisms;
      return this;
    }

    public Builder maxQueuedRequests(int count) {
      maxQueuedRequests = count;
      return this;
    }

    public Builder localSharesOnly(boolean enabled) {
      localSharesOnly = enabled;
      return this;
    }

    public Builder allowsUnnamedWeights(boolean enabled) {
      allowsUnnamedWeights = enabled;
      return this;
    }

    public Builder cutsRevokedStreams(boolean enabled) {
      cutsRevokedStreams = enabled;
      return this;
    }

    public Builder retries(double ratio, double slack) {
      retryRatio = ratio;
      retrySlack = slack;
      return this;
    }

    public Builder stateRenewalIntervalMs(long intervalMs) {
      stateRenewalIntervalMs = intervalMs;
      return this;
    }

    /** Sets the duration of the core's leases and the part of it that counts as fresh. */
    public Builder leases(long durationMs, long freshDurationMs) {
      leaseMs = durationMs;
      freshMs = freshDurationMs;
      return this;
    }

    public Builder prefersNewestWeights(boolean enabled) {
      prefersNewestWeights = enabled;
      return this;
    }

    public Builder rollout(long cutoffMs, RolloutPlan plan) {
      weightsCutoffMs = cutoffMs;
      rolloutPlan = plan;
      return this;
    }

    public Builder lookupTimeoutMs(long timeoutMs) {
      lookupTimeoutMs = timeoutMs;
      return this;
    }

    public Builder hidesMissingRoutes(boolean enabled) {
      hidesMissingRoutes = enabled;
      return this;
    }

    public Builder otherZoneMs(double ms) {
      otherZoneMs = ms;
      return this;
    }

    public RelaySettings build() {
      return new RelaySettings(this);
    }
  }
}
