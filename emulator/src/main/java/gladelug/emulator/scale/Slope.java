package gladelug.emulator.scale;

import java.util.List;

/**
 * A least-squares line through measured points, with the standard error of its slope.
 *
 * @param slope the increase of the value per unit of x
 * @param error the standard error of the slope; 0 with two points, which a line always fits exactly
 * @param intercept the value at x = 0
 * @param r2 the coefficient of determination; 1 if all values are equal
 */
public record Slope(double slope, double error, double intercept, double r2) {
  /** Fits a line to (x, y) points, of which at least two must differ in x. */
  public static Slope fit(List<double[]> points) {
    int n = points.size();
    double meanX = points.stream().mapToDouble(p -> p[0]).average().orElse(0);
    double meanY = points.stream().mapToDouble(p -> p[1]).average().orElse(0);
    double xx = 0, xy = 0, yy = 0;
    for (double[] point : points) {
      xx += (point[0] - meanX) * (point[0] - meanX);
      xy += (point[0] - meanX) * (point[1] - meanY);
      yy += (point[1] - meanY) * (point[1] - meanY);
    }
    if (xx == 0) throw new IllegalArgumentException("a line needs two points with different x");
    double slope = xy / xx, residual = Math.max(0, yy - slope * xy);
    double error = n > 2 ? Math.sqrt(residual / (n - 2) / xx) : 0;
    return new Slope(slope, error, meanY - slope * meanX, yy == 0 ? 1 : 1 - residual / yy);
  }

  /** Returns the value of the line at x. */
  public double valueAt(double x) {
    return intercept + slope * x;
  }
}
