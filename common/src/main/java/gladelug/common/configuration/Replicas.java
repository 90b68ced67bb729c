package gladelug.common.configuration;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's instance list as last applied by the control plane, in the platform's order.
 * Immutable. A replica that is not ready is draining and gets no new requests; a replica that is
 * missing has been removed.
 */
public final class Replicas {
  /**
   * A replica of a service.
   *
   * @param ready false while the replica is draining
   * @param slots maximum number of concurrent requests, 0 if unknown
   * @param weightsByModel the weights of each model that the replica serves, empty if unknown
   */
  public record Replica(
      String service,
      String instance,
      Address address,
      String zone,
      boolean ready,
      int slots,
      Map<String, String> weightsByModel) {
    public Replica {
      weightsByModel = Map.copyOf(weightsByModel);
    }

    public Replica(String service, String instance, Address address, String zone, boolean ready) {
      this(service, instance, address, zone, ready, 0, Map.of());
    }
  }

  public final List<Replica> all;
  private final Map<String, Replica> byInstance = new HashMap<>();

  public static final Replicas NONE = new Replicas(List.of());

  public Replicas(List<Replica> all) {
    this.all = List.copyOf(all);
    for (Replica replica : all) byInstance.put(replica.instance, replica);
  }

  /** Returns the replica with the given instance ID, or null if there is none. */
  public Replica find(String instance) {
    return byInstance.get(instance);
  }

  public static Result<Replicas> parse(String json) {
    return LocatedJson.parse(json)
        .flatMap(
            document -> {
              Findings findings = new Findings();
              LocatedJson.Fields fields = document.fields(findings);
              List<Replica> replicas = new ArrayList<>();
              for (LocatedJson entry : fields.list("replicas", true)) {
                LocatedJson.Fields entryFields = entry.fields(findings);
                String state = entryFields.text("state");
                if (!state.equals("ready") && !state.equals("leaving"))
                  findings.add(entryFields.place("state"), "must be ready or leaving");
                Map<String, String> weightsByModel = new HashMap<>();
                LocatedJson weights = entryFields.object("weights", false);
                if (weights != null)
                  for (String model : weights.members.keySet())
                    weightsByModel.put(model, weights.fields(findings).text(model));
                replicas.add(
                    new Replica(
                        entryFields.text("service"),
                        entryFields.text("instance"),
                        Address.read(entryFields, "address", findings),
                        entryFields.text("domain", ""),
                        state.equals("ready"),
                        (int) entryFields.integer("slots", 0, 0, 1 << 20),
                        weightsByModel));
                entryFields.reportUnknownFields();
              }
              fields.reportUnknownFields();
              return Result.of(findings, () -> new Replicas(replicas));
            });
  }

  public String toJson() {
    StringBuilder builder = new StringBuilder("{\"replicas\":[");
    for (Replica replica : all) {
      if (builder.charAt(builder.length() - 1) == '}') builder.append(',');
      JsonObject entry =
          Json.object()
              .add("service", replica.service)
              .add("instance", replica.instance)
              .add("address", replica.address.toString())
              .add("domain", replica.zone)
              .add("state", replica.ready ? "ready" : "leaving");
      if (replica.slots > 0) entry.add("slots", replica.slots);
      if (!replica.weightsByModel.isEmpty()) {
        JsonObject weights = Json.object();
        new TreeMap<>(replica.weightsByModel).forEach(weights::add);
        entry.add("weights", weights);
      }
      builder.append(entry);
    }
    return builder.append("]}").toString();
  }
}
