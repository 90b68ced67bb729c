package gladelug.common.configuration;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The weights that operators assigned to each model service, and the previously assigned ones.
 * Immutable. A service without assigned weights has none, and requests for it are refused.
 */
public final class Weights {
  /**
   * The weights assigned to one service.
   *
   * @param current the assigned weights
   * @param previous the weights assigned before, empty if there were none
   * @param sequence number of the order that made the assignment
   */
  public record Assignment(String current, String previous, long sequence) {}

  public static final Weights NONE = new Weights(TreePMap.empty());
  private final PSortedMap<String, Assignment> byService;

  private Weights(PSortedMap<String, Assignment> byService) {
    this.byService = byService;
  }

  /** Returns the service's assignment, or null if no weights were assigned. */
  public Assignment of(String service) {
    return byService.get(service);
  }

  /** Returns a copy in which the service has the given weights. */
  public Weights withAssignment(String service, String weights, long sequence) {
    Assignment previous = byService.get(service);
    return new Weights(
        byService.plus(
            service, new Assignment(weights, previous == null ? "" : previous.current, sequence)));
  }

  public static Result<Weights> parse(String json) {
    return LocatedJson.parse(json)
        .flatMap(
            document -> {
              Findings findings = new Findings();
              PSortedMap<String, Assignment> assignments = TreePMap.empty();
              LocatedJson.Fields fields = document.fields(findings);
              for (String service : document.members.keySet()) {
                LocatedJson entry = fields.object(service, true);
                if (entry == null) continue;
                LocatedJson.Fields entryFields = entry.fields(findings);
                assignments =
                    assignments.plus(
                        service,
                        new Assignment(
                            entryFields.text("now"),
                            entryFields.text("before", ""),
                            entryFields.integer("nr", 0, Long.MAX_VALUE)));
              }
              Weights weights = new Weights(assignments);
              return Result.of(findings, () -> weights);
            });
  }

  public String toJson() {
    JsonObject json = Json.object();
    byService.forEach(
        (service, assignment) ->
            json.add(
                service,
                Json.object()
                    .add("now", assignment.current)
                    .add("before", assignment.previous)
                    .add("nr", assignment.sequence)));
    return json.toString();
  }
}
