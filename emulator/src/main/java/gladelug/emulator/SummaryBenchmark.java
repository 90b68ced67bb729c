package gladelug.emulator;

import gladelug.data.index.CuckooSummary;
import gladelug.data.index.FleetSummary;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The command "table": benchmarks the Cuckoo Summary, either the paper's four slots with overflow
 * against wider buckets that need none, or many holders against thirteen. Every holder has a shared
 * prefix and its own blocks. Times are compared as ratios of alternating measurements within one
 * run; the nanoseconds only show the order of magnitude.
 */
final class SummaryBenchmark {
  private static final int BASELINE_HOLDERS = 13;

  /**
   * A table with b = slots and f = bits, and holders that each have the shared blocks and their
   * own.
   */
  private record Shape(String name, int slots, int bits, int holders, int shared, int own) {}

  private SummaryBenchmark() {}

  /**
   * Returns the shapes to compare; the first is the baseline, the current table with 13 holders.
   */
  private static List<Shape> shapes(int holders, int shared, int own) {
    if (holders == BASELINE_HOLDERS)
      return List.of(
          new Shape("b=4 f=16, overflow", 4, 16, BASELINE_HOLDERS, shared, own),
          new Shape("b=8 f=16", 8, 16, BASELINE_HOLDERS, shared, own),
          new Shape("b=8 f=17", 8, 17, BASELINE_HOLDERS, shared, own));
    return List.of(
        new Shape("13 holders, b=4", 4, 16, BASELINE_HOLDERS, shared, own),
        new Shape(holders + " holders, b=4", 4, 16, holders, shared, own),
        new Shape(holders + " holders, b=8", 8, 16, holders, shared, own));
  }

  private static int mostHolders(Shape x) {
    return x.holders == BASELINE_HOLDERS
        ? CuckooSummary.DEFAULT_MAX_HOLDERS
        : FleetSummary.DEFAULT_MAX_HOLDERS;
  }

  static void measure(int rounds, int holders, int shared, int own) {
    List<Shape> shapes = shapes(holders, shared, own);
    int probes = 2_000_000;
    Map<String, List<Double>> lookup = new TreeMap<>(),
        update = new TreeMap<>(),
        common = new TreeMap<>(),
        removal = new TreeMap<>();
    for (int round = 0; round <= rounds; round++)
      for (Shape x : shapes) {
        SplittableRandom r = new SplittableRandom(round + 1);
        long[] prefix = r.longs(x.shared).toArray();
        long[][] mine = new long[x.holders][];
        for (int h = 0; h < x.holders; h++) mine[h] = r.longs(x.own).toArray();
        int entries = x.holders * (x.shared + x.own);
        CuckooSummary s = new CuckooSummary(entries, x.bits, x.slots, mostHolders(x), round);
        long[] found = new long[s.bitsetWords()];
        long t = System.nanoTime();
        for (int h = 0; h < x.holders; h++) {
          for (long b : prefix) s.insertOnce(b, h);
          for (long b : mine[h]) s.insertOnce(b, h);
        }
        double insert = (System.nanoTime() - t) / (double) entries;
        int overflowed = s.overflowEntries(), strays = s.strayCount();
        double occupancy = s.occupancy();
        int wrong = 0, right = 0;
        t = System.nanoTime();
        for (int i = 0; i < probes; i++) if (s.lookup(r.nextLong(), found)) wrong++;
        double look = (System.nanoTime() - t) / (double) probes;
        t = System.nanoTime();
        for (int i = 0; i < probes; i++) if (s.lookup(prefix[i % prefix.length], found)) right++;
        double lookCommon = (System.nanoTime() - t) / (double) probes;
        if (right != probes) throw new IllegalStateException("a shared block was not found");
        boolean full = s.isFull();
        t = System.nanoTime();
        for (int h = 0; h < x.holders; h++) {
          for (long b : prefix) s.remove(b, h);
          for (long b : mine[h]) s.remove(b, h);
        }
        double remove = (System.nanoTime() - t) / (double) entries;
        if (round == 0) continue;
        lookup.computeIfAbsent(x.name, k -> new ArrayList<>()).add(look);
        update.computeIfAbsent(x.name, k -> new ArrayList<>()).add(insert);
        common.computeIfAbsent(x.name, k -> new ArrayList<>()).add(lookCommon);
        removal.computeIfAbsent(x.name, k -> new ArrayList<>()).add(remove);
        System.out.printf(
            Locale.ROOT,
            "round %d %-20s slots %d occupancy %.2f overflow %d strays %d full %s displacements %d wrong %d "
                + "of %d (bound %.0f); ns: insert %.0f lookup %.0f of a shared block %.0f remove %.0f%n",
            round,
            x.name,
            s.capacity(),
            occupancy,
            overflowed,
            strays,
            full,
            s.displacements(),
            wrong,
            probes,
            probes * 2.0 * x.slots / (1 << x.bits),
            insert,
            look,
            lookCommon,
            remove);
      }
    String base = shapes.get(0).name;
    for (Shape x : shapes) {
      System.out.printf(
          Locale.ROOT,
          "%-20s time, ratio: lookup %s; lookup of a shared block %s; insert %s; " + "removal %s%n",
          x.name,
          ratio(lookup, base, x.name),
          ratio(common, base, x.name),
          ratio(update, base, x.name),
          ratio(removal, base, x.name));
    }
  }

  private static String ratio(Map<String, List<Double>> times, String base, String name) {
    List<Double> a = new ArrayList<>();
    for (int i = 0; i < times.get(name).size(); i++)
      a.add(times.get(name).get(i) / times.get(base).get(i));
    return String.format(
        Locale.ROOT,
        "median %.2f (%.2f to %.2f)",
        Quantiles.at(a, 0.5),
        Quantiles.at(a, 0),
        Quantiles.at(a, 1));
  }
}
