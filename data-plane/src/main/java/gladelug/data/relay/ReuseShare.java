package gladelug.data.relay;

/**
 * How much of what requests ask for is found kept somewhere: the chance that what is driven out of
 * memory would have been asked for again. Confined to the request thread.
 */
final class ReuseShare {
  /** The weight of one request against those before it. */
  private static final double REQUEST_WEIGHT = 1.0 / 64;

  private double averageAsked;
  private double averageFound;

  /** A request asked for so many units, of which some holder keeps so many. */
  void recordRequest(int askedUnits, int foundUnits) {
    averageAsked += (askedUnits - averageAsked) * REQUEST_WEIGHT;
    averageFound += (foundUnits - averageFound) * REQUEST_WEIGHT;
  }

  /** From 0 to 1. */
  double share() {
    return averageAsked <= 0 ? 0 : Math.min(1, averageFound / averageAsked);
  }
}
