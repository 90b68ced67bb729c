package gladelug.data.index;

import java.util.LinkedHashMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Follows one holder's cache events, pure. Events carry the holder's incarnation and a sequence:
 * repeats are dropped, small reorderings wait in a bounded window. What a gap that stays means is
 * the policy's: under STRICT the holder's list is loaded in place of its entries, to go on after
 * the list's sequence, so that a block is never removed that wasn't inserted; under a tolerant
 * policy the numbers that never come are counted, and only too many of them lead to a list. A new
 * incarnation clears the holder at once and loads its list; a holder that says it lost events is
 * listed too. Until a list asked for other reasons comes, the holder's entries stay: they are
 * hints. A list is asked for no oftener than the policy's pause; a tolerant feed goes on with
 * events until then.
 */
public final class CacheEventFeed {
  public static final int REORDER_WINDOW_EVENTS = 64;
  public static final long GAP_TIMEOUT_MS = 300, MIN_LIST_INTERVAL_MS = 300;

  /** What numbers that never arrive mean. */
  public sealed interface GapPolicy {
    GapPolicy STRICT = new Strict();

    /** A gap that stays means a resync. */
    record Strict() implements GapPolicy {}

    /** More than limit missing of the last per numbers mean a resync. */
    record Tolerant(int maxMissing, int outOf) implements GapPolicy {
      public Tolerant {
        if (maxMissing < 0 || outOf < 1)
          throw new IllegalArgumentException(maxMissing + " missing of " + outOf);
      }
    }

    static GapPolicy tolerant(int limit, int per) {
      return new Tolerant(limit, per);
    }
  }

  /**
   * How a holder is followed.
   *
   * @param withGaps what numbers that never arrive mean
   * @param withGapTimeoutMs how long a missing number is waited for
   * @param withMinListIntervalMs a list is asked for at most this often, since it costs the holder
   *     work
   */
  public record Policy(GapPolicy gaps, long gapTimeoutMs, long minListIntervalMs) {
    public static final Policy STRICT =
        new Policy(GapPolicy.STRICT, GAP_TIMEOUT_MS, MIN_LIST_INTERVAL_MS);

    public Policy withGaps(GapPolicy g) {
      return new Policy(g, gapTimeoutMs, minListIntervalMs);
    }

    public Policy gapTimeoutMs(long ms) {
      return new Policy(gaps, ms, minListIntervalMs);
    }

    public Policy minListIntervalMs(long ms) {
      return new Policy(gaps, gapTimeoutMs, ms);
    }
  }

  public interface Effects {
    /** So many units of the block are kept now; part as in {@link CacheEvent}. */
    void setKept(long block, int units, boolean part);

    /** The holder keeps nothing of what was told. */
    void clear();

    /** Clear the holder and insert these. */
    void replaceAll(BlockList list);

    /** Ask the holder for its list; listed() follows with the same nr. */
    void requestList(long nr);
  }

  private record Buffered(CacheEvent event, long receivedAtMs) {}

  private static final long NEVER = Long.MIN_VALUE / 2;
  private final Effects effects;
  private final Policy policy;
  private final GapPolicy.Tolerant tolerance;
  private final int maxBuffered;
  private final TreeMap<Long, Buffered> window = new TreeMap<>();

  /** Tolerant only: numbers passed over, of the last per; at most limit of them. */
  private final TreeSet<Long> missing = new TreeSet<>();

  /** Tolerant only: while numbers are missing, the newest number that told of each block. */
  private final LinkedHashMap<Long, Long> newestByBlock = new LinkedHashMap<>();

  private String incarnation = "";
  private String previousIncarnation = "";
  private long appliedSequence;
  private boolean isFollowing;
  private long listRequestNumber;
  private long answeredListNumber;
  private long lastListRequestMs = NEVER;
  private boolean listPending;
  private long lostUpToSequence = -1;
  private long behindSinceMs = -1;
  private long announcedSequence;
  private long resyncCount;
  private long duplicateCount;
  private long missedCount;
  private String windowIncarnation = "";

  public CacheEventFeed(Effects fx) {
    this(fx, Policy.STRICT);
  }

  public CacheEventFeed(Effects fx, Policy policy) {
    this.effects = fx;
    this.policy = policy;
    this.tolerance = policy.gaps instanceof GapPolicy.Tolerant t ? t : null;
    this.maxBuffered =
        tolerance == null ? 16 * REORDER_WINDOW_EVENTS : 1024 * REORDER_WINDOW_EVENTS;
  }

  public boolean isFollowing() {
    return isFollowing;
  }

  public String incarnation() {
    return incarnation;
  }

  public long appliedSequence() {
    return appliedSequence;
  }

  /** How often the list was asked for. */
  public long resyncCount() {
    return resyncCount;
  }

  public long duplicateCount() {
    return duplicateCount;
  }

  /** Numbers passed over, but for those that came later after all. */
  public long missedCount() {
    return missedCount;
  }

  public Policy policy() {
    return policy;
  }

  /**
   * Asks for the list, now or when the pause since the last time is over; again where an answer
   * failed to come. A strict feed applies nothing until then.
   */
  public void resync(long now) {
    if (tolerance == null) stopFollowing();
    requestList(now);
  }

  private void stopFollowing() {
    isFollowing = false;
    behindSinceMs = -1;
  }

  /**
   * As resync, where nothing is wrong with what was applied: events go on until the list is asked
   * for.
   */
  public void requestList(long now) {
    if (now - lastListRequestMs < policy.minListIntervalMs) {
      listPending = true;
      return;
    }
    stopFollowing();
    listPending = false;
    lastListRequestMs = now;
    resyncCount++;
    effects.requestList(++listRequestNumber);
  }

  public void onList(long nr, BlockList list) {
    if (isFollowing || nr != listRequestNumber || nr == answeredListNumber) return;
    answeredListNumber = nr;
    if (!list.incarnation().equals(windowIncarnation)) window.clear();
    incarnation = windowIncarnation = list.incarnation();
    if (incarnation.equals(previousIncarnation)) previousIncarnation = "";
    appliedSequence = list.lastSequence();
    missing.clear();
    newestByBlock.clear();
    isFollowing = true;
    behindSinceMs = -1;
    effects.replaceAll(list);
    applyInOrder();
    // lost after the list was made: this list stands until the next one comes
    listPending = lostUpToSequence > list.lastSequence();
    lostUpToSequence = -1;
  }

  /** The list of this nr won't come: another one, after the pause. */
  public void onListFailed(long nr, long now) {
    if (!isFollowing && nr == listRequestNumber && nr != answeredListNumber) resync(now);
  }

  public void onEvent(CacheEvent event, long now) {
    String inc = event.incarnation();
    long seq = event.sequence();
    if (inc.equals(previousIncarnation)) {
      duplicateCount++;
      return;
    }
    if (!isFollowing) {
      if (!inc.equals(windowIncarnation)) {
        window.clear();
        lostUpToSequence = -1;
        windowIncarnation = inc;
      }
      if (event.eventsLost()) lostUpToSequence = Math.max(lostUpToSequence, seq);
      window.put(seq, new Buffered(event, now));
      if (window.size() > maxBuffered) window.pollFirstEntry();
      return;
    }
    if (!inc.equals(incarnation)) {
      window.clear();
      window.put(seq, new Buffered(event, now));
      switchIncarnation(inc, now);
    } else if (seq <= appliedSequence) applyLate(event);
    else if (window.containsKey(seq)) duplicateCount++;
    else {
      window.put(seq, new Buffered(event, now));
      if (event.eventsLost()) {
        resync(now);
        if (!isFollowing) return;
      }
      applyInOrder();
      if (window.isEmpty()) behindSinceMs = -1;
      else if (behindSinceMs < 0) behindSinceMs = now;
      if (window.size() <= REORDER_WINDOW_EVENTS) return;
      if (tolerance == null) resync(now);
      else skipTo(window.firstKey() - 1, now);
    }
  }

  private void switchIncarnation(String inc, long now) {
    previousIncarnation = incarnation;
    windowIncarnation = inc;
    lostUpToSequence = -1;
    effects.clear();
    stopFollowing();
    resync(now);
  }

  /** A number passed over that comes after all counts, unless something newer told of its block. */
  private void applyLate(CacheEvent event) {
    if (!missing.remove(event.sequence())) {
      duplicateCount++;
      return;
    }
    missedCount--;
    if (newestByBlock.getOrDefault(event.block(), -1L) < event.sequence()) apply(event);
    if (missing.isEmpty()) newestByBlock.clear();
  }

  /** The holder told its newest sequence without an event. */
  public void onPulse(String inc, long newest, long now) {
    if (!isFollowing || inc.equals(previousIncarnation)) return;
    if (!inc.equals(incarnation)) {
      window.clear();
      switchIncarnation(inc, now);
    } else if (newest <= appliedSequence) {
      if (window.isEmpty()) behindSinceMs = -1;
    } else if (behindSinceMs < 0) {
      behindSinceMs = now;
      announcedSequence = newest;
    }
    tick(now);
  }

  public void tick(long now) {
    if (listPending && now - lastListRequestMs >= policy.minListIntervalMs) requestList(now);
    if (!isFollowing || behindSinceMs < 0) return;
    if (tolerance == null) {
      if (now - behindSinceMs > policy.gapTimeoutMs) resync(now);
    } else {
      while (isFollowing
          && !window.isEmpty()
          && now - window.firstEntry().getValue().receivedAtMs > policy.gapTimeoutMs)
        skipTo(window.firstKey() - 1, now);
      if (!isFollowing) return;
      if (window.isEmpty() && now - behindSinceMs > policy.gapTimeoutMs) {
        if (announcedSequence > appliedSequence) skipTo(announcedSequence, now);
        if (isFollowing) behindSinceMs = -1;
      }
    }
  }

  /** Tolerant only: what is missing up to this number isn't waited for any longer. */
  private void skipTo(long upTo, long now) {
    long n = upTo - appliedSequence;
    missedCount += n;
    missing.headSet(upTo - tolerance.outOf, true).clear();
    boolean many = Math.min(n, tolerance.outOf) + missing.size() > tolerance.maxMissing;
    if (!many)
      for (long i = Math.max(appliedSequence, upTo - tolerance.outOf) + 1; i <= upTo; i++)
        missing.add(i);
    appliedSequence = upTo;
    if (many) {
      missing.clear();
      newestByBlock.clear();
      resync(now);
    }
    if (isFollowing) applyInOrder();
  }

  private void applyInOrder() {
    while (!window.isEmpty() && window.firstKey() <= appliedSequence) {
      window.pollFirstEntry();
      duplicateCount++;
    }
    while (!window.isEmpty() && window.firstKey() == appliedSequence + 1) {
      CacheEvent event = window.pollFirstEntry().getValue().event;
      appliedSequence++;
      apply(event);
    }
    if (tolerance == null || missing.isEmpty()) return;
    missing.headSet(appliedSequence - tolerance.outOf, true).clear();
    if (missing.isEmpty()) newestByBlock.clear();
  }

  private void apply(CacheEvent event) {
    if (!missing.isEmpty()) {
      newestByBlock.remove(event.block());
      newestByBlock.put(event.block(), event.sequence());
      if (newestByBlock.size() > tolerance.outOf)
        newestByBlock.remove(newestByBlock.keySet().iterator().next());
    }
    effects.setKept(event.block(), event.units(), event.partial());
  }
}
