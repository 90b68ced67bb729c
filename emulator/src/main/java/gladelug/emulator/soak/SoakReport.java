package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
import gladelug.emulator.soak.SoakLedger.Call;
import gladelug.emulator.soak.SoakLedger.End;
import gladelug.emulator.soak.SoakLedger.MemoryReading;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Writes the result of a soak test as text, JSON and a chart into the folder of its logs and its
 * plan.
 */
final class SoakReport {
  private static final int CHART_WIDTH_PX = 1100, CHART_HEIGHT_PX = 480;

  /** Events that overlap this period around a violation are reported with it. */
  private static final int CONTEXT_BEFORE_MS = 6000, CONTEXT_AFTER_MS = 500;

  private SoakReport() {}

  /** Returns one line on the progress of a run. */
  static String progress(SoakLedger ledger) {
    return String.format(
        "%4d s: %d requests, %d served, %d refused, %d cut, %d configurations, largest process %d MB",
        ledger.nowMs() / 1000,
        ledger.calls.size(),
        count(ledger, Call::isServed),
        count(ledger, Call::isRefusedUnexecuted),
        count(ledger, call -> call.end == End.CUT),
        ledger.changes().size(),
        largestProcessKb(ledger) / 1024);
  }

  private static long count(SoakLedger ledger, Predicate<Call> condition) {
    return ledger.calls.values().stream().filter(condition).count();
  }

  private static long largestProcessKb(SoakLedger ledger) {
    return ledger.memory().stream().mapToLong(MemoryReading::rssKb).max().orElse(0);
  }

  /** Writes report.txt, report.json and chart.svg; returns the text. */
  static String write(Soak.Result result) throws IOException {
    String text = toText(result);
    Files.writeString(result.folder().resolve("report.txt"), text);
    Files.writeString(
        result.folder().resolve("report.json"), toJson(result).toString(WriterConfig.PRETTY_PRINT));
    writeChart(result, result.folder().resolve("chart.svg"));
    return text;
  }

  private static String toText(Soak.Result result) {
    SoakPlan plan = result.plan();
    StringBuilder text =
        new StringBuilder(
            String.format(
                "seed %d, %d machines, %d replicas, %d events in %d s%n%s%n",
                plan.seed(),
                plan.machines(),
                plan.replicas(),
                plan.events().size(),
                plan.seconds(),
                progress(result.ledger()).trim()));
    for (Violation violation : result.violations()) {
      text.append("BROKEN ").append(violation.rule().description).append('\n');
      text.append("  ").append(violation).append('\n');
      for (SoakEvent event : eventsAround(plan, violation.atMs()))
        text.append("  under way: ").append(event).append('\n');
    }
    text.append(result.clean() ? "no rule broken\n" : result.violations().size() + " broken\n");
    return text.toString();
  }

  private static List<SoakEvent> eventsAround(SoakPlan plan, long atMs) {
    return plan.events().stream()
        .filter(
            event ->
                event.atMs() <= atMs + CONTEXT_AFTER_MS
                    && event.endMs() + CONTEXT_BEFORE_MS >= atMs)
        .toList();
  }

  private static JsonObject toJson(Soak.Result result) {
    SoakLedger ledger = result.ledger();
    JsonArray broken = new JsonArray();
    for (Violation violation : result.violations()) {
      JsonArray ids = new JsonArray(), events = new JsonArray();
      violation.requests().forEach(ids::add);
      eventsAround(result.plan(), violation.atMs()).forEach(event -> events.add(event.toString()));
      broken.add(
          Json.object()
              .add("rule", violation.rule().name())
              .add("atMs", violation.atMs())
              .add("what", violation.description())
              .add("requests", ids)
              .add("underWay", events));
    }
    JsonObject kinds = Json.object();
    for (RequestKind kind : RequestKind.values())
      kinds.add(
          kind.name(),
          Json.object()
              .add("requests", count(ledger, call -> call.kind == kind))
              .add("served", count(ledger, call -> call.kind == kind && call.isServed())));
    return Json.object()
        .add("seed", result.plan().seed())
        .add("machines", result.plan().machines())
        .add("events", result.plan().events().size())
        .add("requests", ledger.calls.size())
        .add("kinds", kinds)
        .add("largestProcessKb", largestProcessKb(ledger))
        .add("broken", broken);
  }

  private static void writeChart(Soak.Result result, Path file) throws IOException {
    SoakLedger ledger = result.ledger();
    String title = "soak, seed " + result.plan().seed();
    XYChart chart =
        new XYChartBuilder().width(CHART_WIDTH_PX).height(CHART_HEIGHT_PX).title(title).build();
    chart.setXAxisTitle("s");
    chart.setYAxisTitle("per second; memory in 10 MB; events by kind");
    Collection<Call> calls = ledger.calls.values();
    addLine(chart, "served", countPerSecond(calls, Call::isServed));
    addLine(chart, "refused", countPerSecond(calls, Call::isRefusedUnexecuted));
    addLine(chart, "cut", countPerSecond(calls, call -> call.end == End.CUT));
    addLine(chart, "silent", countPerSecond(calls, call -> call.end == End.SILENT));
    Map<Long, Double> memory = new TreeMap<>();
    for (MemoryReading reading : ledger.memory())
      memory.merge(reading.atMs() / 1000, reading.rssKb() / 10_240.0, Math::max);
    addLine(chart, "largest process, 10 MB", memory);
    List<SoakEvent> events = result.plan().events();
    if (!events.isEmpty())
      chart
          .addSeries(
              "events",
              values(events, event -> event.atMs() / 1000.0),
              values(events, event -> event.kind().ordinal()))
          .setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
  }

  private static double[] values(List<SoakEvent> events, ToDoubleFunction<SoakEvent> value) {
    return events.stream().mapToDouble(value).toArray();
  }

  private static Map<Long, Double> countPerSecond(
      Collection<Call> calls, Predicate<Call> condition) {
    Map<Long, Double> countBySecond = new TreeMap<>();
    for (Call call : calls)
      if (condition.test(call)) countBySecond.merge(call.endedAtMs / 1000, 1.0, Double::sum);
    return countBySecond;
  }

  private static void addLine(XYChart chart, String name, Map<Long, Double> points) {
    if (points.isEmpty()) return;
    double[] x = points.keySet().stream().mapToDouble(Long::doubleValue).toArray();
    double[] y = points.values().stream().mapToDouble(Double::doubleValue).toArray();
    chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
  }
}
