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

/**
 * A chart of measured points with their least-squares lines, one colour a series, as SVG; drawn by
 * XChart.
 */
final class ScaleChart {
  private static final int WIDTH = 760, HEIGHT = 440;

  private ScaleChart() {}

  /** Series by name, each of points x and y. */
  static void write(Path file, String title, Map<String, List<double[]>> series)
      throws IOException {
    XYChart c = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
    c.getStyler().setXAxisMin(0.0).setYAxisMin(0.0);
    Color[] colours = c.getStyler().getSeriesColors();
    int n = 0;
    for (Map.Entry<String, List<double[]>> e : series.entrySet()) {
      if (e.getValue().isEmpty()) continue;
      Color colour = colours[n++ % colours.length];
      double[] x = e.getValue().stream().mapToDouble(p -> p[0]).toArray();
      double[] y = e.getValue().stream().mapToDouble(p -> p[1]).toArray();
      XYSeries points = c.addSeries(e.getKey(), x, y);
      points
          .setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter)
          .setMarker(SeriesMarkers.CIRCLE)
          .setMarkerColor(colour);
      Slope s = Slope.fit(e.getValue());
      double most = e.getValue().stream().mapToDouble(p -> p[0]).max().orElse(0);
      double from = Math.max(0, s.slope() > 0 ? -s.intercept() / s.slope() : 0);
      c.addSeries(
              e.getKey() + ", line",
              new double[] {from, most},
              new double[] {s.valueAt(from), Math.max(0, s.valueAt(most))})
          .setMarker(SeriesMarkers.NONE)
          .setLineColor(colour)
          .setShowInLegend(false);
    }
    VectorGraphicsEncoder.saveVectorGraphic(c, file.toString(), VectorGraphicsFormat.SVG);
  }
}
