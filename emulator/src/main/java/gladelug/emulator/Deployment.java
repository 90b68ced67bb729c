package gladelug.emulator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.common.configuration.Configuration;
import java.util.ArrayList;
import java.util.List;

/**
 * The deployments that the emulator can run: machines, zones, replicas, kinds of requests with
 * their rates, and tenants, a few of which are large.
 */
public record Deployment(
    String name,
    int subnet,
    String service,
    int replicas,
    int relays,
    int indexes,
    List<StandInCallers.Kind> kinds,
    List<StandInCallers.Tenant> tenants,
    String isolated) {
  private static StandInCallers.Kind kind(
      String n, double rate, int blocks, int own, boolean repeatable) {
    return new StandInCallers.Kind(n, "/" + n, rate, blocks, own, repeatable);
  }

  private static List<StandInCallers.Tenant> tenants(String... names) {
    int[] sizes = {10, 8, 5, 1, 1, 1, 1, 1};
    List<StandInCallers.Tenant> l = new ArrayList<>();
    for (int i = 0; i < names.length; i++)
      l.add(new StandInCallers.Tenant(names[i], "key-of-" + names[i], sizes[i]));
    return List.copyOf(l);
  }

  public static Deployment safariNjia() {
    return new Deployment(
        "safari-njia",
        11,
        "planner-model",
        12,
        4,
        2,
        List.of(
            kind("timetable-summary", 25, 24, 900, true),
            kind("stage-match", 20, 12, 300, false),
            kind("journey-reply", 30, 8, 200, false)),
        tenants(
            "planner-app",
            "ussd-gateway",
            "county-nairobi",
            "county-kiambu",
            "county-machakos",
            "county-kajiado",
            "county-muranga",
            "county-nakuru"),
        "county-nakuru");
  }

  public static Deployment mokaRidge() {
    return new Deployment(
        "moka-ridge",
        12,
        "desk-model",
        8,
        4,
        2,
        List.of(
            kind("archive-check", 15, 40, 1500, false),
            kind("headline-tag", 12, 6, 200, true),
            kind("caption-draft", 20, 10, 300, false)),
        tenants(
            "web-desk",
            "photo-desk",
            "legal-read",
            "sports-desk",
            "farm-weekly",
            "coast-daily",
            "hill-herald",
            "rift-news"),
        "legal-read");
  }

  /**
   * Returns two replicas, a relay and an index, for tests that set a fault and inspect one request.
   */
  public static Deployment small(int net) {
    return new Deployment(
        "small",
        net,
        "m",
        2,
        1,
        1,
        List.of(
            kind("ask", 5, 8, 200, false),
            kind("again", 5, 8, 200, true),
            kind("wide", 5, 4, 100, false)),
        tenants("one", "two", "three", "four", "five", "six", "seven", "eight"),
        "eight");
  }

  public static Deployment byName(String n) {
    return switch (n) {
      case "safari-njia" -> safariNjia();
      case "moka-ridge" -> mokaRidge();
      default -> throw new IllegalArgumentException("unknown deployment " + n);
    };
  }

  public String zone(int i) {
    return "zone-" + (char) ('a' + i % 3);
  }

  public StandInCallers.Kind application() {
    return kind("lookup-stop", 2, 0, 100, false);
  }

  /**
   * Returns the configuration that an operator sends, with hashed keys; the marker makes each one
   * distinct and sets the deadline of the route lookup-stop.
   */
  public JsonObject configuration(int marker, List<String> without) {
    return configuration(marker, without, "application", 0);
  }

  /**
   * The variable parts of a configuration.
   *
   * @param marker makes the configuration distinct
   * @param revokedTenants the tenants without a key
   * @param application the service of the route lookup-stop
   * @param extraRoutes the number of additional routes
   * @param lastPathRemoved whether the path of the last kind of requests is removed
   * @param isolatedTenants the tenants isolated in addition to the one that always is
   * @param firstReplicaForbidden whether the address of the first replica is not allowed
   */
  public record ConfigurationOptions(
      int marker,
      List<String> revokedTenants,
      String application,
      int extraRoutes,
      boolean lastPathRemoved,
      List<String> isolatedTenants,
      boolean firstReplicaForbidden) {}

  public JsonObject configuration(int marker, List<String> without, String application, int more) {
    return configuration(
        new ConfigurationOptions(marker, without, application, more, false, List.of(), false));
  }

  public StandInCallers.Kind lastKind() {
    return kinds.get(kinds.size() - 1);
  }

  public JsonObject configuration(ConfigurationOptions options) {
    JsonArray mappings = new JsonArray();
    for (StandInCallers.Kind k : kinds)
      mappings.add(
          Json.object()
              .add("name", k.name())
              .add(
                  "path",
                  options.lastPathRemoved && k.equals(lastKind()) ? k.path() + "-gone" : k.path())
              .add("service", service)
              .add("expiryMs", 8000)
              .add("repeatable", k.repeatable()));
    mappings.add(
        Json.object()
            .add("name", "lookup-stop")
            .add("path", "/lookup-stop")
            .add("service", options.application)
            .add("expiryMs", 5000 + options.marker % 1000));
    for (int i = 0; i < options.extraRoutes; i++)
      mappings.add(
          Json.object()
              .add("name", "more-" + i)
              .add("path", "/more/" + i)
              .add("service", service)
              .add("expiryMs", 8000)
              .add("repeatable", i % 2 == 0));
    JsonArray ts = new JsonArray();
    for (StandInCallers.Tenant t : tenants) {
      JsonArray keys = new JsonArray();
      if (!options.revokedTenants.contains(t.name()))
        keys.add("sha256:" + Configuration.hashKey(t.key()));
      ts.add(
          Json.object()
              .add("name", t.name())
              .add("keys", keys)
              .add("weight", t.size())
              .add(
                  "isolated",
                  t.name().equals(isolated) || options.isolatedTenants.contains(t.name()))
              .add(
                  "shares",
                  Json.array()
                      .add(
                          (JsonValue)
                              Json.object()
                                  .add("name", "first")
                                  .add("weight", 3)
                                  .add(
                                      "mappings",
                                      Json.array(kinds.get(0).name(), kinds.get(1).name())))
                      .add(
                          (JsonValue)
                              Json.object()
                                  .add("name", "rest")
                                  .add("weight", 1)
                                  .add("mappings", Json.array(kinds.get(2).name())))));
    }
    // allows every listed address except the first replica's, .21
    JsonArray allow = new JsonArray();
    if (options.firstReplicaForbidden)
      for (String n : new String[] {"22/31", "24/29", "32/27", "64/26", "128/25"})
        allow.add("127." + subnet + ".0." + n);
    else allow.add("127." + subnet + ".0.0/16");
    return Json.object()
        .add(
            "services",
            Json.array()
                .add((JsonValue) Json.object().add("name", service).add("allow", allow))
                .add(
                    (JsonValue)
                        Json.object()
                            .add("name", "prefix-store")
                            .add("kind", "store")
                            .add("allow", Json.array("127." + subnet + ".0.0/16")))
                .add(
                    (JsonValue)
                        Json.object()
                            .add("name", "application")
                            .add("kind", "application")
                            .add("allow", Json.array("127." + subnet + ".0.0/16")))
                .add(
                    (JsonValue)
                        Json.object()
                            .add("name", "application-two")
                            .add("kind", "application")
                            .add("allow", Json.array("127." + subnet + ".0.0/16"))))
        .add("mappings", mappings)
        .add("tenants", ts);
  }
}
