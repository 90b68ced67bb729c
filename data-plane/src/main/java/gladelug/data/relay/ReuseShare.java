package gladelug.data.relay;

/**
 * The share of requested units found cached somewhere: the probability that evicted units would
 * have been requested again. Confined to the request thread.
 */
final class ReuseShare {
  /** Weight of a new sample in the moving average. */
  private static final double REQUEST_WEIGHT = 1.0 / 64;

  private double averageAsked;
  private double averageFound;

  /** Records a request of askedUnits, of which some holder has foundUnits cached. */
  void recordRequest(int askedUnits, int foundUnits) {
    averageAsked += (askedUnits - averageAsked) * REQUEST_WEIGHT;
    averageFound += (foundUnits - averageFound) * REQUEST_WEIGHT;
  }

  /** Returns the share, from 0 to 1. */
  double share() {
    return averageAsked <= 0 ? 0 : Math.min(1, averageFound / averageAsked);
  }
}
