package gladelug.emulator.scale;

import java.util.List;

/**
 * A straight line through measured points by least squares, with the slope's standard error and how
 * much of the spread it explains.
 *
 * @param slope by which the value rises for one more
 * @param error the slope's standard error; 0 with two points, which any line meets
 * @param intercept the value at none
 * @param r2 the part of the spread that the line explains; 1 where there is no spread
 */
public record Slope(double slope, double error, double intercept, double r2) {
  /** Of points x and y, at least two with different x. */
  public static Slope fit(List<double[]> points) {
    int n = points.size();
    double mx = points.stream().mapToDouble(p -> p[0]).average().orElse(0);
    double my = points.stream().mapToDouble(p -> p[1]).average().orElse(0);
    double xx = 0, xy = 0, yy = 0;
    for (double[] p : points) {
      xx += (p[0] - mx) * (p[0] - mx);
      xy += (p[0] - mx) * (p[1] - my);
      yy += (p[1] - my) * (p[1] - my);
    }
    if (xx == 0) throw new IllegalArgumentException("a line needs two points apart");
    double slope = xy / xx, left = Math.max(0, yy - slope * xy);
    double error = n > 2 ? Math.sqrt(left / (n - 2) / xx) : 0;
    return new Slope(slope, error, my - slope * mx, yy == 0 ? 1 : 1 - left / yy);
  }

  /** The value at x. */
  public double valueAt(double x) {
    return intercept + slope * x;
  }
}
