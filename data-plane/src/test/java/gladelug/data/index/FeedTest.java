/*
 * Tests of Feed.
 */
package gladelug.data.index;

import gladelug.data.index.Feed.Effects;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

final class FeedTest {
    /** A holder with a true set of blocks, and a line that loses, repeats and reorders its events. */
    @Test void whateverTheLineDoesTheSummaryComesToTheHoldersTruth() {
        for (int seed = 1; seed <= 40; seed++) {
            Random r = new Random(seed);
            Set<Long> truth = new HashSet<>();
            Map<Long, Integer> seen = new HashMap<>();
            long[] asked = {0, 0};
            boolean[] never = {false};
            Feed f = new Feed(new Effects() {
                @Override public void keep(long b, int units, boolean part) {
                    if (seen.merge(b, units > 0 ? 1 : -1, Integer::sum) < 0) never[0] = true;
                    seen.remove(b, 0);
                }

                @Override public void clear() {
                    seen.clear();
                }

                @Override public void load(BlockList l) {
                    seen.clear();
                    for (long b : l.blocks()) keep(b, 1, false);
                }

                @Override public void list(long nr) {
                    asked[0] = nr;
                }
            });
            String inc = "i0";
            long seq = 0, now = 0;
            List<Runnable> line = new ArrayList<>();
            f.resync(now);
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
                    CacheEvent e = store ? CacheEvent.store(i, s, b, 1) : CacheEvent.evict(i, s, b, 0);
                    Runnable ev = () -> f.event(e, t);
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
                    f.listed(asked[0], BlockList.whole(inc, seq, truth.stream().mapToLong(x -> x).toArray()));
                }
            }
            Assertions.assertTrue(f.following(), "seed " + seed);
            Assertions.assertEquals(truth, seen.keySet(), "seed " + seed);
            Assertions.assertFalse(never[0], "removed what was never inserted, seed " + seed);
            Assertions.assertTrue(f.resyncs() > 1 && f.repeats() > 0, "the line did nothing, seed " + seed);
        }
    }
}
