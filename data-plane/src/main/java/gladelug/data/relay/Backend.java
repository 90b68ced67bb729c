package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.message.Lookup;
import java.util.HashMap;
import java.util.Map;

/**
 * One replica as a relay sees it: what the platform lists, what it last reported of itself, and
 * what this relay has sent it since. Replicas either report (the product's own protocol: load,
 * waiting time, links) or are known by the instance list and by what their answers say. Confined to
 * the request thread.
 */
public final class Backend {
  /** After how long a link that was found slow is tried again, in ms. */
  private static final long LINK_RETRY_MS = 20_000;

  /** After how long without a report one that reports is taken for gone, in ms. */
  private static final long REPORT_TIMEOUT_MS = 2000;

  /** After how long without a byte one that was given something is taken for slow, in ms. */
  private static final long UNANSWERED_TIMEOUT_MS = 1200;

  /** Over how long the prefill that was told of is averaged, in ms. */
  private static final double PREFILL_SHARE_AVERAGING_MS = 2000;

  /** How long what the index told of its load counts, in ms. */
  private static final long FLEET_LOAD_MAX_AGE_MS = 1000;

  /** Work given lately is averaged over so long, in ms. */
  private static final double WORK_RATE_AVERAGING_MS = 1000;

  /** Waiting requests that an answer told of are done after about so long, in ms. */
  private static final double REPORTED_QUEUE_DECAY_MS = 800;

  /** How long a request waits for each that waits there before it, in ms. */
  private static final double QUEUED_REQUEST_WAIT_MS = 25;

  /** How long a request waits for memory that others hold, in ms. */
  private static final double FULL_MEMORY_WAIT_MS = 2000;

  /** How long a request is likely to wait for one that leaves others unanswered, in ms. */
  private static final double UNRESPONSIVE_WAIT_MS = 1500;

  /** The share of its memory from which on requests wait there or put others back. */
  private static final double MEMORY_PRESSURE_THRESHOLD = 0.8;

  /** The most of its memory beyond that share that is reckoned with. */
  private static final double MAX_MEMORY_EXCESS = 1.5;

  /** Of a relay's own work at a replica, what each other relay is reckoned to give it beside. */
  private static final double OTHER_RELAY_LOAD_RATIO = 0.8;

  /** The most that a replica is reckoned to be busy, as the wait grows without end towards 1. */
  private static final double MAX_UTILIZATION = 0.9;

  /** How long the work of one request usually is, of those that others wait for, in ms. */
  private static final double TYPICAL_REQUEST_MS = 40;

  public Replica replica;
  public boolean stateKnown;

  /** Whether it reports by itself; else silence means nothing. */
  public final boolean reportsLoad;

  /** By model. */
  public Map<String, String> weightsByModel = new HashMap<>();

  public int slots = 1;
  public int blockBytes = 256;

  /** Estimated ms to compute a unit of a prompt. */
  public double computeMsPerUnit = 1;

  public double reportedWaitMs;
  public int reportedRequests;
  public int ownRequests;
  public int ownRequestsAtReport;
  public double addedWorkMs;
  public long reportedAtMs = Long.MIN_VALUE / 2;
  public long ejectedUntilMs = Long.MIN_VALUE / 2;

  /** Told to be ill by its own answers rather than by a moment's refusal; for people. */
  public int failures;

  public Map<String, Double> linkMsByHolder = new HashMap<>();

  /** Estimated ms to pull a unit over its link, 0 where each link is measured by itself. */
  private double engineLinkMsPerUnit;

  private int tokenBytes;

  private long ownWorkUntilMs;

  /** Until when it is busy by what all relays gave it, and when that was told. */
  private long fleetBusyUntilMs;

  private long fleetLoadAtMs = Long.MIN_VALUE / 2;
  private double recentPrefillShare;
  private int fleetRunning;
  private int fleetUnits;

  /** Ms of work a ms that this relay gave it lately, and when that was last reckoned. */
  private double workRate;

  private long workRateAtMs;

  /** Units under way there of this relay's, and the most it keeps (0: not known). */
  public int ownUnits;

  private long memoryUnits;
  private double averageRequestUnits = 1500;
  private int reportedWaiting;
  private long oldWeightsUntilMs = Long.MIN_VALUE / 2;

  /**
   * When bytes last came from it, and since when something it was given has waited for the first.
   */
  private long lastByteAtMs = Long.MIN_VALUE / 2;

  private long unansweredSinceMs = Long.MIN_VALUE / 2;
  private int unansweredRequests;
  private long slowLinkUntilMs = Long.MIN_VALUE / 2;
  private final Map<String, Long> pulledAtMs = new HashMap<>();

  public Backend(Replica replica) {
    this(replica, true);
  }

  public Backend(Replica replica, boolean reports) {
    this.replica = replica;
    this.reportsLoad = reports;
  }

  public String reportedWeights(String model) {
    return weightsByModel.getOrDefault(model, "");
  }

  /** What the list and the configuration say of one that doesn't report. */
  void applyListing(Replica replica, Configuration.Service service, long nowMs) {
    for (Map.Entry<String, String> weights : replica.weights().entrySet()) {
      // an answer since may have told of newer weights than the list, which lags
      if (isNewer(weights.getValue(), reportedWeights(weights.getKey())))
        weightsByModel.put(weights.getKey(), weights.getValue());
    }
    if (!stateKnown) {
      reportedAtMs = nowMs;
      computeMsPerUnit = PrefillSpeed.DEFAULT_MS_PER_UNIT;
    }
    stateKnown = true;
    memoryUnits = service.engine().keptTokens();
    slots = Math.max(1, replica.slots() > 0 ? replica.slots() : service.engine().slots());
    tokenBytes = service.engine().tokenBytes();
    if (service.engine().linkMbps() > 0)
      engineLinkMsPerUnit =
          service.engine().tokenBytes() * 8.0 / (service.engine().linkMbps() * 1000);
  }

  /**
   * Whether weights named a come after those named b; those that are numbers go by their value.
   * Where none are told, that comes after nothing.
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

  /** Bytes of a token that it keeps; 0 where not known. */
  int tokenBytes() {
    return tokenBytes;
  }

  /** What an answer's head told: requests running and waiting there. */
  public void recordLoad(int running, int waiting, long nowMs) {
    reportedWaiting = waiting;
    reportedRequests = running + waiting;
    ownRequestsAtReport = ownRequests;
    reportedAtMs = nowMs;
    reportedWaitMs = 0;
  }

  /** Requests it has, by its last report and what this relay did since. */
  public int load() {
    return ownRequests + Math.max(0, reportedRequests - ownRequestsAtReport);
  }

  /** Its slots and one more, so that the next request is there when one ends. */
  public int admissionSlots() {
    return slots + 1;
  }

  public int freeSlots() {
    return Math.max(0, admissionSlots() - load());
  }

  public boolean isUsable(long nowMs) {
    return stateKnown
        && nowMs >= ejectedUntilMs
        && (!reportsLoad || nowMs - reportedAtMs < REPORT_TIMEOUT_MS);
  }

  /** In how many ms it may be given requests again, as far as is known; 0 where it may now. */
  long msUntilUsable(long nowMs) {
    if (isUsable(nowMs)) return 0;
    return nowMs < ejectedUntilMs ? ejectedUntilMs - nowMs : Backends.POLL_INTERVAL_MS;
  }

  /**
   * Has told nothing of itself for so long that what it was given is given up; not by a relay just
   * awake.
   */
  public boolean isSilent(long nowMs, long awakeSinceMs) {
    return reportsLoad && nowMs - Math.max(reportedAtMs, awakeSinceMs) > REPORT_TIMEOUT_MS;
  }

  /**
   * Was given something and no byte of anything came since: others are better, but it may only be
   * busy.
   */
  private boolean isUnresponsive(long nowMs) {
    return unansweredRequests > 0
        && nowMs - Math.max(lastByteAtMs, unansweredSinceMs) > UNANSWERED_TIMEOUT_MS
        && nowMs - unansweredSinceMs < 10 * UNANSWERED_TIMEOUT_MS;
  }

  /** A request went there. */
  public void recordSent(long nowMs) {
    if (unansweredRequests++ == 0) unansweredSinceMs = nowMs;
  }

  /** The first byte of an answer came, or the request ended without one. */
  public void recordAnswered(boolean byteReceived, long nowMs) {
    unansweredRequests = Math.max(0, unansweredRequests - 1);
    if (byteReceived) recordByteReceived(nowMs);
  }

  public void recordByteReceived(long nowMs) {
    lastByteAtMs = nowMs;
  }

  /**
   * Estimated wait there of a request of so many units, in ms. One that reports says so itself. Of
   * another it is what this relay gave it and isn't done, what as busy a server makes one wait if
   * the other relays give it as much lately, what it told of waiting ones, and the room in its
   * memory.
   */
  public double estimatedQueueMs(long nowMs, int relayCount, int units, RelaySettings settings) {
    if (reportsLoad) return Math.max(0, reportedWaitMs - (nowMs - reportedAtMs)) + addedWorkMs;
    return (settings.isEnabled(Mechanism.SILENCE_ESTIMATES) && isUnresponsive(nowMs)
            ? UNRESPONSIVE_WAIT_MS
            : 0)
        + (settings.isEnabled(Mechanism.LOAD_ESTIMATES) ? outstandingWorkMs(nowMs, relayCount) : 0)
        + (settings.isEnabled(Mechanism.MEMORY_ESTIMATES) ? memoryWaitMs(units, nowMs) : 0);
  }

  /** Work that it was given and isn't done, this relay's and by its example that of the others. */
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

  private double reportedQueueMs(long nowMs) {
    return reportedWaiting
        * QUEUED_REQUEST_WAIT_MS
        * Math.exp(-(nowMs - reportedAtMs) / REPORTED_QUEUE_DECAY_MS);
  }

  /** The index told what all relays gave it; this relay's own was among it. */
  void recordFleetLoad(Lookup.Load load, long nowMs) {
    double sampleWeight = 1 - Math.exp(-(nowMs - fleetLoadAtMs) / PREFILL_SHARE_AVERAGING_MS);
    recentPrefillShare += ((load.busyMs() > 0 ? 1 : 0) - recentPrefillShare) * sampleWeight;
    fleetBusyUntilMs = nowMs + load.busyMs();
    fleetRunning = load.running();
    fleetUnits = load.units();
    fleetLoadAtMs = nowMs;
  }

  /** The part of the time in which it reads prompts, by what was told of it lately. */
  double recentPrefillShare() {
    return recentPrefillShare;
  }

  /** How long the prompts that it has keep it busy from now, in ms; 0 of one that reports. */
  double pendingPrefillMs(long nowMs) {
    if (reportsLoad) return 0;
    return Math.max(0, (hasFreshFleetLoad(nowMs) ? fleetBusyUntilMs : ownWorkUntilMs) - nowMs);
  }

  private boolean hasFreshFleetLoad(long nowMs) {
    return nowMs - fleetLoadAtMs < FLEET_LOAD_MAX_AGE_MS;
  }

  /** Requests it has, as far as this relay and a fresh answer of the index know. */
  int runningRequests(long nowMs) {
    return hasFreshFleetLoad(nowMs) ? Math.max(load(), fleetRunning) : load();
  }

  /** What a request of so many units waits for room in its memory. */
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

  /** This relay gave it work of so many ms. */
  public void addWork(double workMs, long nowMs) {
    addedWorkMs += workMs;
    ownWorkUntilMs = Math.max(ownWorkUntilMs, nowMs) + Math.round(workMs);
    fleetBusyUntilMs = Math.max(fleetBusyUntilMs, nowMs) + Math.round(workMs);
    workRate = decayedWorkRate(nowMs) + workMs / WORK_RATE_AVERAGING_MS;
  }

  /** A request of so many units goes there. */
  public void reserveUnits(int units) {
    ownUnits += units;
    averageRequestUnits += (units - averageRequestUnits) / 64;
  }

  public void releaseUnits(int units) {
    ownUnits = Math.max(0, ownUnits - units);
  }

  /** It said that it still runs older weights than was thought. */
  public void markOnOldWeights(long untilMs) {
    oldWeightsUntilMs = untilMs;
  }

  public boolean isOnOldWeights(long nowMs) {
    return nowMs < oldWeightsUntilMs;
  }

  /** A pull took far longer than its link should need: for a while units are computed here. */
  public void markLinkSlow(long nowMs) {
    slowLinkUntilMs = nowMs + LINK_RETRY_MS / 4;
  }

  /**
   * Estimated ms to pull a unit from a holder: as this replica measured it, else by its engine's
   * link and where the holder stands, else hopefully a quarter of computing it. Negative: not to be
   * tried now.
   */
  public double pullMsPerUnit(String holder, String holderZone, long nowMs) {
    if (engineLinkMsPerUnit > 0)
      return nowMs < slowLinkUntilMs
          ? -1
          : engineLinkMsPerUnit * (holderZone.equals(replica.zone()) ? 1 : 2);
    return isLinkSpeedUnknown(holder, nowMs) ? computeMsPerUnit / 4 : linkMsByHolder.get(holder);
  }

  /**
   * A link never measured, or found slow a while ago: only a pull shows what it is now. Such a pull
   * takes a block or two and no more, so that a slow link costs little each time.
   */
  public boolean isLinkSpeedUnknown(String holder, long nowMs) {
    if (engineLinkMsPerUnit > 0) return false;
    Double measuredMs = linkMsByHolder.get(holder);
    return measuredMs == null
        || measuredMs > computeMsPerUnit / 4
            && nowMs - pulledAtMs.getOrDefault(holder, nowMs - 1) > LINK_RETRY_MS;
  }

  public void recordPull(String holder, long nowMs) {
    pulledAtMs.put(holder, nowMs);
  }

  public void eject(long nowMs, long durationMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + durationMs);
  }
}
