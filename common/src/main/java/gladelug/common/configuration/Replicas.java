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
 * The platform's instance list as the control plane last applied it: immutable, in the platform's
 * order. An entry that is draining gets no new requests; one that is absent is gone.
 */
public final class Replicas {
  /**
   * slots: requests at once, 0 where not told; weights: of each model it serves, empty where not
   * told.
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
    for (Replica r : all) byInstance.put(r.instance, r);
  }

  public Replica find(String instance) {
    return byInstance.get(instance);
  }

  public static Result<Replicas> parse(String json) {
    return LocatedJson.parse(json)
        .flatMap(
            d -> {
              Findings findings = new Findings();
              LocatedJson.Fields f = d.fields(findings);
              List<Replica> out = new ArrayList<>();
              for (LocatedJson x : f.list("replicas", true)) {
                LocatedJson.Fields g = x.fields(findings);
                String st = g.text("state");
                if (!st.equals("ready") && !st.equals("leaving"))
                  findings.add(g.place("state"), "must be ready or leaving");
                Map<String, String> ws = new HashMap<>();
                LocatedJson w = g.object("weights", false);
                if (w != null)
                  for (String m : w.members.keySet()) ws.put(m, w.fields(findings).text(m));
                out.add(
                    new Replica(
                        g.text("service"),
                        g.text("instance"),
                        Address.read(g, "address", findings),
                        g.text("domain", ""),
                        st.equals("ready"),
                        (int) g.integer("slots", 0, 0, 1 << 20),
                        ws));
                g.reportUnknownFields();
              }
              f.reportUnknownFields();
              return Result.of(findings, () -> new Replicas(out));
            });
  }

  public String toJson() {
    StringBuilder builder = new StringBuilder("{\"replicas\":[");
    for (Replica r : all) {
      if (builder.charAt(builder.length() - 1) == '}') builder.append(',');
      JsonObject o =
          Json.object()
              .add("service", r.service)
              .add("instance", r.instance)
              .add("address", r.address.toString())
              .add("domain", r.zone)
              .add("state", r.ready ? "ready" : "leaving");
      if (r.slots > 0) o.add("slots", r.slots);
      if (!r.weightsByModel.isEmpty()) {
        JsonObject w = Json.object();
        new TreeMap<>(r.weightsByModel).forEach(w::add);
        o.add("weights", w);
      }
      builder.append(o);
    }
    return builder.append("]}").toString();
  }
}
