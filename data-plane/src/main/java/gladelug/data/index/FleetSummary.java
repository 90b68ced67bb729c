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
  public static final int MOST_HOLDERS = 512;
  private static final long START = 1 << 12, SEED = 0x5eed, SWAP = 5000;
  private final int mostHolders;
  private final Function<Replica, CacheEventFeed.Policy> policies;
  private final int fingerprintBits;
  private final Map<String, Holder> holders = new HashMap<>();
  private final Holder[] byId;
  private final BitSet taken = new BitSet();
  private CuckooSummary now;
  private CuckooSummary next;
  private long nextSince;
  private long questions;
  private final RecentPlacements placements = new RecentPlacements();
  private final FleetLoad load = new FleetLoad();
  private long hits;
  private int rebuilt;
  private boolean refused;

  /** Of a lookup: a bit for each holder whose chain goes on, and for each that has the block. */
  private final long[] left;

  private final long[] match;

  /** With room for {@link #MOST_HOLDERS} holders, each followed strictly. */
  public FleetSummary(int fingerprintBits) {
    this(fingerprintBits, MOST_HOLDERS, r -> CacheEventFeed.Policy.STRICT);
  }

  /**
   * @param fingerprintBits f; with the bits of a holder's id at most 31
   * @param mostHolders how many holders there may be at a time, at most {@link
   *     CuckooSummary#MOST_HOLDERS}
   * @param policies how each holder is followed
   */
  public FleetSummary(
      int fingerprintBits, int mostHolders, Function<Replica, CacheEventFeed.Policy> policies) {
    this.fingerprintBits = fingerprintBits;
    this.mostHolders = mostHolders;
    this.policies = policies;
    this.byId = new Holder[mostHolders];
    this.now = table(START);
    this.left = new long[now.words()];
    this.match = new long[now.words()];
  }

  private CuckooSummary table(long entries) {
    return new CuckooSummary(entries, fingerprintBits, CuckooSummary.SLOTS, mostHolders, SEED);
  }

  public List<Holder> all() {
    return new ArrayList<>(holders.values());
  }

  public boolean has(Holder holder) {
    return holders.get(holder.replica.instance()) == holder;
  }

  /** Those the configuration and the platform name, and no others. */
  public void holders(ControlStateSnapshot snapshot, long at) {
    Set<String> listed = new HashSet<>();
    for (Holders.Listed l : Holders.of(snapshot)) {
      Replica r = l.replica();
      Holder old = holders.get(r.instance());
      if (old != null && !old.replica.address().equals(r.address())) drop(old);
      if (!holders.containsKey(r.instance())) {
        int id = taken.nextClearBit(0);
        if (id >= mostHolders) {
          if (!refused) Log.warn("too-many-holders", "most", mostHolders);
          refused = true;
          continue;
        }
        taken.set(id);
        byId[id] = new Holder(r, id, at, policies.apply(r), effects(id));
        holders.put(r.instance(), byId[id]);
      }
      if (l.capacityBlocks() > 0) holders.get(r.instance()).capacity = l.capacityBlocks();
      listed.add(r.instance());
    }
    for (Holder holder : new ArrayList<>(holders.values()))
      if (!listed.contains(holder.replica.instance())) drop(holder);
    fit(at);
  }

  private void drop(Holder holder) {
    holder.dropped = true;
    now.clear(holder.id);
    if (next != null) next.clear(holder.id);
    holders.remove(holder.replica.instance());
    load.gone(holder.replica.instance());
    byId[holder.id] = null;
    taken.clear(holder.id);
  }

  private CacheEventFeed.Effects effects(int id) {
    return new CacheEventFeed.Effects() {
      @Override
      public void keep(long block, int units, boolean part) {
        load.event(units > 0);
        set(block, units, part);
      }

      private void set(long block, int units, boolean part) {
        Holder holder = byId[id];
        if (units > 0) {
          now.insertOnce(block, id);
          if (holder.inNext) next.insertOnce(block, id);
          if (part) holder.parts.put(block, units);
          else if (units > holder.parts.get(block)) holder.parts.remove(block);
        } else {
          now.remove(block, id);
          if (holder.inNext) next.remove(block, id);
          holder.parts.remove(block);
        }
      }

      @Override
      public void clear() {
        now.clear(id);
        if (next != null) next.clear(id);
        byId[id].parts.clear();
      }

      @Override
      public void load(BlockList list) {
        clear();
        if (next != null) byId[id].inNext = true;
        for (int i = 0; i < list.blocks().length; i++)
          set(list.blocks()[i], list.units()[i], list.parts().get(i));
      }

      @Override
      public void list(long nr) {}
    };
  }

  /** The most blocks that a holder can keep: the table grows where all of theirs no longer fit. */
  public void capacity(Holder holder, long blocks, long at) {
    holder.capacity = blocks;
    fit(at);
  }

  private void fit(long at) {
    long all = 0;
    for (Holder holder : holders.values()) all += holder.capacity;
    CuckooSummary t = next != null ? next : now;
    if (all > t.capacity() * 9L / 10) grow(all, at);
  }

  private void grow(long entries, long at) {
    next = table(entries);
    nextSince = at;
    Log.event(
        "summary-grows",
        "from",
        now.capacity(),
        "to",
        next.capacity(),
        "entries",
        now.size(),
        "overflow",
        now.overflowed());
    for (Holder holder : holders.values()) {
      holder.inNext = false;
      if (holder.feed.following()) holder.feed.relist(at);
    }
  }

  public void tick(long t) {
    for (Holder holder : holders.values()) holder.feed.tick(t);
    if (next == null && now.full()) grow(now.capacity(), t);
    if (next == null) return;
    for (Holder holder : holders.values())
      if (!holder.inNext
          && !holder.silent(t)
          && t - nextSince < SWAP + holder.feed.policy().listPauseMs()) return;
    now = next;
    next = null;
    rebuilt++;
    for (Holder holder : holders.values()) holder.inNext = false;
    Log.event(
        "summary-grown", "slots", now.capacity(), "entries", now.size(), "took", t - nextSince);
  }

  public boolean warm() {
    int following = 0;
    for (Holder holder : holders.values()) {
      if (holder.feed.following()) following++;
      else if (!holder.tried) return false;
    }
    return following > 0;
  }

  /** A relay sent a prompt there: until events tell, its blocks count as kept. */
  public void placed(Lookup.Placement p, long at) {
    if (!holders.containsKey(p.holder())) return;
    placements.sent(p.blocks(), p.holder(), at);
    load.placed(p.holder(), p.work(), at);
  }

  /** The table's matches, and of holders that were sent more of this prompt a moment ago, that. */
  public Lookup.Response answer(Lookup.Query q, long at) {
    Lookup.Response a = answer(q);
    if (!a.warm() || q.blocks().length == 0) return a;
    List<Lookup.Match> more = new ArrayList<>(a.matches());
    more.removeIf(m -> silentStore(m.holder(), at));
    for (String h : holders.keySet()) {
      int n = placements.leading(q.blocks(), h, at);
      if (n == 0) continue;
      if (more.removeIf(m -> m.holder().equals(h) && m.blocks() < n)
          || more.stream().noneMatch(m -> m.holder().equals(h)))
        more.add(new Lookup.Match(h, n, 0));
    }
    return new Lookup.Response(a.sequence(), true, more, load.told(at));
  }

  /**
   * A store that tells nothing is down, and may be empty when it is back; a replica that is silent
   * is found out by the relays that call it.
   */
  private boolean silentStore(String name, long at) {
    Holder holder = holders.get(name);
    return holder != null && Holders.isStore(holder.replica) && holder.silent(at);
  }

  public Lookup.Response answer(Lookup.Query q) {
    questions++;
    if (!warm()) return new Lookup.Response(q.sequence(), false, List.of());
    List<Lookup.Match> out = new ArrayList<>();
    Arrays.fill(left, -1L);
    boolean any = true;
    int n = 0;
    for (; n < q.blocks().length && any; n++) {
      long block = q.blocks()[n];
      now.lookup(block, match);
      any = false;
      for (int w = 0; w < left.length; w++) {
        out(out, left[w] & ~match[w], w, n);
        any |= (left[w] = parts(out, left[w] & match[w], w, n, block)) != 0;
      }
    }
    for (int w = 0; w < left.length; w++) out(out, left[w], w, n);
    if (!out.isEmpty()) hits++;
    return new Lookup.Response(q.sequence(), true, out);
  }

  private void out(List<Lookup.Match> out, long ids, int word, int blocks) {
    if (blocks == 0) return;
    for (; ids != 0; ids &= ids - 1) {
      Holder holder = byId(word, ids);
      if (holder != null) out.add(new Lookup.Match(holder.replica.instance(), blocks, 0));
    }
  }

  /** Ends the chain of those that keep the block in part; gives the bits of the others. */
  private long parts(List<Lookup.Match> out, long ids, int word, int blocks, long block) {
    long on = ids;
    for (; ids != 0; ids &= ids - 1) {
      Holder holder = byId(word, ids);
      int units = holder == null ? 0 : holder.parts.get(block);
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

  public JsonObject json(long t) {
    JsonArray array = new JsonArray();
    for (Holder holder : holders.values())
      array.add(
          Json.object()
              .add("instance", holder.replica.instance())
              .add("following", holder.feed.following())
              .add("applied", holder.feed.applied())
              .add("resyncs", holder.feed.resyncs())
              .add("repeats", holder.feed.repeats())
              .add("missed", holder.feed.missed())
              .add("parts", holder.parts.size())
              .add("partsRefused", holder.parts.refused())
              .add("heardMsAgo", t - holder.heard));
    return Json.object()
        .add("warm", warm())
        .add("slots", now.capacity())
        .add("entries", now.size())
        .add("occupancy", now.occupancy())
        .add("overflow", now.overflowed())
        .add("overflowStrays", now.strays())
        .add("copiesEver", now.copies())
        .add("displacements", now.displacements())
        .add("rebuilt", rebuilt)
        .add("questions", questions)
        .add("hits", hits)
        .add("holders", array);
  }
}
