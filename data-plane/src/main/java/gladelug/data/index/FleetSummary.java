package gladelug.data.index;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Log;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.message.Lookup;
import gladelug.data.state.ControlStateSnapshot;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The Cuckoo Summary of all holders and the feeds that update it; performs no I/O. Holder ids are
 * dense, local to this process, and reused only after the entries of the former holder were
 * cleared. When holders can keep more blocks than the table holds, or the table is full, a larger
 * table is filled from fresh lists alongside and then swapped in. A holder has one entry per block,
 * however many events report it: an event with units kept inserts the entry if it is missing, one
 * with none removes exactly one copy. How many units are kept of a partial block is stored outside
 * the table, in one map per holder.
 */
public final class FleetSummary {
  public static final int DEFAULT_MAX_HOLDERS = 512;
  private static final long INITIAL_ENTRIES = 1 << 12, SEED = 0x5eed, SWAP_TIMEOUT_MS = 5000;
  private final int maxHolders;
  private final Function<Replica, CacheEventFeed.Policy> policies;
  private final int fingerprintBits;
  private final Map<String, Holder> holders = new HashMap<>();
  private final Holder[] byId;
  private final BitSet usedIds = new BitSet();
  private CuckooSummary current;

  /** The larger table that is being filled, or null. */
  private CuckooSummary replacement;

  private long replacementSinceMs;
  private long questionCount;
  private final RecentPlacements placements = new RecentPlacements();
  private final FleetLoad load = new FleetLoad();
  private long hitCount;
  private int rebuildCount;
  private boolean holderLimitLogged;

  /** The holders that have all blocks of a question so far, one bit each. */
  private final long[] continuing;

  /** The holders that have the current block, one bit each. */
  private final long[] matching;

  /**
   * Creates a summary of up to {@link #DEFAULT_MAX_HOLDERS} holders, each followed with the strict
   * policy.
   */
  public FleetSummary(int fingerprintBits) {
    this(fingerprintBits, DEFAULT_MAX_HOLDERS, replica -> CacheEventFeed.Policy.STRICT);
  }

  /**
   * Creates a summary.
   *
   * @param fingerprintBits width of a fingerprint; together with the bits of a holder's id at most
   *     31
   * @param maxHolders maximum number of holders at a time, at most {@link
   *     CuckooSummary#MAX_HOLDERS}
   * @param policies how each holder is followed
   */
  public FleetSummary(
      int fingerprintBits, int maxHolders, Function<Replica, CacheEventFeed.Policy> policies) {
    this.fingerprintBits = fingerprintBits;
    this.maxHolders = maxHolders;
    this.policies = policies;
    this.byId = new Holder[maxHolders];
    this.current = newTable(INITIAL_ENTRIES);
    this.continuing = new long[current.bitsetWords()];
    this.matching = new long[current.bitsetWords()];
  }

  private CuckooSummary newTable(long entries) {
    return new CuckooSummary(
        entries, fingerprintBits, CuckooSummary.BUCKET_SLOTS, maxHolders, SEED);
  }

  /** Returns all followed holders. */
  public List<Holder> allHolders() {
    return new ArrayList<>(holders.values());
  }

  /** Returns whether this holder is still followed. */
  public boolean isFollowed(Holder holder) {
    return holders.get(holder.replica.instance()) == holder;
  }

  /** Follows the holders that the configuration and the platform name, and no others. */
  public void updateHolders(ControlStateSnapshot snapshot, long nowMs) {
    Set<String> listedInstances = new HashSet<>();
    for (Holders.Listed listed : Holders.of(snapshot)) {
      Replica replica = listed.replica();
      Holder previous = holders.get(replica.instance());
      if (previous != null && !previous.replica.address().equals(replica.address()))
        dropHolder(previous);
      if (!holders.containsKey(replica.instance())) {
        int id = usedIds.nextClearBit(0);
        if (id >= maxHolders) {
          if (!holderLimitLogged) Log.warn("too-many-holders", "most", maxHolders);
          holderLimitLogged = true;
          continue;
        }
        usedIds.set(id);
        byId[id] = new Holder(replica, id, nowMs, policies.apply(replica), effects(id));
        holders.put(replica.instance(), byId[id]);
      }
      if (listed.capacityBlocks() > 0)
        holders.get(replica.instance()).capacityBlocks = listed.capacityBlocks();
      listedInstances.add(replica.instance());
    }
    for (Holder holder : new ArrayList<>(holders.values()))
      if (!listedInstances.contains(holder.replica.instance())) dropHolder(holder);
    growIfNeeded(nowMs);
  }

  private void dropHolder(Holder holder) {
    holder.dropped = true;
    current.clear(holder.id);
    if (replacement != null) replacement.clear(holder.id);
    holders.remove(holder.replica.instance());
    load.removeHolder(holder.replica.instance());
    byId[holder.id] = null;
    usedIds.clear(holder.id);
  }

  private CacheEventFeed.Effects effects(int id) {
    return new CacheEventFeed.Effects() {
      @Override
      public void setKept(long block, int units, boolean partial) {
        load.recordBlockEvent(units > 0);
        set(block, units, partial);
      }

      private void set(long block, int units, boolean partial) {
        Holder holder = byId[id];
        if (units > 0) {
          current.insertOnce(block, id);
          if (holder.inReplacement) replacement.insertOnce(block, id);
          if (partial) holder.partialBlocks.put(block, units);
          else if (units > holder.partialBlocks.get(block)) holder.partialBlocks.remove(block);
        } else {
          current.remove(block, id);
          if (holder.inReplacement) replacement.remove(block, id);
          holder.partialBlocks.remove(block);
        }
      }

      @Override
      public void clear() {
        current.clear(id);
        if (replacement != null) replacement.clear(id);
        byId[id].partialBlocks.clear();
      }

      @Override
      public void replaceAll(BlockList list) {
        clear();
        if (replacement != null) byId[id].inReplacement = true;
        for (int i = 0; i < list.blocks().length; i++)
          set(list.blocks()[i], list.units()[i], list.partial().get(i));
      }

      @Override
      public void requestList(long requestNumber) {}
    };
  }

  /**
   * Sets the maximum number of blocks that a holder can keep, and grows the table if the blocks of
   * all holders no longer fit.
   */
  public void setCapacity(Holder holder, long blocks, long nowMs) {
    holder.capacityBlocks = blocks;
    growIfNeeded(nowMs);
  }

  private void growIfNeeded(long nowMs) {
    long totalBlocks = 0;
    for (Holder holder : holders.values()) totalBlocks += holder.capacityBlocks;
    CuckooSummary table = replacement != null ? replacement : current;
    if (totalBlocks > table.capacity() * 9L / 10) grow(totalBlocks, nowMs);
  }

  /** Starts to fill a larger table from fresh lists. */
  private void grow(long entries, long nowMs) {
    replacement = newTable(entries);
    replacementSinceMs = nowMs;
    Log.event(
        "summary-grows",
        "from",
        current.capacity(),
        "to",
        replacement.capacity(),
        "entries",
        current.size(),
        "overflow",
        current.overflowEntries());
    for (Holder holder : holders.values()) {
      holder.inReplacement = false;
      if (holder.feed.isFollowing()) holder.feed.requestList(nowMs);
    }
  }

  /** Advances the feeds, and swaps in a larger table once it is filled. */
  public void tick(long nowMs) {
    for (Holder holder : holders.values()) holder.feed.tick(nowMs);
    if (replacement == null && current.isFull()) grow(current.capacity(), nowMs);
    if (replacement == null) return;
    for (Holder holder : holders.values())
      if (!holder.inReplacement
          && !holder.isSilent(nowMs)
          && nowMs - replacementSinceMs
              < SWAP_TIMEOUT_MS + holder.feed.policy().minListIntervalMs()) return;
    current = replacement;
    replacement = null;
    rebuildCount++;
    for (Holder holder : holders.values()) holder.inReplacement = false;
    Log.event(
        "summary-grown",
        "slots",
        current.capacity(),
        "entries",
        current.size(),
        "took",
        nowMs - replacementSinceMs);
  }

  /**
   * Returns whether every holder was contacted and at least one is followed, so that questions can
   * be answered.
   */
  public boolean isWarm() {
    int following = 0;
    for (Holder holder : holders.values()) {
      if (holder.feed.isFollowing()) following++;
      else if (!holder.contacted) return false;
    }
    return following > 0;
  }

  /**
   * Records that a relay sent a prompt to a holder: its blocks count as kept until events report
   * them.
   */
  public void recordPlacement(Lookup.Placement placement, long nowMs) {
    if (!holders.containsKey(placement.holder())) return;
    placements.recordPlacement(placement.blocks(), placement.holder(), nowMs);
    load.recordPlacement(placement.holder(), placement.work(), nowMs);
  }

  /**
   * Answers a question with the table's matches. A holder that was recently sent a longer prefix of
   * this prompt than the table reports is returned with that prefix instead.
   */
  public Lookup.Response answer(Lookup.Query question, long nowMs) {
    Lookup.Response answer = answer(question);
    if (!answer.warm() || question.blocks().length == 0) return answer;
    List<Lookup.Match> matches = new ArrayList<>(answer.matches());
    matches.removeIf(match -> isSilentStore(match.holder(), nowMs));
    for (String instance : holders.keySet()) {
      int leading = placements.leadingBlocks(question.blocks(), instance, nowMs);
      if (leading == 0) continue;
      if (matches.removeIf(match -> match.holder().equals(instance) && match.blocks() < leading)
          || matches.stream().noneMatch(match -> match.holder().equals(instance)))
        matches.add(new Lookup.Match(instance, leading, 0));
    }
    return new Lookup.Response(answer.sequence(), true, matches, load.snapshot(nowMs));
  }

  /**
   * Returns whether a store is silent. A silent store is down and may be empty when it returns; a
   * silent replica is detected by the relays that call it.
   */
  private boolean isSilentStore(String name, long nowMs) {
    Holder holder = holders.get(name);
    return holder != null && Holders.isStore(holder.replica) && holder.isSilent(nowMs);
  }

  /** Answers a question from the table alone. */
  public Lookup.Response answer(Lookup.Query question) {
    questionCount++;
    if (!isWarm()) return new Lookup.Response(question.sequence(), false, List.of());
    List<Lookup.Match> matches = new ArrayList<>();
    Arrays.fill(continuing, -1L);
    boolean any = true;
    int leading = 0;
    for (; leading < question.blocks().length && any; leading++) {
      long block = question.blocks()[leading];
      current.lookup(block, matching);
      any = false;
      for (int word = 0; word < continuing.length; word++) {
        addMatches(matches, continuing[word] & ~matching[word], word, leading);
        any |=
            (continuing[word] =
                    addPartialMatches(
                        matches, continuing[word] & matching[word], word, leading, block))
                != 0;
      }
    }
    for (int word = 0; word < continuing.length; word++)
      addMatches(matches, continuing[word], word, leading);
    if (!matches.isEmpty()) hitCount++;
    return new Lookup.Response(question.sequence(), true, matches);
  }

  private void addMatches(List<Lookup.Match> matches, long ids, int word, int blocks) {
    if (blocks == 0) return;
    for (; ids != 0; ids &= ids - 1) {
      Holder holder = byId(word, ids);
      if (holder != null) matches.add(new Lookup.Match(holder.replica.instance(), blocks, 0));
    }
  }

  /**
   * Adds a match for each holder that keeps the block only in part; returns the bits of the other
   * holders.
   */
  private long addPartialMatches(
      List<Lookup.Match> matches, long ids, int word, int blocks, long block) {
    long remaining = ids;
    for (; ids != 0; ids &= ids - 1) {
      Holder holder = byId(word, ids);
      int units = holder == null ? 0 : holder.partialBlocks.get(block);
      if (units == 0) continue;
      matches.add(new Lookup.Match(holder.replica.instance(), blocks, units));
      remaining &= ~Long.lowestOneBit(ids);
    }
    return remaining;
  }

  private Holder byId(int word, long ids) {
    int id = word << 6 | Long.numberOfTrailingZeros(ids);
    return id < byId.length ? byId[id] : null;
  }

  /** Returns the status for operators. */
  public JsonObject toJson(long nowMs) {
    JsonArray array = new JsonArray();
    for (Holder holder : holders.values())
      array.add(
          Json.object()
              .add("instance", holder.replica.instance())
              .add("following", holder.feed.isFollowing())
              .add("applied", holder.feed.appliedSequence())
              .add("resyncs", holder.feed.resyncCount())
              .add("repeats", holder.feed.duplicateCount())
              .add("missed", holder.feed.missedCount())
              .add("parts", holder.partialBlocks.size())
              .add("partsRefused", holder.partialBlocks.refusedCount())
              .add("heardMsAgo", nowMs - holder.lastHeardMs));
    return Json.object()
        .add("warm", isWarm())
        .add("slots", current.capacity())
        .add("entries", current.size())
        .add("occupancy", current.occupancy())
        .add("overflow", current.overflowEntries())
        .add("overflowStrays", current.strayCount())
        .add("copiesEver", current.excessCopies())
        .add("displacements", current.displacements())
        .add("rebuilt", rebuildCount)
        .add("questions", questionCount)
        .add("hits", hitCount)
        .add("holders", array);
  }
}
