package gladelug.emulator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the latency that a relay adds, by alternating direct and relayed calls to the
 * application replica.
 */
final class AddedLatency {
  private final Fleet fleet;
  private final List<Double> directMs = new ArrayList<>();
  private final List<Double> relayedMs = new ArrayList<>();
  private int pairs;

  AddedLatency(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Makes and times one direct and one relayed call. */
  void measurePair() {
    String tag = "added-" + pairs++;
    String relay = fleet.callerAddresses.get(1 + pairs % (fleet.callerAddresses.size() - 1));
    measure(directMs, () -> direct(tag));
    measure(relayedMs, () -> relayed(relay, tag));
  }

  private interface Call {
    int status();
  }

  private static void measure(List<Double> times, Call call) {
    long startNs = System.nanoTime();
    if (call.status() == 200) times.add((System.nanoTime() - startNs) / 1e6);
  }

  private int direct(String tag) {
    StandInReplica application = fleet.replicas.get("application-1");
    JsonObject request =
        Json.object()
            .add("order", tag)
            .add("try", 1)
            .add("service", application.service)
            .add("instance", application.instance)
            .add("weights", "")
            .add("wall", "")
            .add("prompt", "x#" + tag + "-direct")
            .add("maxPieces", 1);
    return fleet
        .http(application.address(), "POST", "/orders", request.toString(), Map.of())
        .status();
  }

  private int relayed(String relay, String tag) {
    JsonObject request = Json.object().add("prompt", "x#" + tag).add("maxPieces", 1);
    String key = fleet.deployment.tenants().get(0).key();
    return fleet
        .http(
            relay,
            "POST",
            "/lookup-stop",
            request.toString(),
            Map.of("Authorization", "Bearer " + key))
        .status();
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "direct median %.2f p99 %.2f, relayed median %.2f p99 %.2f, added median %.2f ms over %d pairs",
        Quantiles.at(directMs, 0.5),
        Quantiles.at(directMs, 0.99),
        Quantiles.at(relayedMs, 0.5),
        Quantiles.at(relayedMs, 0.99),
        Quantiles.at(relayedMs, 0.5) - Quantiles.at(directMs, 0.5),
        directMs.size());
  }
}
