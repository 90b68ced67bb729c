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
  private static final long UNANSWERED_MS = 1200;

  /** Over how long the prefill that was told of is averaged, in ms. */
  private static final double USUAL_PREFILL_OVER_MS = 2000;

  /** How long what the index told of its load counts, in ms. */
  private static final long FLEET_LOAD_FRESH_MS = 1000;

  /** Work given lately is averaged over so long, in ms. */
  private static final double RATE_OVER_MS = 1000;

  /** Waiting requests that an answer told of are done after about so long, in ms. */
  private static final double TOLD_FADES_MS = 800;

  /** How long a request waits for each that waits there before it, in ms. */
  private static final double WAITING_REQUEST_MS = 25;

  /** How long a request waits for memory that others hold, in ms. */
  private static final double FULL_MEMORY_WAIT_MS = 2000;

  /** How long a request is likely to wait for one that leaves others unanswered, in ms. */
  private static final double UNANSWERED_WAIT_MS = 1500;

  /** The share of its memory from which on requests wait there or put others back. */
  private static final double ROOM_SHARE = 0.8;

  /** The most of its memory beyond that share that is reckoned with. */
  private static final double MOST_OVER = 1.5;

  /** Of a relay's own work at a replica, what each other relay is reckoned to give it beside. */
  private static final double OTHER_RELAYS_SHARE = 0.8;

  /** The most that a replica is reckoned to be busy, as the wait grows without end towards 1. */
  private static final double MOST_BUSY = 0.9;

  /** How long the work of one request usually is, of those that others wait for, in ms. */
  private static final double USUAL_WORK_MS = 40;

  public Replica replica;
  public boolean known;

  /** Whether it reports by itself; else silence means nothing. */
  public final boolean reports;

  /** By model. */
  public Map<String, String> weights = new HashMap<>();

  public int slots = 1;
  public int blockBytes = 256;

  /** Estimated ms to compute a unit of a prompt. */
  public double unitMs = 1;

  public double waitMs;
  public int reported;
  public int mine;
  public int mineAtReport;
  public double addedMs;
  public long reportedAt = Long.MIN_VALUE / 2;
  public long badUntil = Long.MIN_VALUE / 2;

  /** Told to be ill by its own answers rather than by a moment's refusal; for people. */
  public int failures;

  public Map<String, Double> links = new HashMap<>();

  /** Estimated ms to pull a unit over its link, 0 where each link is measured by itself. */
  private double engineLinkMs;

  private int tokenBytes;

  private long owedUntil;

  /** Until when it is busy by what all relays gave it, and when that was told. */
  private long fleetBusyUntil;

  private long fleetToldAt = Long.MIN_VALUE / 2;
  private double usualPrefillShare;
  private int fleetRunning;
  private int fleetUnits;

  /** Ms of work a ms that this relay gave it lately, and when that was last reckoned. */
  private double rate;

  private long ratedAt;

  /** Units under way there of this relay's, and the most it keeps (0: not known). */
  public int mineUnits;

  private long keptUnits;
  private double usualUnits = 1500;
  private int waitingThere;
  private long oldUntil = Long.MIN_VALUE / 2;

  /**
   * When bytes last came from it, and since when something it was given has waited for the first.
   */
  private long heardAt = Long.MIN_VALUE / 2;

  private long askedSince = Long.MIN_VALUE / 2;
  private int unanswered;
  private long slowLinkUntil = Long.MIN_VALUE / 2;
  private final Map<String, Long> pulledAt = new HashMap<>();

  public Backend(Replica r) {
    this(r, true);
  }

  public Backend(Replica r, boolean reports) {
    this.replica = r;
    this.reports = reports;
  }

  public String weights(String model) {
    return weights.getOrDefault(model, "");
  }

  /** What the list and the configuration say of one that doesn't report. */
  void listed(Replica r, Configuration.Service s, long now) {
    for (Map.Entry<String, String> e : r.weightsByModel().entrySet()) {
      // an answer since may have told of newer weights than the list, which lags
      if (newer(e.getValue(), weights(e.getKey()))) weights.put(e.getKey(), e.getValue());
    }
    if (!known) {
      reportedAt = now;
      unitMs = PrefillSpeed.USUAL_UNIT_MS;
    }
    known = true;
    keptUnits = s.engine().cacheCapacityTokens();
    slots = Math.max(1, r.slots() > 0 ? r.slots() : s.engine().slots());
    tokenBytes = s.engine().bytesPerToken();
    if (s.engine().linkMbps() > 0)
      engineLinkMs = s.engine().bytesPerToken() * 8.0 / (s.engine().linkMbps() * 1000);
  }

  /**
   * Whether weights named a come after those named b; those that are numbers go by their value.
   * Where none are told, that comes after nothing.
   */
  public static boolean newer(String a, String b) {
    if (a.isEmpty() || b.isEmpty()) return !a.isEmpty();
    if (a.length() != b.length() && number(a) && number(b)) return a.length() > b.length();
    return number(a) && number(b) ? a.compareTo(b) > 0 : !a.equals(b);
  }

  private static boolean number(String text) {
    for (int i = 0; i < text.length(); i++)
      if (text.charAt(i) < '0' || text.charAt(i) > '9') return false;
    return !text.isEmpty() && text.length() < 19;
  }

  /** Bytes of a token that it keeps; 0 where not known. */
  int tokenBytes() {
    return tokenBytes;
  }

  /** What an answer's head told: requests running and waiting there. */
  public void load(int running, int waiting, long now) {
    waitingThere = waiting;
    reported = running + waiting;
    mineAtReport = mine;
    reportedAt = now;
    waitMs = 0;
  }

  /** Requests it has, by its last report and what this relay did since. */
  public int load() {
    return mine + Math.max(0, reported - mineAtReport);
  }

  /** Its slots and one more, so that the next request is there when one ends. */
  public int places() {
    return slots + 1;
  }

  public int free() {
    return Math.max(0, places() - load());
  }

  public boolean usable(long now) {
    return known && now >= badUntil && (!reports || now - reportedAt < REPORT_TIMEOUT_MS);
  }

  /** In how many ms it may be given requests again, as far as is known; 0 where it may now. */
  long usableInMs(long now) {
    if (usable(now)) return 0;
    return now < badUntil ? badUntil - now : Backends.PERIOD;
  }

  /**
   * Has told nothing of itself for so long that what it was given is given up; not by a relay just
   * awake.
   */
  public boolean silent(long now, long awake) {
    return reports && now - Math.max(reportedAt, awake) > REPORT_TIMEOUT_MS;
  }

  /**
   * Was given something and no byte of anything came since: others are better, but it may only be
   * busy.
   */
  private boolean quiet(long now) {
    return unanswered > 0
        && now - Math.max(heardAt, askedSince) > UNANSWERED_MS
        && now - askedSince < 10 * UNANSWERED_MS;
  }

  /** A request went there. */
  public void asked(long now) {
    if (unanswered++ == 0) askedSince = now;
  }

  /** The first byte of an answer came, or the request ended without one. */
  public void answered(boolean heard, long now) {
    unanswered = Math.max(0, unanswered - 1);
    if (heard) heard(now);
  }

  public void heard(long now) {
    heardAt = now;
  }

  /**
   * Estimated wait there of a request of so many units, in ms. One that reports says so itself. Of
   * another it is what this relay gave it and isn't done, what as busy a server makes one wait if
   * the other relays give it as much lately, what it told of waiting ones, and the room in its
   * memory.
   */
  public double queueMs(long now, int relays, int units, RelaySettings settings) {
    if (reports) return Math.max(0, waitMs - (now - reportedAt)) + addedMs;
    return (settings.has(Mechanism.SILENCE_ESTIMATES) && quiet(now) ? UNANSWERED_WAIT_MS : 0)
        + (settings.has(Mechanism.LOAD_ESTIMATES) ? workMs(now, relays) : 0)
        + (settings.has(Mechanism.MEMORY_ESTIMATES) ? memoryMs(units, now) : 0);
  }

  /** Work that it was given and isn't done, this relay's and by its example that of the others. */
  private double workMs(long now, int relays) {
    if (knowsFleet(now)) return Math.max(0, fleetBusyUntil - now) + toldMs(now);
    double busy = Math.min(MOST_BUSY, rate(now) * Math.max(1, relays * OTHER_RELAYS_SHARE));
    return Math.max(0, owedUntil - now) + busy * busy / (1 - busy) * USUAL_WORK_MS + toldMs(now);
  }

  private double toldMs(long now) {
    return waitingThere * WAITING_REQUEST_MS * Math.exp(-(now - reportedAt) / TOLD_FADES_MS);
  }

  /** The index told what all relays gave it; this relay's own was among it. */
  void fleetLoad(Lookup.Load load, long now) {
    double share = 1 - Math.exp(-(now - fleetToldAt) / USUAL_PREFILL_OVER_MS);
    usualPrefillShare += ((load.busyMs() > 0 ? 1 : 0) - usualPrefillShare) * share;
    fleetBusyUntil = now + load.busyMs();
    fleetRunning = load.runningRequests();
    fleetUnits = load.memoryUnits();
    fleetToldAt = now;
  }

  /** The part of the time in which it reads prompts, by what was told of it lately. */
  double usualPrefillShare() {
    return usualPrefillShare;
  }

  /** How long the prompts that it has keep it busy from now, in ms; 0 of one that reports. */
  double prefillAheadMs(long now) {
    if (reports) return 0;
    return Math.max(0, (knowsFleet(now) ? fleetBusyUntil : owedUntil) - now);
  }

  private boolean knowsFleet(long now) {
    return now - fleetToldAt < FLEET_LOAD_FRESH_MS;
  }

  /** Requests it has, as far as this relay and a fresh answer of the index know. */
  int running(long now) {
    return knowsFleet(now) ? Math.max(load(), fleetRunning) : load();
  }

  /** What a request of so many units waits for room in its memory. */
  private double memoryMs(int units, long now) {
    double there = mineUnits + Math.max(0, reported - mineAtReport) * usualUnits;
    if (knowsFleet(now)) there = Math.max(there, fleetUnits);
    double over = keptUnits <= 0 ? 0 : Math.max(0, (there + units) / keptUnits - ROOM_SHARE);
    return Math.min(MOST_OVER, over) * FULL_MEMORY_WAIT_MS;
  }

  private double rate(long now) {
    rate *= Math.exp(-(now - ratedAt) / RATE_OVER_MS);
    ratedAt = now;
    return rate;
  }

  /** This relay gave it work of so many ms. */
  public void owes(double ms, long now) {
    addedMs += ms;
    owedUntil = Math.max(owedUntil, now) + Math.round(ms);
    fleetBusyUntil = Math.max(fleetBusyUntil, now) + Math.round(ms);
    rate = rate(now) + ms / RATE_OVER_MS;
  }

  /** A request of so many units goes there. */
  public void takes(int units) {
    mineUnits += units;
    usualUnits += (units - usualUnits) / 64;
  }

  public void gives(int units) {
    mineUnits = Math.max(0, mineUnits - units);
  }

  /** It said that it still runs older weights than was thought. */
  public void stillOld(long until) {
    oldUntil = until;
  }

  public boolean saidOld(long now) {
    return now < oldUntil;
  }

  /** A pull took far longer than its link should need: for a while units are computed here. */
  public void slowLink(long now) {
    slowLinkUntil = now + LINK_RETRY_MS / 4;
  }

  /**
   * Estimated ms to pull a unit from a holder: as this replica measured it, else by its engine's
   * link and where the holder stands, else hopefully a quarter of computing it. Negative: not to be
   * tried now.
   */
  public double linkMs(String holder, String holderZone, long now) {
    if (engineLinkMs > 0)
      return now < slowLinkUntil ? -1 : engineLinkMs * (holderZone.equals(replica.zone()) ? 1 : 2);
    return unsure(holder, now) ? unitMs / 4 : links.get(holder);
  }

  /**
   * A link never measured, or found slow a while ago: only a pull shows what it is now. Such a pull
   * takes a block or two and no more, so that a slow link costs little each time.
   */
  public boolean unsure(String holder, long now) {
    if (engineLinkMs > 0) return false;
    Double m = links.get(holder);
    return m == null
        || m > unitMs / 4 && now - pulledAt.getOrDefault(holder, now - 1) > LINK_RETRY_MS;
  }

  public void pulls(String holder, long now) {
    pulledAt.put(holder, now);
  }

  public void bad(long now, long ms) {
    badUntil = Math.max(badUntil, now + ms);
  }
}
