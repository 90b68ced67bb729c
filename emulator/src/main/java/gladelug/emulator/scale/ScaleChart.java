package gladelug.emulator.scale;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes an SVG chart of measured points with their least-squares lines, one colour per series. */
final class ScaleChart {
  private static final int WIDTH = 760, HEIGHT = 440;

  private ScaleChart() {}

  /** Writes the chart; each series is a list of (x, y) points. */
  static void write(Path file, String title, Map<String, List<double[]>> series)
      throws IOException {
    XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
    chart.getStyler().setXAxisMin(0.0).setYAxisMin(0.0);
    Color[] colours = chart.getStyler().getSeriesColors();
    int index = 0;
    for (Map.Entry<String, List<double[]>> e : series.entrySet()) {
      if (e.getValue().isEmpty()) continue;
      Color colour = colours[index++ % colours.length];
      double[] x = e.getValue().stream().mapToDouble(p -> p[0]).toArray();
      double[] y = e.getValue().stream().mapToDouble(p -> p[1]).toArray();
      XYSeries points = chart.addSeries(e.getKey(), x, y);
      points
          .setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter)
          .setMarker(SeriesMarkers.CIRCLE)
          .setMarkerColor(colour);
      Slope line = Slope.fit(e.getValue());
      double maxX = e.getValue().stream().mapToDouble(p -> p[0]).max().orElse(0);
      double from = Math.max(0, line.slope() > 0 ? -line.intercept() / line.slope() : 0);
      chart
          .addSeries(
              e.getKey() + ", line",
              new double[] {from, maxX},
              new double[] {line.valueAt(from), Math.max(0, line.valueAt(maxX))})
          .setMarker(SeriesMarkers.NONE)
          .setLineColor(colour)
          .setShowInLegend(false);
    }
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
  }
}
