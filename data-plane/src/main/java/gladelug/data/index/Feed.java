/*
 * Follows one holder's cache events, pure. Events carry the holder's incarnation and a sequence:
 * repeats are dropped, small reorderings wait in a bounded window, and a gap that stays or a new
 * incarnation means that the holder's entries are cleared and its block list loaded, to go on
 * after the list's sequence. So a block is never removed that wasn't inserted.
 */
package gladelug.data.index;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

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

    static final class Tests {
        /** A holder with a true set of blocks, and a line that loses, repeats and reorders its events. */
        @Test void whateverTheLineDoesTheSummaryComesToTheHoldersTruth() {
            for (int seed = 1; seed <= 40; seed++) {
                Random r = new Random(seed);
                Set<Long> truth = new HashSet<>();
                Map<Long, Integer> seen = new HashMap<>();
                long[] asked = {0, 0};
                boolean[] never = {false};
                Feed f = new Feed(new Effects() {
                    @Override public void insert(long b) {
                        seen.merge(b, 1, Integer::sum);
                    }

                    @Override public void remove(long b) {
                        if (seen.merge(b, -1, Integer::sum) < 0) never[0] = true;
                        seen.remove(b, 0);
                    }

                    @Override public void load(long[] bs) {
                        seen.clear();
                        for (long b : bs) insert(b);
                    }

                    @Override public void list(long nr) {
                        asked[0] = nr;
                    }
                });
                String inc = "i0";
                long seq = 0, now = 0;
                List<Runnable> line = new ArrayList<>();
                f.resync();
                for (int step = 0; step < 4000; step++) {
                    now += 5;
                    long t = now;
                    if (step < 3500) {
                        if (r.nextInt(700) == 0) {
                            inc = "i" + step;
                            seq = 0;
                            truth.clear();
                        }
                        long b = r.nextInt(50);
                        boolean store = truth.add(b);
                        if (!store) truth.remove(b);
                        long s = ++seq;
                        String i = inc;
                        Runnable ev = () -> f.event(i, s, store, b, t);
                        int c = r.nextInt(100);
                        if (c >= 2) line.add(ev);
                        if (c > 95) line.add(ev);
                    }
                    if (r.nextInt(20) == 0 || step > 3500) {
                        long s = seq;
                        String i = inc;
                        line.add(() -> f.pulse(i, s, t));
                    }
                    while (line.size() > 4 || step > 3500 && !line.isEmpty())
                        line.remove(r.nextInt(Math.min(line.size(), 4))).run();
                    f.tick(now);
                    if (asked[0] != asked[1] && r.nextInt(10) == 0) {
                        asked[1] = asked[0];
                        f.listed(asked[0], inc, seq, truth.stream().mapToLong(x -> x).toArray());
                    }
                }
                Assertions.assertTrue(f.following(), "seed " + seed);
                Assertions.assertEquals(truth, seen.keySet(), "seed " + seed);
                Assertions.assertFalse(never[0], "removed what was never inserted, seed " + seed);
                Assertions.assertTrue(f.resyncs() > 1 && f.repeats() > 0, "the line did nothing, seed " + seed);
            }
        }
    }
}
