package gladelug.emulator.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/**
 * Compares the share of served requests of each variant with that of all mechanisms enabled, trial
 * by trial. Reports mean, minimum and maximum of the differences, so that a difference within the
 * spread can be recognized.
 */
final class AblationTable {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 480;

  /**
   * The share of served requests by variant, in the order of the trials; NaN for a trial without a
   * result.
   */
  private final Map<String, List<Double>> servedByVariant = new LinkedHashMap<>();

  void add(String variant, double value) {
    servedByVariant.computeIfAbsent(variant, name -> new ArrayList<>()).add(value);
  }

  /**
   * One row of the table. Differences are the share with all mechanisms minus the share of this
   * variant, that is, the contribution of the disabled mechanism.
   */
  record Row(
      String variant, int trials, double mean, double contribution, double min, double max) {}

  List<Row> rows() {
    List<Row> rows = new ArrayList<>();
    List<Double> base = servedByVariant.getOrDefault(AblationPlan.ALL_ON, List.of());
    for (Map.Entry<String, List<Double>> entry : servedByVariant.entrySet())
      rows.add(row(entry.getKey(), base, entry.getValue()));
    return rows;
  }

  private static Row row(String variant, List<Double> base, List<Double> values) {
    int trials = 0;
    double sum = 0;
    double differences = 0;
    double min = Double.MAX_VALUE;
    double max = -Double.MAX_VALUE;
    for (int i = 0; i < Math.min(base.size(), values.size()); i++) {
      double difference = base.get(i) - values.get(i);
      if (Double.isNaN(difference)) continue;
      trials++;
      sum += values.get(i);
      differences += difference;
      min = Math.min(min, difference);
      max = Math.max(max, difference);
    }
    if (trials == 0) return new Row(variant, 0, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    return new Row(variant, trials, sum / trials, differences / trials, min, max);
  }

  String markdown() {
    StringBuilder text =
        new StringBuilder("| disabled | trials | served | contribution | min | max |\n");
    text.append("|---|---|---|---|---|---|\n");
    for (Row row : rows())
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %d | %.3f | %.3f | %.3f | %.3f |%n",
              row.variant,
              row.trials,
              row.mean,
              row.contribution,
              row.min,
              row.max));
    return text.toString();
  }

  /** Writes the table as Markdown and the contribution of each mechanism as a chart. */
  void write(Path folder, String title) throws IOException {
    Files.writeString(folder.resolve("ablation.md"), markdown());
    List<String> names = new ArrayList<>();
    List<Double> values = new ArrayList<>();
    for (Row row : rows())
      if (!row.variant.equals(AblationPlan.ALL_ON) && row.trials > 0) {
        names.add(row.variant);
        values.add(row.contribution);
      }
    if (names.isEmpty()) return;
    CategoryChart chart =
        new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
    chart.getStyler().setXAxisLabelRotation(45).setLegendVisible(false);
    chart.addSeries("contribution to the served share", names, values);
    VectorGraphicsEncoder.saveVectorGraphic(
        chart, folder.resolve("ablation.svg").toString(), VectorGraphicsFormat.SVG);
  }
}
