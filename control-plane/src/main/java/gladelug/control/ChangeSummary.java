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
 * What a change of the control state is, in a few words for people who ask about its number: names
 * that are new, gone or changed. Never a caller's key. Pure; any thread.
 */
public final class ChangeSummary {
  /** More names than these are counted, not listed. */
  private static final int MAX_NAMES = 6;

  private ChangeSummary() {}

  /** In place of no difference at all. */
  private static final String NO_NAMED_DIFFERENCE = "nothing that has a name";

  /**
   * Summarizes a change of the named weights.
   *
   * @param before the value before, JSON; empty where there was none
   * @param after the value after, JSON
   * @return one line, empty where the values aren't such JSON
   */
  public static String summarizeWeights(byte[] before, byte[] after) {
    try {
      List<String> differences = new ArrayList<>();
      addWeightDifferences(parseObject(before), parseObject(after), differences);
      return join(differences);
    } catch (RuntimeException unreadable) {
      // whatever stands there and however it fails to be read: a change isn't lost for its summary
      return "";
    }
  }

  /**
   * Summarizes a change of the configuration.
   *
   * @param before the one before, EMPTY where there was none
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

  /** By name, what makes a service what it is beside its place in the list. */
  private static Map<String, Object> servicesByName(Configuration configuration) {
    Map<String, Object> services = new LinkedHashMap<>();
    for (Configuration.Service s : configuration.services)
      services.put(
          s.name(),
          List.of(
              s.kind(),
              s.allowedEndpoints(),
              s.maxConnections(),
              s.engine(),
              String.valueOf(s.storeAddress()),
              s.zone()));
    return services;
  }

  /** By name, what makes a route what it is; services by their names, not their places. */
  private static Map<String, Object> routesByName(Configuration configuration) {
    Map<String, Object> routes = new LinkedHashMap<>();
    for (Configuration.Route route : configuration.routes)
      routes.put(
          route.name(),
          new NamedRoute(route.withoutIndices(), describeTargets(configuration, route)));
    return routes;
  }

  /** A route without places in lists, and the names of services with their parts. */
  private record NamedRoute(Configuration.Route route, String targets) {}

  private static String describeTargets(Configuration configuration, Configuration.Route route) {
    StringBuilder targets = new StringBuilder();
    for (Configuration.WeightedService part : route.trafficSplit())
      targets
          .append(configuration.services.get(part.serviceIndex()).name())
          .append(' ')
          .append(part.weight())
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
