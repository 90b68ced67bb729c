package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.message.Lookup;
import java.util.HashMap;
import java.util.Map;

/**
 * A replica as seen by one relay: what the platform lists, what the replica last reported, and what
 * this relay has sent it since. Replicas either report their load (native protocol: load, waiting
 * time, links) or are known only from the instance list and from their answers. Confined to the
 * request thread.
 */
public final class Backend {
  /** Interval after which a link that was found slow is tried again, in ms. */
  private static final long LINK_RETRY_MS = 20_000;

  /** Time without a report after which a reporting replica is considered gone, in ms. */
  private static final long REPORT_TIMEOUT_MS = 2000;

  /** Time without any received byte after which a replica with requests counts as slow, in ms. */
  private static final long UNANSWERED_TIMEOUT_MS = 1200;

  /** Averaging time of the share of time spent on prefill, in ms. */
  private static final double PREFILL_SHARE_AVERAGING_MS = 2000;

  /** Maximum age of the fleet load reported by the index, in ms. */
  private static final long FLEET_LOAD_MAX_AGE_MS = 1000;

  /** Averaging time of the rate of work sent to the replica, in ms. */
  private static final double WORK_RATE_AVERAGING_MS = 1000;

  /** Time constant with which a reported number of queued requests decays, in ms. */
  private static final double REPORTED_QUEUE_DECAY_MS = 800;

  /** Estimated wait per request already queued at the replica, in ms. */
  private static final double QUEUED_REQUEST_WAIT_MS = 25;

  /** Estimated wait per unit of memory excess (1 is the replica's whole memory), in ms. */
  private static final double FULL_MEMORY_WAIT_MS = 2000;

  /** Estimated wait at a replica that leaves requests unanswered, in ms. */
  private static final double UNRESPONSIVE_WAIT_MS = 1500;

  /** Share of the replica's memory above which requests are queued or preempted. */
  private static final double MEMORY_PRESSURE_THRESHOLD = 0.8;

  /** Upper bound of the excess over that share used in the estimate, as a share of memory. */
  private static final double MAX_MEMORY_EXCESS = 1.5;

  /** Work that each other relay is assumed to send to a replica, relative to this relay's own. */
  private static final double OTHER_RELAY_LOAD_RATIO = 0.8;

  /** Upper bound of the estimated utilization, as the estimated wait diverges towards 1. */
  private static final double MAX_UTILIZATION = 0.9;

  /** Typical duration of a request that others queue behind, in ms. */
  private static final double TYPICAL_REQUEST_MS = 40;

  public Replica replica;

  /** Whether the replica was listed or has identified itself in its last report. */
  public boolean stateKnown;

  /** Whether the replica reports its load; if not, silence is no sign of failure. */
  public final boolean reportsLoad;

  /** Version of the weights the replica runs, by model. */
  public Map<String, String> weightsByModel = new HashMap<>();

  public int slots = 1;
  public int blockBytes = 256;

  /** Estimated time to compute one unit (token or block) of a prompt, in ms. */
  public double computeMsPerUnit = 1;

  /** Wait of a new request as last reported by the replica, in ms. */
  public double reportedWaitMs;

  /** Running and queued requests of all relays as last reported by the replica. */
  public int reportedRequests;

  /** This relay's requests at the replica, now and at the time of the last report. */
  public int ownRequests;

  public int ownRequestsAtReport;

  /** Work sent by this relay since the last report, in ms. */
  public double addedWorkMs;

  public long reportedAtMs = Long.MIN_VALUE / 2;

  /** Until when the replica receives no new requests after a failure or refusal. */
  public long ejectedUntilMs = Long.MIN_VALUE / 2;

  /** Failures seen in the replica's answers, excluding temporary refusals. */
  public int failures;

  /** Measured time to pull a unit, in ms, by the holder it is pulled from. */
  public Map<String, Double> linkMsByHolder = new HashMap<>();

  /**
   * Estimated time to pull a unit over the engine's link, in ms; 0 if each link is measured
   * separately.
   */
  private double engineLinkMsPerUnit;

  private int tokenBytes;

  /** Until when the work sent by this relay keeps the replica busy. */
  private long ownWorkUntilMs;

  /** Until when the work sent by all relays keeps the replica busy, as reported by the index. */
  private long fleetBusyUntilMs;

  private long fleetLoadAtMs = Long.MIN_VALUE / 2;
  private double recentPrefillShare;
  private int fleetRunning;
  private int fleetUnits;

  /** Work this relay sent recently, in ms of work per ms of time, as of workRateAtMs. */
  private double workRate;

  private long workRateAtMs;

  /** Units of this relay's running requests at the replica. */
  public int ownUnits;

  /** Units that fit into the replica's memory; 0 if unknown. */
  private long memoryUnits;

  private double averageRequestUnits = 1500;
  private int reportedWaiting;
  private long oldWeightsUntilMs = Long.MIN_VALUE / 2;

  /** When the last byte was received from the replica. */
  private long lastByteAtMs = Long.MIN_VALUE / 2;

  private long unansweredSinceMs = Long.MIN_VALUE / 2;
  private int unansweredRequests;
  private long slowLinkUntilMs = Long.MIN_VALUE / 2;
  private final Map<String, Long> pulledAtMs = new HashMap<>();

  public Backend(Replica replica) {
    this(replica, true);
  }

  public Backend(Replica replica, boolean reportsLoad) {
    this.replica = replica;
    this.reportsLoad = reportsLoad;
  }

  public String reportedWeights(String model) {
    return weightsByModel.getOrDefault(model, "");
  }

  /** Applies the instance list and the configuration of a replica that does not report its load. */
  void applyListing(Replica replica, Configuration.Service service, long nowMs) {
    for (Map.Entry<String, String> weights : replica.weightsByModel().entrySet()) {
      // an answer may have reported newer weights than the list, which lags behind
      if (isNewer(weights.getValue(), reportedWeights(weights.getKey())))
        weightsByModel.put(weights.getKey(), weights.getValue());
    }
    if (!stateKnown) {
      reportedAtMs = nowMs;
      computeMsPerUnit = PrefillSpeed.DEFAULT_MS_PER_UNIT;
    }
    stateKnown = true;
    memoryUnits = service.engine().cacheCapacityTokens();
    slots = Math.max(1, replica.slots() > 0 ? replica.slots() : service.engine().slots());
    tokenBytes = service.engine().bytesPerToken();
    if (service.engine().linkMbps() > 0)
      engineLinkMsPerUnit =
          service.engine().bytesPerToken() * 8.0 / (service.engine().linkMbps() * 1000);
  }

  /**
   * Returns whether one version of weights is newer than another. Versions that are numbers are
   * compared by value. Any version is newer than an empty one.
   */
  public static boolean isNewer(String candidate, String reference) {
    if (candidate.isEmpty() || reference.isEmpty()) return !candidate.isEmpty();
    if (candidate.length() != reference.length() && isNumber(candidate) && isNumber(reference))
      return candidate.length() > reference.length();
    return isNumber(candidate) && isNumber(reference)
        ? candidate.compareTo(reference) > 0
        : !candidate.equals(reference);
  }

  private static boolean isNumber(String text) {
    for (int i = 0; i < text.length(); i++)
      if (text.charAt(i) < '0' || text.charAt(i) > '9') return false;
    return !text.isEmpty() && text.length() < 19;
  }

  /** Returns the size of a cached token in bytes, or 0 if unknown. */
  int tokenBytes() {
    return tokenBytes;
  }

  /** Records the numbers of running and queued requests reported in an answer's header. */
  public void recordLoad(int running, int waiting, long nowMs) {
    reportedWaiting = waiting;
    reportedRequests = running + waiting;
    ownRequestsAtReport = ownRequests;
    reportedAtMs = nowMs;
    reportedWaitMs = 0;
  }

  /**
   * Returns the number of requests at the replica: its last report plus what this relay sent and
   * finished since.
   */
  public int load() {
    return ownRequests + Math.max(0, reportedRequests - ownRequestsAtReport);
  }

  /**
   * Returns one more than the number of slots, so that the next request is already there when one
   * ends.
   */
  public int admissionSlots() {
    return slots + 1;
  }

  /** Returns how many more requests the replica may be given now. */
  public int freeSlots() {
    return Math.max(0, admissionSlots() - load());
  }

  /** Returns whether the replica may be given requests now. */
  public boolean isUsable(long nowMs) {
    return stateKnown
        && nowMs >= ejectedUntilMs
        && (!reportsLoad || nowMs - reportedAtMs < REPORT_TIMEOUT_MS);
  }

  /** Returns the time until the replica may receive requests again, in ms; 0 if it may now. */
  long msUntilUsable(long nowMs) {
    if (isUsable(nowMs)) return 0;
    return nowMs < ejectedUntilMs ? ejectedUntilMs - nowMs : Backends.POLL_INTERVAL_MS;
  }

  /**
   * Returns whether the replica has sent no report for so long that its requests are given up. The
   * time in which the relay itself was stalled does not count.
   */
  public boolean isSilent(long nowMs, long awakeSinceMs) {
    return reportsLoad && nowMs - Math.max(reportedAtMs, awakeSinceMs) > REPORT_TIMEOUT_MS;
  }

  /**
   * Returns whether the replica has sent no byte since it was given a request. Other replicas are
   * preferred then, but it may only be busy.
   */
  private boolean isUnresponsive(long nowMs) {
    return unansweredRequests > 0
        && nowMs - Math.max(lastByteAtMs, unansweredSinceMs) > UNANSWERED_TIMEOUT_MS
        && nowMs - unansweredSinceMs < 10 * UNANSWERED_TIMEOUT_MS;
  }

  /** Records that a request was sent to the replica. */
  public void recordSent(long nowMs) {
    if (unansweredRequests++ == 0) unansweredSinceMs = nowMs;
  }

  /** Records that the first byte of an answer arrived, or that the request ended without one. */
  public void recordAnswered(boolean byteReceived, long nowMs) {
    unansweredRequests = Math.max(0, unansweredRequests - 1);
    if (byteReceived) recordByteReceived(nowMs);
  }

  public void recordByteReceived(long nowMs) {
    lastByteAtMs = nowMs;
  }

  /**
   * Returns the estimated wait of a request of this many units, in ms. A reporting replica states
   * its wait itself. For others it is the sum of the unfinished work this relay sent, the queueing
   * delay at the utilization that results if the other relays send as much, the reported queue, and
   * the wait for memory.
   */
  public double estimatedQueueMs(long nowMs, int relayCount, int units, RelaySettings settings) {
    if (reportsLoad) return Math.max(0, reportedWaitMs - (nowMs - reportedAtMs)) + addedWorkMs;
    return (settings.isEnabled(Mechanism.SILENCE_ESTIMATES) && isUnresponsive(nowMs)
            ? UNRESPONSIVE_WAIT_MS
            : 0)
        + (settings.isEnabled(Mechanism.LOAD_ESTIMATES) ? outstandingWorkMs(nowMs, relayCount) : 0)
        + (settings.isEnabled(Mechanism.MEMORY_ESTIMATES) ? memoryWaitMs(units, nowMs) : 0);
  }

  /**
   * Returns the unfinished work at the replica, in ms: this relay's own, and the other relays'
   * estimated from it unless the index reported it recently.
   */
  private double outstandingWorkMs(long nowMs, int relayCount) {
    if (hasFreshFleetLoad(nowMs))
      return Math.max(0, fleetBusyUntilMs - nowMs) + reportedQueueMs(nowMs);
    double utilization =
        Math.min(
            MAX_UTILIZATION,
            decayedWorkRate(nowMs) * Math.max(1, relayCount * OTHER_RELAY_LOAD_RATIO));
    return Math.max(0, ownWorkUntilMs - nowMs)
        + utilization * utilization / (1 - utilization) * TYPICAL_REQUEST_MS
        + reportedQueueMs(nowMs);
  }

  /** Returns the estimated wait for the reported queue, which decays with the report's age. */
  private double reportedQueueMs(long nowMs) {
    return reportedWaiting
        * QUEUED_REQUEST_WAIT_MS
        * Math.exp(-(nowMs - reportedAtMs) / REPORTED_QUEUE_DECAY_MS);
  }

  /** Records the load from all relays as reported by the index; this relay's own is part of it. */
  void recordFleetLoad(Lookup.Load load, long nowMs) {
    double sampleWeight = 1 - Math.exp(-(nowMs - fleetLoadAtMs) / PREFILL_SHARE_AVERAGING_MS);
    recentPrefillShare += ((load.busyMs() > 0 ? 1 : 0) - recentPrefillShare) * sampleWeight;
    fleetBusyUntilMs = nowMs + load.busyMs();
    fleetRunning = load.runningRequests();
    fleetUnits = load.memoryUnits();
    fleetLoadAtMs = nowMs;
  }

  /** Returns the recent share of time the replica spends on prefill, from 0 to 1. */
  double recentPrefillShare() {
    return recentPrefillShare;
  }

  /**
   * Returns how long the prompts already at the replica keep it busy from now, in ms; 0 for a
   * replica that reports its load.
   */
  double pendingPrefillMs(long nowMs) {
    if (reportsLoad) return 0;
    return Math.max(0, (hasFreshFleetLoad(nowMs) ? fleetBusyUntilMs : ownWorkUntilMs) - nowMs);
  }

  private boolean hasFreshFleetLoad(long nowMs) {
    return nowMs - fleetLoadAtMs < FLEET_LOAD_MAX_AGE_MS;
  }

  /**
   * Returns the number of requests at the replica as known to this relay and from a recent answer
   * of the index.
   */
  int runningRequests(long nowMs) {
    return hasFreshFleetLoad(nowMs) ? Math.max(load(), fleetRunning) : load();
  }

  /** Returns the estimated wait of a request of this many units for memory, in ms. */
  private double memoryWaitMs(int units, long nowMs) {
    double usedUnits =
        ownUnits + Math.max(0, reportedRequests - ownRequestsAtReport) * averageRequestUnits;
    if (hasFreshFleetLoad(nowMs)) usedUnits = Math.max(usedUnits, fleetUnits);
    double excess =
        memoryUnits <= 0
            ? 0
            : Math.max(0, (usedUnits + units) / memoryUnits - MEMORY_PRESSURE_THRESHOLD);
    return Math.min(MAX_MEMORY_EXCESS, excess) * FULL_MEMORY_WAIT_MS;
  }

  private double decayedWorkRate(long nowMs) {
    workRate *= Math.exp(-(nowMs - workRateAtMs) / WORK_RATE_AVERAGING_MS);
    workRateAtMs = nowMs;
    return workRate;
  }

  /** Records work of this many ms sent by this relay. */
  public void addWork(double workMs, long nowMs) {
    addedWorkMs += workMs;
    ownWorkUntilMs = Math.max(ownWorkUntilMs, nowMs) + Math.round(workMs);
    fleetBusyUntilMs = Math.max(fleetBusyUntilMs, nowMs) + Math.round(workMs);
    workRate = decayedWorkRate(nowMs) + workMs / WORK_RATE_AVERAGING_MS;
  }

  /** Records that a request of this many units was assigned to the replica. */
  public void reserveUnits(int units) {
    ownUnits += units;
    averageRequestUnits += (units - averageRequestUnits) / 64;
  }

  /** Records that a request of this many units has left the replica. */
  public void releaseUnits(int units) {
    ownUnits = Math.max(0, ownUnits - units);
  }

  /** Records that the replica reported older weights than assumed. */
  public void markOnOldWeights(long untilMs) {
    oldWeightsUntilMs = untilMs;
  }

  /** Returns whether the replica recently reported older weights than assumed. */
  public boolean isOnOldWeights(long nowMs) {
    return nowMs < oldWeightsUntilMs;
  }

  /**
   * Records that a pull took far longer than its link should need; for a while its units are
   * computed instead.
   */
  public void markLinkSlow(long nowMs) {
    slowLinkUntilMs = nowMs + LINK_RETRY_MS / 4;
  }

  /**
   * Returns the estimated time to pull a unit from a holder, in ms: as measured by this replica,
   * else from its engine's link and the holder's zone, else assumed to be a quarter of computing
   * it. Negative if no pull should be tried now.
   */
  public double pullMsPerUnit(String holder, String holderZone, long nowMs) {
    if (engineLinkMsPerUnit > 0)
      return nowMs < slowLinkUntilMs
          ? -1
          : engineLinkMsPerUnit * (holderZone.equals(replica.zone()) ? 1 : 2);
    return isLinkSpeedUnknown(holder, nowMs) ? computeMsPerUnit / 4 : linkMsByHolder.get(holder);
  }

  /**
   * Returns whether the link was never measured or was found slow a while ago. Only another pull
   * shows its present speed; such a probe is limited to a few blocks so that a slow link costs
   * little each time.
   */
  public boolean isLinkSpeedUnknown(String holder, long nowMs) {
    if (engineLinkMsPerUnit > 0) return false;
    Double measuredMs = linkMsByHolder.get(holder);
    return measuredMs == null
        || measuredMs > computeMsPerUnit / 4
            && nowMs - pulledAtMs.getOrDefault(holder, nowMs - 1) > LINK_RETRY_MS;
  }

  /** Records that a pull from this holder was requested. */
  public void recordPull(String holder, long nowMs) {
    pulledAtMs.put(holder, nowMs);
  }

  /** Excludes the replica from new requests for this long. */
  public void eject(long nowMs, long durationMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + durationMs);
  }
}
