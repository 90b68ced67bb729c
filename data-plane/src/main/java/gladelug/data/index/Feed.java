/*
 * Follows one holder's cache events, pure. Events carry the holder's incarnation and a sequence:
 * repeats are dropped, small reorderings wait in a bounded window, and a gap that stays or a new
 * incarnation means that the holder's entries are cleared and its block list loaded, to go on
 * after the list's sequence. So a block is never removed that wasn't inserted.
 */
package gladelug.data.index;

import java.util.TreeMap;

public final class Feed {
    public static final int WINDOW = 64;
    public static final long PATIENCE = 300;

    public interface Effects {
        void insert(long block);

        void remove(long block);

        /** Clear the holder and insert these. */
        void load(long[] blocks);

        /** Ask the holder for its list; listed() follows with the same nr. */
        void list(long nr);
    }

    private record Event(boolean store, long block) {}

    private final Effects fx;
    private final TreeMap<Long, Event> window = new TreeMap<>();
    private String incarnation = "";
    private long applied;
    private boolean following;
    private long listNr;
    private long behindSince = -1;
    private long resyncs;
    private long repeats;
    private String windowOf = "";

    public Feed(Effects fx) {
        this.fx = fx;
    }

    public boolean following() {
        return following;
    }

    public String incarnation() {
        return incarnation;
    }

    public long applied() {
        return applied;
    }

    public long resyncs() {
        return resyncs;
    }

    public long repeats() {
        return repeats;
    }

    public void resync() {
        following = false;
        behindSince = -1;
        resyncs++;
        fx.list(++listNr);
    }

    public void listed(long nr, String inc, long seq, long[] blocks) {
        if (following || nr != listNr) return;
        if (!inc.equals(windowOf)) window.clear();
        incarnation = windowOf = inc;
        applied = seq;
        following = true;
        behindSince = -1;
        fx.load(blocks);
        drain();
    }

    public void event(String inc, long seq, boolean store, long block, long now) {
        if (!following) {
            if (!inc.equals(windowOf)) {
                window.clear();
                windowOf = inc;
            }
            window.put(seq, new Event(store, block));
            if (window.size() > 16 * WINDOW) window.pollFirstEntry();
            return;
        }
        if (!inc.equals(incarnation)) {
            window.clear();
            windowOf = inc;
            window.put(seq, new Event(store, block));
            resync();
        } else if (seq <= applied || window.containsKey(seq)) repeats++;
        else {
            window.put(seq, new Event(store, block));
            drain();
            if (window.isEmpty()) behindSince = -1;
            else if (behindSince < 0) behindSince = now;
            if (window.size() > WINDOW) resync();
        }
    }

    /** The holder told its newest sequence without an event. */
    public void pulse(String inc, long newest, long now) {
        if (!following) return;
        if (!inc.equals(incarnation)) resync();
        else if (newest <= applied) {
            if (window.isEmpty()) behindSince = -1;
        } else if (behindSince < 0) behindSince = now;
        tick(now);
    }

    public void tick(long now) {
        if (following && behindSince >= 0 && now - behindSince > PATIENCE) resync();
    }

    private void drain() {
        while (!window.isEmpty() && window.firstKey() <= applied) {
            window.pollFirstEntry();
            repeats++;
        }
        while (!window.isEmpty() && window.firstKey() == applied + 1) {
            Event e = window.pollFirstEntry().getValue();
            applied++;
            if (e.store) fx.insert(e.block);
            else fx.remove(e.block);
        }
    }
}
