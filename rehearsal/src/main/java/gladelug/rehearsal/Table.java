/*
 * Measures the Cuckoo Summary by itself: the paper's four slots with the overflow against wider
 * buckets without need of it, on what a deployment keeps: a shared prefix at every holder and blocks
 * of their own. Counts first; times only as ratios within one run, turn about.
 */
package gladelug.rehearsal;

import gladelug.data.index.CuckooSummary;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

final class Table {
    private record Shape(String name, int slots, int bits) {}

    private Table() {}

    static void measure(int rounds) {
        Shape[] shapes = {new Shape("b=4 f=16, overflow", 4, 16), new Shape("b=8 f=16", 8, 16),
            new Shape("b=8 f=17", 8, 17)};
        int holders = 13, shared = 300, own = 1500, probes = 2_000_000;
        Map<String, List<Double>> lookup = new TreeMap<>(), update = new TreeMap<>();
        for (int round = 0; round <= rounds; round++)
            for (Shape x : shapes) {
                SplittableRandom r = new SplittableRandom(round + 1);
                long[] prefix = r.longs(shared).toArray();
                long[][] mine = new long[holders][];
                for (int h = 0; h < holders; h++) mine[h] = r.longs(own).toArray();
                CuckooSummary s = new CuckooSummary((long) holders * (shared + own), x.bits, x.slots, round);
                long t = System.nanoTime();
                for (int h = 0; h < holders; h++) {
                    for (long b : prefix) s.insert(b, h);
                    for (long b : mine[h]) s.insert(b, h);
                }
                double insert = (System.nanoTime() - t) / (double) (holders * (shared + own));
                int wrong = 0;
                t = System.nanoTime();
                for (int i = 0; i < probes; i++) if (s.lookup(r.nextLong()) != 0) wrong++;
                double look = (System.nanoTime() - t) / (double) probes;
                if (round == 0) continue;
                lookup.computeIfAbsent(x.name, k -> new ArrayList<>()).add(look);
                update.computeIfAbsent(x.name, k -> new ArrayList<>()).add(insert);
                System.out.printf(Locale.ROOT,
                    "round %d %-20s slots %d occupancy %.2f overflow %d displacements %d wrong %d of %d (bound %.0f)%n",
                    round, x.name, s.capacity(),
                    s.occupancy(), s.overflowed(), s.displacements(), wrong, probes,
                    probes * 2.0 * x.slots / (1 << x.bits));
            }
        String base = shapes[0].name;
        for (Shape x : shapes) {
            List<Double> a = new ArrayList<>(), b = new ArrayList<>();
            for (int i = 0; i < rounds; i++) {
                a.add(lookup.get(x.name).get(i) / lookup.get(base).get(i));
                b.add(update.get(x.name).get(i) / update.get(base).get(i));
            }
            System.out.printf(Locale.ROOT,
                "%-20s lookup time, ratio: median %.2f (%.2f to %.2f); insert time, ratio: median %.2f (%.2f to "
                    + "%.2f)%n",
                x.name,
                RehearseFleet.at(a, 0.5), RehearseFleet.at(a, 0), RehearseFleet.at(a, 1), RehearseFleet.at(b, 0.5),
                RehearseFleet.at(b, 0), RehearseFleet.at(b, 1));
        }
    }
}
