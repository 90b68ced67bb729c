package gladelug.control;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.common.configuration.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Summarizes a change of the control state in one line for the change history that operators read:
 * which names were added, removed or changed. Summaries never contain a caller's API key. Stateless
 * and thread-safe.
 */
public final class ChangeSummary {
  /** The longest list of names in a summary; further names are only counted. */
  private static final int MAX_NAMES = 6;

  private ChangeSummary() {}

  /** The summary of a change in which no named entry differs. */
  private static final String NO_NAMED_DIFFERENCE = "nothing that has a name";

  /**
   * Summarizes a change of the named weights.
   *
   * @param before the previous value as JSON; empty if there was none
   * @param after the new value as JSON
   * @return one line; empty if either value is not valid JSON of this form
   */
  public static String summarizeWeights(byte[] before, byte[] after) {
    try {
      List<String> differences = new ArrayList<>();
      addWeightDifferences(parseObject(before), parseObject(after), differences);
      return join(differences);
    } catch (RuntimeException unreadable) {
      // no unreadable value may make the change itself fail for want of a summary
      return "";
    }
  }

  /**
   * Summarizes a change of the configuration.
   *
   * @param before the previous configuration; EMPTY if there was none
   * @return one line
   */
  public static String summarizeConfiguration(Configuration before, Configuration after) {
    List<String> differences = new ArrayList<>();
    addDifferences("services", servicesByName(before), servicesByName(after), differences);
    addDifferences("mappings", routesByName(before), routesByName(after), differences);
    addDifferences("tenants", tenantsByName(before), tenantsByName(after), differences);
    return join(differences);
  }

  private static String join(List<String> differences) {
    return differences.isEmpty() ? NO_NAMED_DIFFERENCE : String.join("; ", differences);
  }

  /** Returns, by service name, every property of the service except its position in the list. */
  private static Map<String, Object> servicesByName(Configuration configuration) {
    Map<String, Object> services = new LinkedHashMap<>();
    for (Configuration.Service service : configuration.services)
      services.put(
          service.name(),
          List.of(
              service.kind(),
              service.allowedEndpoints(),
              service.maxConnections(),
              service.engine(),
              String.valueOf(service.storeAddress()),
              service.zone()));
    return services;
  }

  /**
   * Returns, by route name, every property of the route, with services referred to by name instead
   * of by their position in the list.
   */
  private static Map<String, Object> routesByName(Configuration configuration) {
    Map<String, Object> routes = new LinkedHashMap<>();
    for (Configuration.Route route : configuration.routes)
      routes.put(
          route.name(),
          new NamedRoute(route.withoutIndices(), describeTargets(configuration, route)));
    return routes;
  }

  /** A route without list positions, and the names and weights of the services it is split over. */
  private record NamedRoute(Configuration.Route route, String targets) {}

  private static String describeTargets(Configuration configuration, Configuration.Route route) {
    StringBuilder targets = new StringBuilder();
    for (Configuration.WeightedService target : route.trafficSplit())
      targets
          .append(configuration.services.get(target.serviceIndex()).name())
          .append(' ')
          .append(target.weight())
          .append(' ');
    return targets.toString();
  }

  private static Map<String, Object> tenantsByName(Configuration configuration) {
    Map<String, Object> tenants = new LinkedHashMap<>();
    for (Configuration.Tenant tenant : configuration.tenants)
      tenants.put(
          tenant.name(), List.of(tenant.keyHashes(), tenant.isolated(), tenant.rootShare()));
    return tenants;
  }

  private static void addWeightDifferences(
      JsonObject before, JsonObject after, List<String> differences) {
    for (JsonObject.Member model : after) {
      String newWeights = currentWeights(model.getValue());
      JsonValue old = before.get(model.getName());
      String oldWeights = old == null ? "nothing" : currentWeights(old);
      if (!newWeights.equals(oldWeights))
        differences.add(model.getName() + " from " + oldWeights + " to " + newWeights);
    }
  }

  private static String currentWeights(JsonValue model) {
    return model.asObject().getString("now", "?");
  }

  private static JsonObject parseObject(byte[] json) {
    if (json.length == 0) return new JsonObject();
    return Json.parse(new String(json, StandardCharsets.UTF_8)).asObject();
  }

  private static void addDifferences(
      String list,
      Map<String, Object> before,
      Map<String, Object> after,
      List<String> differences) {
    List<String> added = new ArrayList<>();
    List<String> changed = new ArrayList<>();
    after.forEach(
        (name, entry) -> {
          if (!before.containsKey(name)) added.add(name);
          else if (!before.get(name).equals(entry)) changed.add(name);
        });
    List<String> removed =
        before.keySet().stream().filter(name -> !after.containsKey(name)).toList();
    addNames(differences, list + " new", added);
    addNames(differences, list + " gone", removed);
    addNames(differences, list + " changed", changed);
  }

  private static void addNames(List<String> differences, String label, List<String> names) {
    if (names.isEmpty()) return;
    String listed = String.join(", ", names.subList(0, Math.min(MAX_NAMES, names.size())));
    String more = names.size() > MAX_NAMES ? " and " + (names.size() - MAX_NAMES) + " more" : "";
    differences.add(label + ": " + listed + more);
  }
}
