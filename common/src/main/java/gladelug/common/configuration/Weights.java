package gladelug.common.configuration;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Which weights each model service is meant to run, as operators named them, and which came before.
 * Immutable; naming makes a new one. Until weights are named for a service it has none and requests
 * for it are refused.
 */
public final class Weights {
  public record Assignment(String current, String previous, long sequence) {}

  public static final Weights NONE = new Weights(TreePMap.empty());
  private final PSortedMap<String, Assignment> byService;

  private Weights(PSortedMap<String, Assignment> m) {
    byService = m;
  }

  public Assignment of(String service) {
    return byService.get(service);
  }

  public Weights withAssignment(String service, String weights, long nr) {
    Assignment old = byService.get(service);
    return new Weights(
        byService.plus(service, new Assignment(weights, old == null ? "" : old.current, nr)));
  }

  public static Result<Weights> parse(String json) {
    return LocatedJson.parse(json)
        .flatMap(
            d -> {
              Findings findings = new Findings();
              PSortedMap<String, Assignment> m = TreePMap.empty();
              LocatedJson.Fields f = d.fields(findings);
              for (String text : d.members.keySet()) {
                LocatedJson o = f.object(text, true);
                if (o == null) continue;
                LocatedJson.Fields g = o.fields(findings);
                m =
                    m.plus(
                        text,
                        new Assignment(
                            g.text("now"),
                            g.text("before", ""),
                            g.integer("nr", 0, Long.MAX_VALUE)));
              }
              Weights w = new Weights(m);
              return Result.of(findings, () -> w);
            });
  }

  public String toJson() {
    JsonObject json = Json.object();
    byService.forEach(
        (text, n) ->
            json.add(
                text,
                Json.object()
                    .add("now", n.current)
                    .add("before", n.previous)
                    .add("nr", n.sequence)));
    return json.toString();
  }
}
