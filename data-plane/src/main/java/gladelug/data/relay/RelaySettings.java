package gladelug.data.relay;

import gladelug.common.configuration.RolloutPlan;
import gladelug.data.state.StateSubscriptionService;
import java.util.Set;

/**
 * Settings of a relay beside its addresses: bounds of its queue, of retries and of streams without
 * a lease, and how replicas are known. The defaults are the product's own; a deployment's come from
 * its settings file.
 */
public final class RelaySettings {
  public static final RelaySettings DEFAULTS = builder().build();

  /** What a replica in another zone is usually reckoned to cost beside its work, in ms. */
  private static final double DEFAULT_OTHER_ZONE_MS = 2;

  private final int maxQueuedRequests;
  private final boolean localSharesOnly;
  private final boolean allowsUnnamedWeights;
  private final boolean cutsRevokedStreams;
  private final double retryRatio;
  private final double retrySlack;
  private final long stateRenewalIntervalMs;
  private final double otherZoneMs;
  private final boolean prefersNewestWeights;
  private final boolean hidesMissingRoutes;
  private final long weightsCutoffMs;
  private final RolloutPlan rolloutPlan;
  private final long lookupTimeoutMs;
  private final Set<Mechanism> disabledMechanisms;
  private final boolean oneIndexPerZone;

  private RelaySettings(Builder b) {
    maxQueuedRequests = b.maxQueuedRequests;
    localSharesOnly = b.localSharesOnly;
    allowsUnnamedWeights = b.allowsUnnamedWeights;
    cutsRevokedStreams = b.cutsRevokedStreams;
    retryRatio = b.retryRatio;
    retrySlack = b.retrySlack;
    stateRenewalIntervalMs = b.stateRenewalIntervalMs;
    otherZoneMs = b.otherZoneMs;
    prefersNewestWeights = b.prefersNewestWeights;
    weightsCutoffMs = b.weightsCutoffMs;
    rolloutPlan = b.rolloutPlan;
    lookupTimeoutMs = b.lookupTimeoutMs;
    hidesMissingRoutes = b.hidesMissingRoutes;
    disabledMechanisms = Set.copyOf(b.disabledMechanisms);
    oneIndexPerZone = b.oneIndexPerZone;
  }

  /** Whether of a zone's indexes only the first by name follows holders; else all do. */
  public boolean oneIndexPerZone() {
    return oneIndexPerZone;
  }

  /** Whether a mechanism is on; all are but in experiments. */
  public boolean isEnabled(Mechanism mechanism) {
    return !disabledMechanisms.contains(mechanism);
  }

  /** How many requests of a service may wait here. */
  public int maxQueuedRequests() {
    return maxQueuedRequests;
  }

  /** Shares kept by this relay alone, to be measured against the fleet's division. */
  public boolean localSharesOnly() {
    return localSharesOnly;
  }

  /** Whether requests may run on the weights replicas tell of while nobody has named any. */
  public boolean allowsUnnamedWeights() {
    return allowsUnnamedWeights;
  }

  /**
   * Whether running streams end when their key is revoked, and some time after the lease did, as it
   * may be.
   */
  public boolean cutsRevokedStreams() {
    return cutsRevokedStreams;
  }

  /** Second tries a first try, over the fleet. */
  public double retryRatio() {
    return retryRatio;
  }

  /**
   * Second tries in a window beyond that, over the fleet; negative for the product's own allowance.
   */
  public double retrySlack() {
    return retrySlack;
  }

  /** How often the core is asked for leases and newer state, in ms. */
  public long stateRenewalIntervalMs() {
    return stateRenewalIntervalMs;
  }

  /** What a replica in another zone is reckoned to cost beside its work, in ms. */
  public double otherZoneMs() {
    return otherZoneMs;
  }

  /**
   * Whether a single replica with the newest weights gets everything, or both run side by side
   * until the cutoff.
   */
  public boolean prefersNewestWeights() {
    return prefersNewestWeights;
  }

  /**
   * After a naming, how long requests may begin on older weights, in ms, and when replicas take the
   * new ones.
   */
  public long weightsCutoffMs() {
    return weightsCutoffMs;
  }

  public RolloutPlan rolloutPlan() {
    return rolloutPlan;
  }

  /** How long an index's answer is waited for, in ms. */
  public long lookupTimeoutMs() {
    return lookupTimeoutMs;
  }

  /** Whether a path without a route is 404 also for those without a key. */
  public boolean hidesMissingRoutes() {
    return hidesMissingRoutes;
  }

  public static Builder builder() {
    return new Builder();
  }

  /** Begins with the product's own values. */
  public static final class Builder {
    private int maxQueuedRequests = 256;
    private boolean localSharesOnly;
    private boolean allowsUnnamedWeights;
    private boolean cutsRevokedStreams = true;
    private double retryRatio = RetryBudget.DEFAULT_EARN_RATIO;
    private double retrySlack = -1;
    private long stateRenewalIntervalMs = StateSubscriptionService.REQUEST_INTERVAL_MS;
    private double otherZoneMs = DEFAULT_OTHER_ZONE_MS;
    private boolean prefersNewestWeights = true;
    private boolean hidesMissingRoutes;
    private long weightsCutoffMs = 15_000;
    private RolloutPlan rolloutPlan = RolloutPlan.thirds(15_000);
    private long lookupTimeoutMs = LookupClient.DEFAULT_WAIT_MS;
    private Set<Mechanism> disabledMechanisms = Set.of();

    private boolean oneIndexPerZone;

    public Builder oneIndexPerZone(boolean yes) {
      oneIndexPerZone = yes;
      return this;
    }

    /** For experiments: mechanisms that are off. */
    public Builder without(Set<Mechanism> mechanisms) {
      disabledMechanisms = mechanisms;
      return this;
    }

    public Builder maxQueuedRequests(int n) {
      maxQueuedRequests = n;
      return this;
    }

    public Builder localSharesOnly(boolean yes) {
      localSharesOnly = yes;
      return this;
    }

    public Builder allowsUnnamedWeights(boolean yes) {
      allowsUnnamedWeights = yes;
      return this;
    }

    public Builder cutsRevokedStreams(boolean yes) {
      cutsRevokedStreams = yes;
      return this;
    }

    public Builder retries(double ratio, double slack) {
      retryRatio = ratio;
      retrySlack = slack;
      return this;
    }

    public Builder stateRenewalIntervalMs(long ms) {
      stateRenewalIntervalMs = ms;
      return this;
    }

    public Builder prefersNewestWeights(boolean yes) {
      prefersNewestWeights = yes;
      return this;
    }

    public Builder rollout(long cutoff, RolloutPlan plan) {
      weightsCutoffMs = cutoff;
      rolloutPlan = plan;
      return this;
    }

    public Builder lookupTimeoutMs(long ms) {
      lookupTimeoutMs = ms;
      return this;
    }

    public Builder hidesMissingRoutes(boolean yes) {
      hidesMissingRoutes = yes;
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
