package gladelug.emulator;

import java.util.List;

/** Computes quantiles of small lists by rank. */
final class Quantiles {
  private Quantiles() {}

  /** Returns the figure at a quantile from 0 to 1, or NaN for an empty list. */
  static double at(List<? extends Number> figures, double quantile) {
    if (figures.isEmpty()) return Double.NaN;
    double[] sorted = figures.stream().mapToDouble(Number::doubleValue).sorted().toArray();
    int rank = (int) Math.floor(quantile * sorted.length);
    return sorted[Math.min(sorted.length - 1, rank)];
  }
}
