package gladelug.emulator.soak;

import java.util.List;

/**
 * A violation of a rule.
 *
 * @param requests ids of the first few requests concerned
 */
record Violation(SoakRule rule, long atMs, List<String> requests, String description) {
  private static final int MAX_REQUESTS_SHOWN = 8;

  Violation {
    requests = List.copyOf(requests.subList(0, Math.min(MAX_REQUESTS_SHOWN, requests.size())));
  }

  @Override
  public String toString() {
    return String.format("%s at %.1f s: %s", rule, atMs / 1000.0, description)
        + (requests.isEmpty() ? "" : " (" + String.join(", ", requests) + ")");
  }
}
