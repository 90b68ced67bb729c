package gladelug.data.index;

import java.util.LinkedHashMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Follows the cache events of one holder; performs no I/O. Events carry the holder's incarnation
 * and a sequence number: duplicates are dropped, and events that arrive out of order wait in a
 * bounded window. The policy determines the effect of a gap that persists. Under the strict policy
 * the holder's list replaces all its entries, and events continue after the list's sequence number,
 * so that a block is never removed without having been inserted. Under a tolerant policy missing
 * events are counted, and only too many of them cause a list request. A new incarnation clears the
 * holder immediately and loads its list; a holder that reports lost events is listed as well. Until
 * a list requested for other reasons arrives, the holder's entries remain, since they are hints.
 * Lists are requested no more often than the policy's minimum interval; a tolerant feed continues
 * to apply events until then.
 */
public final class CacheEventFeed {
  /** The maximum number of events that wait for a missing one. */
  public static final int REORDER_WINDOW_EVENTS = 64;

  /**
   * The default time that a missing event is waited for, and the default minimum interval between
   * list requests.
   */
  public static final long GAP_TIMEOUT_MS = 300, MIN_LIST_INTERVAL_MS = 300;

  /** How gaps in the sequence are treated. */
  public sealed interface GapPolicy {
    GapPolicy STRICT = new Strict();

    /** A gap that persists causes a resync. */
    record Strict() implements GapPolicy {}

    /** More than maxMissing missing events among the last outOf sequence numbers cause a resync. */
    record Tolerant(int maxMissing, int outOf) implements GapPolicy {
      public Tolerant {
        if (maxMissing < 0 || outOf < 1)
          throw new IllegalArgumentException(maxMissing + " missing events out of " + outOf);
      }
    }

    static GapPolicy tolerant(int maxMissing, int outOf) {
      return new Tolerant(maxMissing, outOf);
    }
  }

  /**
   * How a holder is followed.
   *
   * @param gaps how gaps in the sequence are treated
   * @param gapTimeoutMs how long a missing event is waited for
   * @param minListIntervalMs minimum interval between list requests, since a list costs the holder
   *     work
   */
  public record Policy(GapPolicy gaps, long gapTimeoutMs, long minListIntervalMs) {
    public static final Policy STRICT =
        new Policy(GapPolicy.STRICT, GAP_TIMEOUT_MS, MIN_LIST_INTERVAL_MS);

    public Policy withGaps(GapPolicy gapPolicy) {
      return new Policy(gapPolicy, gapTimeoutMs, minListIntervalMs);
    }

    public Policy withGapTimeoutMs(long timeoutMs) {
      return new Policy(gaps, timeoutMs, minListIntervalMs);
    }

    public Policy withMinListIntervalMs(long intervalMs) {
      return new Policy(gaps, gapTimeoutMs, intervalMs);
    }
  }

  /** The actions that a feed takes. */
  public interface Effects {
    /** Sets the units of the block that are kept now; partial as in {@link CacheEvent}. */
    void setKept(long block, int units, boolean partial);

    /** Removes all entries of the holder. */
    void clear();

    /** Replaces all entries of the holder with the list. */
    void replaceAll(BlockList list);

    /**
     * Requests the list of the holder; {@link CacheEventFeed#onList} follows with the same number.
     */
    void requestList(long requestNumber);
  }

  private record Buffered(CacheEvent event, long receivedAtMs) {}

  private static final long NEVER = Long.MIN_VALUE / 2;
  private final Effects effects;
  private final Policy policy;
  private final GapPolicy.Tolerant tolerance;

  /** The maximum number of events that wait for a list. */
  private final int maxBuffered;

  /** The events that wait for earlier ones or for a list, by sequence number. */
  private final TreeMap<Long, Buffered> window = new TreeMap<>();

  /** Tolerant only: the missing sequence numbers among the last outOf; at most maxMissing. */
  private final TreeSet<Long> missing = new TreeSet<>();

  /**
   * Tolerant only: while events are missing, the newest sequence number that reported each block.
   */
  private final LinkedHashMap<Long, Long> newestByBlock = new LinkedHashMap<>();

  private String incarnation = "";

  /** The incarnation before the current one; its late events are dropped. */
  private String previousIncarnation = "";

  private long appliedSequence;
  private boolean following;
  private long listRequestNumber;
  private long answeredListNumber;
  private long lastListRequestMs = NEVER;
  private boolean listPending;

  /** The newest event with a loss mark that arrived while a list was awaited; -1 if none did. */
  private long lostUpToSequence = -1;

  /** The time since which events are missing; -1 if none are. */
  private long behindSinceMs = -1;

  /** The newest sequence number that was reported without an event. */
  private long announcedSequence;

  private long resyncCount;
  private long duplicateCount;
  private long missedCount;

  /** The incarnation of the events in the window. */
  private String windowIncarnation = "";

  public CacheEventFeed(Effects effects) {
    this(effects, Policy.STRICT);
  }

  public CacheEventFeed(Effects effects, Policy policy) {
    this.effects = effects;
    this.policy = policy;
    this.tolerance = policy.gaps instanceof GapPolicy.Tolerant t ? t : null;
    this.maxBuffered =
        tolerance == null ? 16 * REORDER_WINDOW_EVENTS : 1024 * REORDER_WINDOW_EVENTS;
  }

  /** Returns whether events are applied; false while a list is awaited. */
  public boolean isFollowing() {
    return following;
  }

  /** Returns the incarnation whose events are applied; empty before the first list. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns the sequence number up to which events are applied. */
  public long appliedSequence() {
    return appliedSequence;
  }

  /** Returns how often the list was requested. */
  public long resyncCount() {
    return resyncCount;
  }

  /** Returns how many events were dropped as duplicates. */
  public long duplicateCount() {
    return duplicateCount;
  }

  /** Returns how many events were skipped and have not arrived late. */
  public long missedCount() {
    return missedCount;
  }

  public Policy policy() {
    return policy;
  }

  /**
   * Requests the list, immediately or when the minimum interval since the last request is over;
   * also repeats a request that got no answer. A strict feed applies nothing until the list
   * arrives.
   */
  public void resync(long nowMs) {
    if (tolerance == null) stopFollowing();
    requestList(nowMs);
  }

  private void stopFollowing() {
    following = false;
    behindSinceMs = -1;
  }

  /**
   * Requests the list although the applied events are intact: events continue to apply until the
   * list is requested.
   */
  public void requestList(long nowMs) {
    if (nowMs - lastListRequestMs < policy.minListIntervalMs) {
      listPending = true;
      return;
    }
    stopFollowing();
    listPending = false;
    lastListRequestMs = nowMs;
    resyncCount++;
    effects.requestList(++listRequestNumber);
  }

  /** Handles the list that was requested under this number. */
  public void onList(long requestNumber, BlockList list) {
    if (following || requestNumber != listRequestNumber || requestNumber == answeredListNumber)
      return;
    answeredListNumber = requestNumber;
    if (!list.incarnation().equals(windowIncarnation)) window.clear();
    incarnation = windowIncarnation = list.incarnation();
    if (incarnation.equals(previousIncarnation)) previousIncarnation = "";
    appliedSequence = list.lastSequence();
    missing.clear();
    newestByBlock.clear();
    following = true;
    behindSinceMs = -1;
    effects.replaceAll(list);
    applyInOrder();
    // Events were lost after this list was made: it stays in use until the next one arrives.
    listPending = lostUpToSequence > list.lastSequence();
    lostUpToSequence = -1;
  }

  /** Handles a list request that failed: requests another list after the minimum interval. */
  public void onListFailed(long requestNumber, long nowMs) {
    if (!following && requestNumber == listRequestNumber && requestNumber != answeredListNumber)
      resync(nowMs);
  }

  /** Handles an event. */
  public void onEvent(CacheEvent event, long nowMs) {
    String eventIncarnation = event.incarnation();
    long sequence = event.sequence();
    if (eventIncarnation.equals(previousIncarnation)) {
      duplicateCount++;
      return;
    }
    if (!following) {
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
        if (!following) return;
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

  /** Applies a skipped event that arrives late, unless a newer event reported its block. */
  private void applyLate(CacheEvent event) {
    if (!missing.remove(event.sequence())) {
      duplicateCount++;
      return;
    }
    missedCount--;
    if (newestByBlock.getOrDefault(event.block(), -1L) < event.sequence()) apply(event);
    if (missing.isEmpty()) newestByBlock.clear();
  }

  /** Handles a report of the newest sequence number without an event. */
  public void onPulse(String eventIncarnation, long newestSequence, long nowMs) {
    if (!following || eventIncarnation.equals(previousIncarnation)) return;
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

  /** Handles timeouts: requests a pending list, and gives up on gaps that outlast the timeout. */
  public void tick(long nowMs) {
    if (listPending && nowMs - lastListRequestMs >= policy.minListIntervalMs) requestList(nowMs);
    if (!following || behindSinceMs < 0) return;
    if (tolerance == null) {
      if (nowMs - behindSinceMs > policy.gapTimeoutMs) resync(nowMs);
    } else {
      while (following
          && !window.isEmpty()
          && nowMs - window.firstEntry().getValue().receivedAtMs > policy.gapTimeoutMs)
        skipTo(window.firstKey() - 1, nowMs);
      if (!following) return;
      if (window.isEmpty() && nowMs - behindSinceMs > policy.gapTimeoutMs) {
        if (announcedSequence > appliedSequence) skipTo(announcedSequence, nowMs);
        if (following) behindSinceMs = -1;
      }
    }
  }

  /** Tolerant only: skips the missing events up to this number. */
  private void skipTo(long upTo, long nowMs) {
    long skipped = upTo - appliedSequence;
    missedCount += skipped;
    missing.headSet(upTo - tolerance.outOf, true).clear();
    boolean tooMany = Math.min(skipped, tolerance.outOf) + missing.size() > tolerance.maxMissing;
    if (!tooMany)
      for (long i = Math.max(appliedSequence, upTo - tolerance.outOf) + 1; i <= upTo; i++)
        missing.add(i);
    appliedSequence = upTo;
    if (tooMany) {
      missing.clear();
      newestByBlock.clear();
      resync(nowMs);
    }
    if (following) applyInOrder();
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
