/*
 * The Cuckoo Summary of all holders with what feeds it, pure. Holder ids are dense, local to this process, and given
 * again only after the holder's entries were cleared. When holders can keep more than the table
 * holds, or its overflow says it is full, a larger one is filled from fresh lists beside it and swapped in.
 */
package gladelug.data.index;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.data.news.Tables;
import gladelug.kernel.Log;
import gladelug.kernel.configuration.Configuration;
import gladelug.kernel.configuration.Replicas.Replica;
import gladelug.kernel.message.Lookup;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

public final class FleetSummary {
    private static final long START = 1 << 12, SEED = 0x5eed;
    private final int fingerprintBits;
    private final Map<String, Holder> holders = new HashMap<>();
    private final Holder[] byId = new Holder[CuckooSummary.HOLDERS];
    private final BitSet taken = new BitSet();
    private CuckooSummary now;
    private CuckooSummary next;
    private long nextSince;
    private long questions;
    private long hits;
    private int rebuilt;
    private boolean refused;

    public FleetSummary(int fingerprintBits) {
        this.fingerprintBits = fingerprintBits;
        this.now = new CuckooSummary(START, fingerprintBits, SEED);
    }

    public List<Holder> all() {
        return new ArrayList<>(holders.values());
    }

    public boolean has(Holder h) {
        return holders.get(h.replica.instance()) == h;
    }

    /** Those the configuration and the platform name, and no others. */
    public void holders(Tables t, long at) {
        Set<String> listed = new HashSet<>();
        for (Replica r : t.replicas().all) {
            Configuration.Service s = t.configuration().service(r.service());
            if (s == null || s.kind() == Configuration.Kind.APPLICATION || !s.allows(r.address())) continue;
            Holder old = holders.get(r.instance());
            if (old != null && !old.replica.address().equals(r.address())) drop(old);
            if (!holders.containsKey(r.instance())) {
                int id = taken.nextClearBit(0);
                if (id >= CuckooSummary.HOLDERS) {
                    if (!refused) Log.warn("too-many-holders", "most", CuckooSummary.HOLDERS);
                    refused = true;
                    continue;
                }
                taken.set(id);
                byId[id] = new Holder(r, id, at, effects(id));
                holders.put(r.instance(), byId[id]);
            }
            listed.add(r.instance());
        }
        for (Holder h : new ArrayList<>(holders.values())) if (!listed.contains(h.replica.instance())) drop(h);
    }

    private void drop(Holder h) {
        h.dropped = true;
        now.clear(h.id);
        if (next != null) next.clear(h.id);
        holders.remove(h.replica.instance());
        byId[h.id] = null;
        taken.clear(h.id);
    }

    private Feed.Effects effects(int id) {
        return new Feed.Effects() {
            @Override public void insert(long b) {
                now.insert(b, id);
                if (byId[id].inNext) next.insert(b, id);
            }

            @Override public void remove(long b) {
                now.remove(b, id);
                if (byId[id].inNext) next.remove(b, id);
            }

            @Override public void load(long[] bs) {
                now.clear(id);
                if (next != null) {
                    next.clear(id);
                    byId[id].inNext = true;
                }
                for (long b : bs) insert(b);
            }

            @Override public void list(long nr) {}
        };
    }

    public void capacity(Holder h, long blocks, long at) {
        h.capacity = blocks;
        long all = 0;
        for (Holder x : holders.values()) all += x.capacity;
        CuckooSummary t = next != null ? next : now;
        if (all > t.capacity() * 9L / 10) grow(all, at);
    }

    private void grow(long entries, long at) {
        next = new CuckooSummary(entries, fingerprintBits, SEED);
        nextSince = at;
        Log.event("summary-grows", "from", now.capacity(), "to", next.capacity(), "entries", now.size(), "overflow",
            now.overflowed());
        for (Holder h : holders.values()) {
            h.inNext = false;
            if (h.feed.following()) h.feed.resync();
        }
    }

    public void tick(long t) {
        for (Holder h : holders.values()) h.feed.tick(t);
        if (next == null && now.full()) grow(now.capacity(), t);
        if (next == null) return;
        for (Holder h : holders.values()) if (!h.inNext && !h.silent(t) && t - nextSince < 5000) return;
        now = next;
        next = null;
        rebuilt++;
        for (Holder h : holders.values()) h.inNext = false;
        Log.event("summary-grown", "slots", now.capacity(), "entries", now.size(), "took", t - nextSince);
    }

    public boolean warm() {
        int following = 0;
        for (Holder h : holders.values()) {
            if (h.feed.following()) following++;
            else if (!h.tried) return false;
        }
        return following > 0;
    }

    public Lookup.Answer answer(Lookup.Question q) {
        questions++;
        if (!warm()) return new Lookup.Answer(q.nr(), false, List.of());
        List<Lookup.Match> out = new ArrayList<>();
        long left = -1L;
        int n = 0;
        for (; n < q.blocks().length && left != 0; n++) {
            long m = left & now.lookup(q.blocks()[n]);
            out(out, left & ~m, n);
            left = m;
        }
        out(out, left, n);
        if (!out.isEmpty()) hits++;
        return new Lookup.Answer(q.nr(), true, out);
    }

    private void out(List<Lookup.Match> out, long ids, int blocks) {
        if (blocks == 0) return;
        for (; ids != 0; ids &= ids - 1) {
            Holder h = byId[Long.numberOfTrailingZeros(ids)];
            if (h != null) out.add(new Lookup.Match(h.replica.instance(), blocks));
        }
    }

    public JsonObject json(long t) {
        JsonArray hs = new JsonArray();
        for (Holder h : holders.values())
            hs.add(Json.object().add("instance", h.replica.instance()).add("following", h.feed.following())
                .add("applied", h.feed.applied())
                .add("resyncs", h.feed.resyncs()).add("repeats", h.feed.repeats()).add("heardMsAgo", t - h.heard));
        return Json.object().add("warm", warm()).add("slots", now.capacity()).add("entries", now.size())
            .add("occupancy", now.occupancy())
            .add("overflow", now.overflowed()).add("overflowStrays", now.strays()).add("copiesEver", now.copies())
            .add("displacements", now.displacements())
            .add("rebuilt", rebuilt).add("questions", questions).add("hits", hits).add("holders", hs);
    }
}
