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
  public static final RelaySettings USUAL = builder().build();

  /** What a replica in another zone is usually reckoned to cost beside its work, in ms. */
  private static final double OTHER_ZONE_MS = 2;

  private final int queueMost;
  private final boolean alone;
  private final boolean anyWeights;
  private final boolean cutsStreams;
  private final double retryRatio;
  private final double retrySlack;
  private final long stateRenewalMs;
  private final double zoneMs;
  private final boolean prefersNewest;
  private final boolean hidesNoRoutes;
  private final long cutoffMs;
  private final RolloutPlan roll;
  private final long lookupMs;
  private final Set<Mechanism> without;
  private final boolean oneIndexAZone;

  private RelaySettings(Builder b) {
    queueMost = b.queueMost;
    alone = b.alone;
    anyWeights = b.anyWeights;
    cutsStreams = b.cutsStreams;
    retryRatio = b.retryRatio;
    retrySlack = b.retrySlack;
    stateRenewalMs = b.stateRenewalMs;
    zoneMs = b.zoneMs;
    prefersNewest = b.prefersNewest;
    cutoffMs = b.cutoffMs;
    roll = b.roll;
    lookupMs = b.lookupMs;
    hidesNoRoutes = b.hidesNoRoutes;
    without = Set.copyOf(b.without);
    oneIndexAZone = b.oneIndexAZone;
  }

  /** Whether of a zone's indexes only the first by name follows holders; else all do. */
  public boolean oneIndexAZone() {
    return oneIndexAZone;
  }

  /** Whether a mechanism is on; all are but in experiments. */
  public boolean has(Mechanism mechanism) {
    return !without.contains(mechanism);
  }

  /** How many requests of a service may wait here. */
  public int queueMost() {
    return queueMost;
  }

  /** Shares kept by this relay alone, to be measured against the fleet's division. */
  public boolean alone() {
    return alone;
  }

  /** Whether requests may run on the weights replicas tell of while nobody has named any. */
  public boolean anyWeights() {
    return anyWeights;
  }

  /**
   * Whether running streams end when their key is revoked, and some time after the lease did, as it
   * may be.
   */
  public boolean cutsStreams() {
    return cutsStreams;
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
  public long stateRenewalMs() {
    return stateRenewalMs;
  }

  /** What a replica in another zone is reckoned to cost beside its work, in ms. */
  public double zoneMs() {
    return zoneMs;
  }

  /**
   * Whether a single replica with the newest weights gets everything, or both run side by side
   * until the cutoff.
   */
  public boolean prefersNewest() {
    return prefersNewest;
  }

  /**
   * After a naming, how long requests may begin on older weights, in ms, and when replicas take the
   * new ones.
   */
  public long cutoffMs() {
    return cutoffMs;
  }

  public RolloutPlan roll() {
    return roll;
  }

  /** How long an index's answer is waited for, in ms. */
  public long lookupMs() {
    return lookupMs;
  }

  /** Whether a path without a route is 404 also for those without a key. */
  public boolean hidesNoRoutes() {
    return hidesNoRoutes;
  }

  public static Builder builder() {
    return new Builder();
  }

  /** Begins with the product's own values. */
  public static final class Builder {
    private int queueMost = 256;
    private boolean alone;
    private boolean anyWeights;
    private boolean cutsStreams = true;
    private double retryRatio = RetryBudget.EARN;
    private double retrySlack = -1;
    private long stateRenewalMs = StateSubscriptionService.REQUEST_INTERVAL_MS;
    private double zoneMs = OTHER_ZONE_MS;
    private boolean prefersNewest = true;
    private boolean hidesNoRoutes;
    private long cutoffMs = 15_000;
    private RolloutPlan roll = RolloutPlan.thirds(15_000);
    private long lookupMs = LookupClient.WAIT;
    private Set<Mechanism> without = Set.of();

    private boolean oneIndexAZone;

    public Builder oneIndexAZone(boolean yes) {
      oneIndexAZone = yes;
      return this;
    }

    /** For experiments: mechanisms that are off. */
    public Builder without(Set<Mechanism> mechanisms) {
      without = mechanisms;
      return this;
    }

    public Builder queueMost(int n) {
      queueMost = n;
      return this;
    }

    public Builder alone(boolean yes) {
      alone = yes;
      return this;
    }

    public Builder anyWeights(boolean yes) {
      anyWeights = yes;
      return this;
    }

    public Builder cutsStreams(boolean yes) {
      cutsStreams = yes;
      return this;
    }

    public Builder retries(double ratio, double slack) {
      retryRatio = ratio;
      retrySlack = slack;
      return this;
    }

    public Builder stateRenewalMs(long ms) {
      stateRenewalMs = ms;
      return this;
    }

    public Builder prefersNewest(boolean yes) {
      prefersNewest = yes;
      return this;
    }

    public Builder weights(long cutoff, RolloutPlan plan) {
      cutoffMs = cutoff;
      roll = plan;
      return this;
    }

    public Builder lookupMs(long ms) {
      lookupMs = ms;
      return this;
    }

    public Builder hidesNoRoutes(boolean yes) {
      hidesNoRoutes = yes;
      return this;
    }

    public Builder zoneMs(double ms) {
      zoneMs = ms;
      return this;
    }

    public RelaySettings build() {
      return new RelaySettings(this);
    }
  }
}
