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

  public Backend(Replica r) {
    this(r, true);
  }

  public Backend(Replica r, boolean reports) {
    this.replica = r;
    this.reportsLoad = reports;
  }

  public String reportedWeights(String model) {
    return weightsByModel.getOrDefault(model, "");
  }

  /** What the list and the configuration say of one that doesn't report. */
  void applyListing(Replica r, Configuration.Service s, long now) {
    for (Map.Entry<String, String> e : r.weightsByModel().entrySet()) {
      // an answer since may have told of newer weights than the list, which lags
      if (isNewer(e.getValue(), reportedWeights(e.getKey())))
        weightsByModel.put(e.getKey(), e.getValue());
    }
    if (!stateKnown) {
      reportedAtMs = now;
      computeMsPerUnit = PrefillSpeed.DEFAULT_MS_PER_UNIT;
    }
    stateKnown = true;
    memoryUnits = s.engine().cacheCapacityTokens();
    slots = Math.max(1, r.slots() > 0 ? r.slots() : s.engine().slots());
    tokenBytes = s.engine().bytesPerToken();
    if (s.engine().linkMbps() > 0)
      engineLinkMsPerUnit = s.engine().bytesPerToken() * 8.0 / (s.engine().linkMbps() * 1000);
  }

  /**
   * Whether weights named a come after those named b; those that are numbers go by their value.
   * Where none are told, that comes after nothing.
   */
  public static boolean isNewer(String a, String b) {
    if (a.isEmpty() || b.isEmpty()) return !a.isEmpty();
    if (a.length() != b.length() && isNumber(a) && isNumber(b)) return a.length() > b.length();
    return isNumber(a) && isNumber(b) ? a.compareTo(b) > 0 : !a.equals(b);
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
  public void recordLoad(int running, int waiting, long now) {
    reportedWaiting = waiting;
    reportedRequests = running + waiting;
    ownRequestsAtReport = ownRequests;
    reportedAtMs = now;
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

  public boolean isUsable(long now) {
    return stateKnown
        && now >= ejectedUntilMs
        && (!reportsLoad || now - reportedAtMs < REPORT_TIMEOUT_MS);
  }

  /** In how many ms it may be given requests again, as far as is known; 0 where it may now. */
  long msUntilUsable(long now) {
    if (isUsable(now)) return 0;
    return now < ejectedUntilMs ? ejectedUntilMs - now : Backends.POLL_INTERVAL_MS;
  }

  /**
   * Has told nothing of itself for so long that what it was given is given up; not by a relay just
   * awake.
   */
  public boolean isSilent(long now, long awake) {
    return reportsLoad && now - Math.max(reportedAtMs, awake) > REPORT_TIMEOUT_MS;
  }

  /**
   * Was given something and no byte of anything came since: others are better, but it may only be
   * busy.
   */
  private boolean isUnresponsive(long now) {
    return unansweredRequests > 0
        && now - Math.max(lastByteAtMs, unansweredSinceMs) > UNANSWERED_TIMEOUT_MS
        && now - unansweredSinceMs < 10 * UNANSWERED_TIMEOUT_MS;
  }

  /** A request went there. */
  public void recordSent(long now) {
    if (unansweredRequests++ == 0) unansweredSinceMs = now;
  }

  /** The first byte of an answer came, or the request ended without one. */
  public void recordAnswered(boolean heard, long now) {
    unansweredRequests = Math.max(0, unansweredRequests - 1);
    if (heard) recordByteReceived(now);
  }

  public void recordByteReceived(long now) {
    lastByteAtMs = now;
  }

  /**
   * Estimated wait there of a request of so many units, in ms. One that reports says so itself. Of
   * another it is what this relay gave it and isn't done, what as busy a server makes one wait if
   * the other relays give it as much lately, what it told of waiting ones, and the room in its
   * memory.
   */
  public double estimatedQueueMs(long now, int relays, int units, RelaySettings settings) {
    if (reportsLoad) return Math.max(0, reportedWaitMs - (now - reportedAtMs)) + addedWorkMs;
    return (settings.isEnabled(Mechanism.SILENCE_ESTIMATES) && isUnresponsive(now)
            ? UNRESPONSIVE_WAIT_MS
            : 0)
        + (settings.isEnabled(Mechanism.LOAD_ESTIMATES) ? outstandingWorkMs(now, relays) : 0)
        + (settings.isEnabled(Mechanism.MEMORY_ESTIMATES) ? memoryWaitMs(units, now) : 0);
  }

  /** Work that it was given and isn't done, this relay's and by its example that of the others. */
  private double outstandingWorkMs(long now, int relays) {
    if (hasFreshFleetLoad(now)) return Math.max(0, fleetBusyUntilMs - now) + reportedQueueMs(now);
    double busy =
        Math.min(
            MAX_UTILIZATION, decayedWorkRate(now) * Math.max(1, relays * OTHER_RELAY_LOAD_RATIO));
    return Math.max(0, ownWorkUntilMs - now)
        + busy * busy / (1 - busy) * TYPICAL_REQUEST_MS
        + reportedQueueMs(now);
  }

  private double reportedQueueMs(long now) {
    return reportedWaiting
        * QUEUED_REQUEST_WAIT_MS
        * Math.exp(-(now - reportedAtMs) / REPORTED_QUEUE_DECAY_MS);
  }

  /** The index told what all relays gave it; this relay's own was among it. */
  void recordFleetLoad(Lookup.Load load, long now) {
    double share = 1 - Math.exp(-(now - fleetLoadAtMs) / PREFILL_SHARE_AVERAGING_MS);
    recentPrefillShare += ((load.busyMs() > 0 ? 1 : 0) - recentPrefillShare) * share;
    fleetBusyUntilMs = now + load.busyMs();
    fleetRunning = load.runningRequests();
    fleetUnits = load.memoryUnits();
    fleetLoadAtMs = now;
  }

  /** The part of the time in which it reads prompts, by what was told of it lately. */
  double recentPrefillShare() {
    return recentPrefillShare;
  }

  /** How long the prompts that it has keep it busy from now, in ms; 0 of one that reports. */
  double pendingPrefillMs(long now) {
    if (reportsLoad) return 0;
    return Math.max(0, (hasFreshFleetLoad(now) ? fleetBusyUntilMs : ownWorkUntilMs) - now);
  }

  private boolean hasFreshFleetLoad(long now) {
    return now - fleetLoadAtMs < FLEET_LOAD_MAX_AGE_MS;
  }

  /** Requests it has, as far as this relay and a fresh answer of the index know. */
  int runningRequests(long now) {
    return hasFreshFleetLoad(now) ? Math.max(load(), fleetRunning) : load();
  }

  /** What a request of so many units waits for room in its memory. */
  private double memoryWaitMs(int units, long now) {
    double there =
        ownUnits + Math.max(0, reportedRequests - ownRequestsAtReport) * averageRequestUnits;
    if (hasFreshFleetLoad(now)) there = Math.max(there, fleetUnits);
    double over =
        memoryUnits <= 0
            ? 0
            : Math.max(0, (there + units) / memoryUnits - MEMORY_PRESSURE_THRESHOLD);
    return Math.min(MAX_MEMORY_EXCESS, over) * FULL_MEMORY_WAIT_MS;
  }

  private double decayedWorkRate(long now) {
    workRate *= Math.exp(-(now - workRateAtMs) / WORK_RATE_AVERAGING_MS);
    workRateAtMs = now;
    return workRate;
  }

  /** This relay gave it work of so many ms. */
  public void addWork(double ms, long now) {
    addedWorkMs += ms;
    ownWorkUntilMs = Math.max(ownWorkUntilMs, now) + Math.round(ms);
    fleetBusyUntilMs = Math.max(fleetBusyUntilMs, now) + Math.round(ms);
    workRate = decayedWorkRate(now) + ms / WORK_RATE_AVERAGING_MS;
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
  public void markOnOldWeights(long until) {
    oldWeightsUntilMs = until;
  }

  public boolean isOnOldWeights(long now) {
    return now < oldWeightsUntilMs;
  }

  /** A pull took far longer than its link should need: for a while units are computed here. */
  public void markLinkSlow(long now) {
    slowLinkUntilMs = now + LINK_RETRY_MS / 4;
  }

  /**
   * Estimated ms to pull a unit from a holder: as this replica measured it, else by its engine's
   * link and where the holder stands, else hopefully a quarter of computing it. Negative: not to be
   * tried now.
   */
  public double pullMsPerUnit(String holder, String holderZone, long now) {
    if (engineLinkMsPerUnit > 0)
      return now < slowLinkUntilMs
          ? -1
          : engineLinkMsPerUnit * (holderZone.equals(replica.zone()) ? 1 : 2);
    return isLinkSpeedUnknown(holder, now) ? computeMsPerUnit / 4 : linkMsByHolder.get(holder);
  }

  /**
   * A link never measured, or found slow a while ago: only a pull shows what it is now. Such a pull
   * takes a block or two and no more, so that a slow link costs little each time.
   */
  public boolean isLinkSpeedUnknown(String holder, long now) {
    if (engineLinkMsPerUnit > 0) return false;
    Double m = linkMsByHolder.get(holder);
    return m == null
        || m > computeMsPerUnit / 4
            && now - pulledAtMs.getOrDefault(holder, now - 1) > LINK_RETRY_MS;
  }

  public void recordPull(String holder, long now) {
    pulledAtMs.put(holder, now);
  }

  public void eject(long now, long ms) {
    ejectedUntilMs = Math.max(ejectedUntilMs, now + ms);
  }
}
