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
 * The Cuckoo Summary of all holders with what feeds it, pure. Holder ids are dense, local to this
 * process, and given again only after the holder's entries were cleared. When holders can keep more
 * than the table holds, or its overflow says it is full, a larger one is filled from fresh lists
 * beside it and swapped in. A holder has one entry of a block, however many events tell of it: an
 * event with units kept inserts it only where it isn't there, one with none removes exactly one
 * copy. How much is kept of a block kept in part stands beside the table, a map a holder.
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
  private CuckooSummary replacement;
  private long replacementSinceMs;
  private long questionCount;
  private final RecentPlacements placements = new RecentPlacements();
  private final FleetLoad load = new FleetLoad();
  private long hitCount;
  private int rebuildCount;
  private boolean holderLimitLogged;

  /** Of a lookup: a bit for each holder whose chain goes on, and for each that has the block. */
  private final long[] continuing;

  private final long[] matching;

  /** With room for {@link #DEFAULT_MAX_HOLDERS} holders, each followed strictly. */
  public FleetSummary(int fingerprintBits) {
    this(fingerprintBits, DEFAULT_MAX_HOLDERS, r -> CacheEventFeed.Policy.STRICT);
  }

  /**
   * @param fingerprintBits f; with the bits of a holder's id at most 31
   * @param maxHolders how many holders there may be at a time, at most {@link
   *     CuckooSummary#MAX_HOLDERS}
   * @param policies how each holder is followed
   */
  public FleetSummary(
      int fingerprintBits, int mostHolders, Function<Replica, CacheEventFeed.Policy> policies) {
    this.fingerprintBits = fingerprintBits;
    this.maxHolders = mostHolders;
    this.policies = policies;
    this.byId = new Holder[mostHolders];
    this.current = newTable(INITIAL_ENTRIES);
    this.continuing = new long[current.bitsetWords()];
    this.matching = new long[current.bitsetWords()];
  }

  private CuckooSummary newTable(long entries) {
    return new CuckooSummary(
        entries, fingerprintBits, CuckooSummary.BUCKET_SLOTS, maxHolders, SEED);
  }

  public List<Holder> allHolders() {
    return new ArrayList<>(holders.values());
  }

  public boolean isFollowed(Holder holder) {
    return holders.get(holder.replica.instance()) == holder;
  }

  /** Those the configuration and the platform name, and no others. */
  public void updateHolders(ControlStateSnapshot snapshot, long at) {
    Set<String> listed = new HashSet<>();
    for (Holders.Listed l : Holders.of(snapshot)) {
      Replica r = l.replica();
      Holder old = holders.get(r.instance());
      if (old != null && !old.replica.address().equals(r.address())) dropHolder(old);
      if (!holders.containsKey(r.instance())) {
        int id = usedIds.nextClearBit(0);
        if (id >= maxHolders) {
          if (!holderLimitLogged) Log.warn("too-many-holders", "most", maxHolders);
          holderLimitLogged = true;
          continue;
        }
        usedIds.set(id);
        byId[id] = new Holder(r, id, at, policies.apply(r), effects(id));
        holders.put(r.instance(), byId[id]);
      }
      if (l.capacityBlocks() > 0) holders.get(r.instance()).capacityBlocks = l.capacityBlocks();
      listed.add(r.instance());
    }
    for (Holder holder : new ArrayList<>(holders.values()))
      if (!listed.contains(holder.replica.instance())) dropHolder(holder);
    growIfNeeded(at);
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
      public void setKept(long block, int units, boolean part) {
        load.recordBlockEvent(units > 0);
        set(block, units, part);
      }

      private void set(long block, int units, boolean part) {
        Holder holder = byId[id];
        if (units > 0) {
          current.insertOnce(block, id);
          if (holder.inReplacement) replacement.insertOnce(block, id);
          if (part) holder.partialBlocks.put(block, units);
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
      public void requestList(long nr) {}
    };
  }

  /** The most blocks that a holder can keep: the table grows where all of theirs no longer fit. */
  public void setCapacity(Holder holder, long blocks, long at) {
    holder.capacityBlocks = blocks;
    growIfNeeded(at);
  }

  private void growIfNeeded(long at) {
    long all = 0;
    for (Holder holder : holders.values()) all += holder.capacityBlocks;
    CuckooSummary t = replacement != null ? replacement : current;
    if (all > t.capacity() * 9L / 10) grow(all, at);
  }

  private void grow(long entries, long at) {
    replacement = newTable(entries);
    replacementSinceMs = at;
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
      if (holder.feed.isFollowing()) holder.feed.requestList(at);
    }
  }

  public void tick(long t) {
    for (Holder holder : holders.values()) holder.feed.tick(t);
    if (replacement == null && current.isFull()) grow(current.capacity(), t);
    if (replacement == null) return;
    for (Holder holder : holders.values())
      if (!holder.inReplacement
          && !holder.isSilent(t)
          && t - replacementSinceMs < SWAP_TIMEOUT_MS + holder.feed.policy().minListIntervalMs())
        return;
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
        t - replacementSinceMs);
  }

  public boolean isWarm() {
    int following = 0;
    for (Holder holder : holders.values()) {
      if (holder.feed.isFollowing()) following++;
      else if (!holder.contacted) return false;
    }
    return following > 0;
  }

  /** A relay sent a prompt there: until events tell, its blocks count as kept. */
  public void recordPlacement(Lookup.Placement p, long at) {
    if (!holders.containsKey(p.holder())) return;
    placements.recordPlacement(p.blocks(), p.holder(), at);
    load.recordPlacement(p.holder(), p.work(), at);
  }

  /** The table's matches, and of holders that were sent more of this prompt a moment ago, that. */
  public Lookup.Response answer(Lookup.Query q, long at) {
    Lookup.Response a = answer(q);
    if (!a.warm() || q.blocks().length == 0) return a;
    List<Lookup.Match> more = new ArrayList<>(a.matches());
    more.removeIf(m -> isSilentStore(m.holder(), at));
    for (String h : holders.keySet()) {
      int n = placements.leadingBlocks(q.blocks(), h, at);
      if (n == 0) continue;
      if (more.removeIf(m -> m.holder().equals(h) && m.blocks() < n)
          || more.stream().noneMatch(m -> m.holder().equals(h)))
        more.add(new Lookup.Match(h, n, 0));
    }
    return new Lookup.Response(a.sequence(), true, more, load.snapshot(at));
  }

  /**
   * A store that tells nothing is down, and may be empty when it is back; a replica that is silent
   * is found out by the relays that call it.
   */
  private boolean isSilentStore(String name, long at) {
    Holder holder = holders.get(name);
    return holder != null && Holders.isStore(holder.replica) && holder.isSilent(at);
  }

  public Lookup.Response answer(Lookup.Query q) {
    questionCount++;
    if (!isWarm()) return new Lookup.Response(q.sequence(), false, List.of());
    List<Lookup.Match> out = new ArrayList<>();
    Arrays.fill(continuing, -1L);
    boolean any = true;
    int n = 0;
    for (; n < q.blocks().length && any; n++) {
      long block = q.blocks()[n];
      current.lookup(block, matching);
      any = false;
      for (int w = 0; w < continuing.length; w++) {
        addMatches(out, continuing[w] & ~matching[w], w, n);
        any |=
            (continuing[w] = addPartialMatches(out, continuing[w] & matching[w], w, n, block)) != 0;
      }
    }
    for (int w = 0; w < continuing.length; w++) addMatches(out, continuing[w], w, n);
    if (!out.isEmpty()) hitCount++;
    return new Lookup.Response(q.sequence(), true, out);
  }

  private void addMatches(List<Lookup.Match> out, long ids, int word, int blocks) {
    if (blocks == 0) return;
    for (; ids != 0; ids &= ids - 1) {
      Holder holder = byId(word, ids);
      if (holder != null) out.add(new Lookup.Match(holder.replica.instance(), blocks, 0));
    }
  }

  /** Ends the chain of those that keep the block in part; gives the bits of the others. */
  private long addPartialMatches(
      List<Lookup.Match> out, long ids, int word, int blocks, long block) {
    long on = ids;
    for (; ids != 0; ids &= ids - 1) {
      Holder holder = byId(word, ids);
      int units = holder == null ? 0 : holder.partialBlocks.get(block);
      if (units == 0) continue;
      out.add(new Lookup.Match(holder.replica.instance(), blocks, units));
      on &= ~Long.lowestOneBit(ids);
    }
    return on;
  }

  private Holder byId(int word, long ids) {
    int id = word << 6 | Long.numberOfTrailingZeros(ids);
    return id < byId.length ? byId[id] : null;
  }

  public JsonObject toJson(long t) {
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
              .add("heardMsAgo", t - holder.lastHeardMs));
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
