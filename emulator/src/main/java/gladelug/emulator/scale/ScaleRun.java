package gladelug.emulator.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Varies one size at a time over its points, with a new fleet for each size; the base point is
 * measured only once. Prints the resource use of each role and the least-squares slopes, and writes
 * both as CSV and charts.
 */
public final class ScaleRun {
  private final ScalePlan plan;
  private final Path out;
  private final Consumer<String> output;
  private ScaleFleet.Figures base;

  /** Creates a run that writes its files to {@code out} and its table lines to {@code output}. */
  public ScaleRun(ScalePlan plan, Path out, Consumer<String> output) {
    this.plan = plan;
    this.out = out;
    this.output = output;
  }

  /** Runs and reports all points; returns the figures of each size's points in order. */
  public Map<ScaleSize, List<ScaleFleet.Figures>> run() throws Exception {
    Files.createDirectories(out);
    Map<ScaleSize, List<ScaleFleet.Figures>> all = new LinkedHashMap<>();
    List<String> table = new ArrayList<>(List.of("size,value,role,metric,figure")),
        slopes = new ArrayList<>(List.of("size,role,metric,slope,error,intercept,r2,from,to"));
    for (Map.Entry<ScaleSize, List<Long>> e : plan.points().entrySet()) {
      List<ScaleFleet.Figures> l = new ArrayList<>();
      runPoints(
          e.getKey(),
          e.getValue(),
          figures -> {
            long v = figures.point().get(e.getKey());
            l.add(figures);
            flatten(figures)
                .forEach((k, x) -> table.add(formatRow(e.getKey().text() + "," + v + "," + k, x)));
            output.accept(formatLine(e.getKey(), v, figures));
            Files.write(out.resolve("points.csv"), table);
          });
      all.put(e.getKey(), l);
      writeSlopes(e.getKey(), l, slopes);
      Files.write(out.resolve("slopes.csv"), slopes);
    }
    output.accept("written to " + out);
    return all;
  }

  private interface PointListener {
    void onPoint(ScaleFleet.Figures figures) throws IOException;
  }

  /**
   * Measures the points of a size. A size that can grow keeps its fleet; others get a new fleet for
   * each point.
   */
  private void runPoints(ScaleSize size, List<Long> values, PointListener each) throws Exception {
    ScaleFleet fleet = null;
    try {
      for (long v : values) {
        if (v == size.base() && base != null) {
          each.onPoint(base);
          continue;
        }
        if (fleet != null && size.canGrow()) fleet.grow(size, v);
        else {
          if (fleet != null) fleet.close();
          fleet =
              new ScaleFleet(
                  ScalePoint.base().with(size, v), out.resolve(size.text() + "-" + v), plan.seed());
          fleet.start();
        }
        ScaleFleet.Figures figures = fleet.measure(plan.seconds(), plan.settleMs());
        if (v == size.base()) base = figures;
        each.onPoint(figures);
      }
    } finally {
      if (fleet != null) fleet.close();
    }
  }

  /** Returns all figures of a point by role and metric. */
  private Map<String, Double> flatten(ScaleFleet.Figures figures) {
    Map<String, Double> m = new LinkedHashMap<>();
    figures
        .roles()
        .forEach(
            (r, x) -> {
              if (plan.roles().contains(r)) x.forEach((k, v) -> m.put(r + "," + k, v));
            });
    for (Traffic.Kind k : Traffic.Kind.values()) {
      m.put("node," + k + "/s", figures.rate(k));
      m.put("node," + k + " B/s", figures.bytes(k));
    }
    m.put(
        "node,control B/s",
        figures.bytes(
            Traffic.Kind.ASK,
            Traffic.Kind.GRANTS,
            Traffic.Kind.POLICY,
            Traffic.Kind.PUSH,
            Traffic.Kind.ALLOT,
            Traffic.Kind.SHUFFLE));
    m.put(
        "node,pushes a change",
        figures.changes() == 0
            ? 0
            : (double) figures.pushes() / figures.changes() / figures.point().get(ScaleSize.NODES));
    addLatencies(m, "acknowledgement", figures.acks());
    addLatencies(m, "lookup", figures.lookups());
    return m;
  }

  private static void addLatencies(Map<String, Double> m, String what, Histogram h) {
    m.put(what + ",count", (double) h.getTotalCount());
    for (double q : new double[] {50, 95, 99})
      m.put(what + ",p" + (int) q + " ms", h.getValueAtPercentile(q) / 1000.0);
    m.put(what + ",longest ms", h.getMaxValue() / 1000.0);
  }

  private String formatLine(ScaleSize size, long v, ScaleFleet.Figures figures) {
    StringBuilder builder =
        new StringBuilder(String.format(Locale.ROOT, "%-9s %7d |", size.text(), v));
    figures
        .roles()
        .forEach(
            (r, x) -> {
              if (plan.roles().contains(r) && !x.isEmpty())
                builder.append(
                    String.format(
                        Locale.ROOT,
                        " %s %.3f cores %.0f MB %.0f/%.0f KB/s |",
                        r,
                        x.get("cpu"),
                        x.get("peak MB"),
                        x.get("in KB/s"),
                        x.get("out KB/s")));
            });
    return builder
        .append(
            String.format(
                Locale.ROOT,
                " node %.1f records/s %.0f B/s, %d pushes of %d changes | ack p50 %.1f p95 %.1f ms"
                    + " | lookup p50 %.2f p95 "
                    + "%.2f ms",
                recordsPerNodeAndSecond(figures),
                flatten(figures).get("node,control B/s"),
                figures.pushes(),
                figures.changes(),
                figures.acks().getValueAtPercentile(50) / 1000.0,
                figures.acks().getValueAtPercentile(95) / 1000.0,
                figures.lookups().getValueAtPercentile(50) / 1000.0,
                figures.lookups().getValueAtPercentile(95) / 1000.0))
        .toString();
  }

  /**
   * Returns the control records per second that a node sends and receives, without index lookups.
   */
  public static double recordsPerNodeAndSecond(ScaleFleet.Figures figures) {
    double n = 0;
    for (Traffic.Kind k : Traffic.Kind.values())
      if (k != Traffic.Kind.QUESTION && k != Traffic.Kind.ANSWER) n += figures.rate(k);
    return n;
  }

  private void writeSlopes(ScaleSize size, List<ScaleFleet.Figures> l, List<String> csv)
      throws IOException {
    Map<String, List<double[]>> by = new LinkedHashMap<>();
    for (ScaleFleet.Figures figures : l)
      flatten(figures)
          .forEach(
              (k, v) ->
                  by.computeIfAbsent(k, x -> new ArrayList<>())
                      .add(new double[] {figures.point().get(size), v}));
    Map<String, List<double[]>> cpu = new LinkedHashMap<>(), peak = new LinkedHashMap<>();
    by.forEach(
        (k, ps) -> {
          if (ps.size() < 2) return;
          Slope x = Slope.fit(ps);
          csv.add(
              String.format(
                  Locale.ROOT,
                  "%s,%s,%.6g,%.3g,%.6g,%.4f,%d,%d",
                  size.text(),
                  k,
                  x.slope(),
                  x.error(),
                  x.intercept(),
                  x.r2(),
                  (long) ps.get(0)[0],
                  (long) ps.get(ps.size() - 1)[0]));
          if (k.endsWith(",cpu")) cpu.put(k, ps);
          if (k.endsWith(",peak MB")) peak.put(k, ps);
          if (k.endsWith(",cpu") || k.endsWith(",peak MB"))
            output.accept(
                String.format(
                    Locale.ROOT,
                    "  %-24s slope %.4g (± %.2g), intercept %.4g, r² %.3f",
                    k.replace(',', ' '),
                    x.slope(),
                    x.error(),
                    x.intercept(),
                    x.r2()));
        });
    ScaleChart.write(out.resolve(size.text() + "-cpu.svg"), "cores by " + size.text(), cpu);
    ScaleChart.write(out.resolve(size.text() + "-memory.svg"), "peak MB by " + size.text(), peak);
  }

  private static String formatRow(String head, double v) {
    return String.format(Locale.ROOT, "%s,%.6g", head, v);
  }
}
