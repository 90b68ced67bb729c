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
        if (maxMissing < 0 || outOf < 1) throw new IllegalArgumentException(maxMissing + " missing of " + outOf);
      }
    }

    static GapPolicy tolerant(int maxMissing, int outOf) {
      return new Tolerant(maxMissing, outOf);
    }
  }

  /**
   * How a holder is followed.
   *
   * @param withGaps what numbers that never arrive mean
   * @param withGapTimeoutMs how long a missing number is waited for
   * @param withMinListIntervalMs a list is asked for at most this often, since it costs the holder work
   */
  public record Policy(GapPolicy gaps, long patienceMs, long listPauseMs) {
    public static final Policy STRICT = new Policy(GapPolicy.STRICT, GAP_TIMEOUT_MS, MIN_LIST_INTERVAL_MS);

    public Policy withGaps(GapPolicy gapPolicy) {
      return new Policy(gapPolicy, patienceMs, listPauseMs);
    }

    public Policy withGapTimeoutMs(long ms) {
      return new Policy(gaps, ms, listPauseMs);
    }

    public Policy withMinListIntervalMs(long ms) {
      return new Policy(gaps, patienceMs, ms);
    }
  }

  public interface Effects {
    /** So many units of the block are kept now; part as in {@link CacheEvent}. */
    void setKept(long block, int units, boolean partial);

    /** The holder keeps nothing of what was told. */
    void clear();

    /** Clear the holder and insert these. */
    void replaceAll(BlockList list);

    /** Ask the holder for its list; listed() follows with the same nr. */
    void requestList(long requestNumber);
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

  public CacheEventFeed(Effects effects) {
    this(effects, Policy.STRICT);
  }

  public CacheEventFeed(Effects effects, Policy policy) {
    this.effects = effects;
    this.policy = policy;
    this.tolerance = policy.gaps instanceof GapPolicy.Tolerant t ? t : null;
    this.maxBuffered = tolerance == null ? 16 * REORDER_WINDOW_EVENTS : 1024 * REORDER_WINDOW_EVENTS;
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
  public void resync(long nowMs) {
    if (tolerance == null) stopFollowing();
    requestList(nowMs);
  }

  private void stopFollowing() {
    isFollowing = false;
    behindSinceMs = -1;
  }

  /**
   * As resync, where nothing is wrong with what was applied: events go on until the list is asked
   * for.
   */
  public void requestList(long nowMs) {
    if (nowMs - lastListRequestMs < policy.listPauseMs) {
      listPending = true;
      return;
    }
    stopFollowing();
    listPending = false;
    lastListRequestMs = nowMs;
    resyncCount++;
    effects.requestList(++listRequestNumber);
  }

  public void onList(long requestNumber, BlockList list) {
    if (isFollowing || requestNumber != listRequestNumber || requestNumber == answeredListNumber) return;
    answeredListNumber = requestNumber;
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
  public void onListFailed(long requestNumber, long nowMs) {
    if (!isFollowing && requestNumber == listRequestNumber && requestNumber != answeredListNumber) resync(nowMs);
  }

  public void onEvent(CacheEvent event, long nowMs) {
    String eventIncarnation = event.incarnation();
    long sequence = event.sequence();
    if (eventIncarnation.equals(previousIncarnation)) {
      duplicateCount++;
      return;
    }
    if (!isFollowing) {
      if (!eventIncarnation.equals(windowIncarnation)) {
        window.clear();
        lostUpToSequence = -1;
        windowIncarnation = eventIncarnation;
      }
      if (event.eventsLost()) lostUpToSequence = Math.max(lostUpToSequence, sequence);
      window.put(sequence, new Buffered(event, nowMs));
      if (window.size() > maxBuffered) window.pollFirstEntry();
      return;
    }
    if (!eventIncarnation.equals(incarnation)) {
      window.clear();
      window.put(sequence, new Buffered(event, nowMs));
      switchIncarnation(eventIncarnation, nowMs);
    } else if (sequence <= appliedSequence) applyLate(event);
    else if (window.containsKey(sequence)) duplicateCount++;
    else {
      window.put(sequence, new Buffered(event, nowMs));
      if (event.eventsLost()) {
        resync(nowMs);
        if (!isFollowing) return;
      }
      applyInOrder();
      if (window.isEmpty()) behindSinceMs = -1;
      else if (behindSinceMs < 0) behindSinceMs = nowMs;
      if (window.size() <= REORDER_WINDOW_EVENTS) return;
      if (tolerance == null) resync(nowMs);
      else skipTo(window.firstKey() - 1, nowMs);
    }
  }

  private void switchIncarnation(String eventIncarnation, long nowMs) {
    previousIncarnation = incarnation;
    windowIncarnation = eventIncarnation;
    lostUpToSequence = -1;
    effects.clear();
    stopFollowing();
    resync(nowMs);
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
  public void onPulse(String eventIncarnation, long newestSequence, long nowMs) {
    if (!isFollowing || eventIncarnation.equals(previousIncarnation)) return;
    if (!eventIncarnation.equals(incarnation)) {
      window.clear();
      switchIncarnation(eventIncarnation, nowMs);
    } else if (newestSequence <= appliedSequence) {
      if (window.isEmpty()) behindSinceMs = -1;
    } else if (behindSinceMs < 0) {
      behindSinceMs = nowMs;
      announcedSequence = newestSequence;
    }
    tick(nowMs);
  }

  public void tick(long nowMs) {
    if (listPending && nowMs - lastListRequestMs >= policy.listPauseMs) requestList(nowMs);
    if (!isFollowing || behindSinceMs < 0) return;
    if (tolerance == null) {
      if (nowMs - behindSinceMs > policy.patienceMs) resync(nowMs);
    } else {
      while (isFollowing
          && !window.isEmpty()
          && nowMs - window.firstEntry().getValue().receivedAtMs > policy.patienceMs)
        skipTo(window.firstKey() - 1, nowMs);
      if (!isFollowing) return;
      if (window.isEmpty() && nowMs - behindSinceMs > policy.patienceMs) {
        if (announcedSequence > appliedSequence) skipTo(announcedSequence, nowMs);
        if (isFollowing) behindSinceMs = -1;
      }
    }
  }

  /** Tolerant only: what is missing up to this number isn't waited for any longer. */
  private void skipTo(long upTo, long nowMs) {
    long skipped = upTo - appliedSequence;
    missedCount += skipped;
    missing.headSet(upTo - tolerance.outOf, true).clear();
    boolean tooMany = Math.min(skipped, tolerance.outOf) + missing.size() > tolerance.maxMissing;
    if (!tooMany)
      for (long i = Math.max(appliedSequence, upTo - tolerance.outOf) + 1; i <= upTo; i++) missing.add(i);
    appliedSequence = upTo;
    if (tooMany) {
      missing.clear();
      newestByBlock.clear();
      resync(nowMs);
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
      if (newestByBlock.size() > tolerance.outOf) newestByBlock.remove(newestByBlock.keySet().iterator().next());
    }
    effects.setKept(event.block(), event.units(), event.partial());
  }
}
