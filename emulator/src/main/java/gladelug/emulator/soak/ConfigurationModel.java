package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The content of a configuration that matters to the soak test, and its JSON as operators send it.
 * Immutable.
 *
 * @param tenants by name
 * @param extraRoutes number of routes that get no requests, in addition to one route for each kind
 *     of request
 */
record ConfigurationModel(
    Map<String, Tenant> tenants, int extraRoutes, int maxBodyBytes, String storeAddress) {
  static final String HOST = "soak.example";
  static final String SERVICE = "models";
  static final String STORE = "prefixes";
  static final String MODEL = "model-1";
  static final int MAX_BODY_BYTES = 1 << 22;

  /** A tenant with a single API key. */
  record Tenant(String key, boolean isolated) {}

  ConfigurationModel {
    tenants = Map.copyOf(tenants);
  }

  static String tenantName(int number) {
    return "tenant-" + number;
  }

  /** Returns the initial configuration: all tenants, of which only the last is isolated. */
  static ConfigurationModel initial(String storeAddress) {
    Map<String, Tenant> tenants = new TreeMap<>();
    for (int i = 1; i <= SoakPlan.TENANTS; i++)
      tenants.put(tenantName(i), new Tenant("key-" + i + "-0", i == SoakPlan.TENANTS));
    return new ConfigurationModel(tenants, 0, MAX_BODY_BYTES, storeAddress);
  }

  ConfigurationModel withTenant(String name, Tenant tenant) {
    Map<String, Tenant> others = new TreeMap<>(tenants);
    if (tenant == null) others.remove(name);
    else others.put(name, tenant);
    return new ConfigurationModel(others, extraRoutes, maxBodyBytes, storeAddress);
  }

  ConfigurationModel withExtraRoutes(int routes) {
    return new ConfigurationModel(tenants, routes, maxBodyBytes, storeAddress);
  }

  ConfigurationModel withMaxBodyBytes(int bytes) {
    return new ConfigurationModel(tenants, extraRoutes, bytes, storeAddress);
  }

  /** Returns the key that replaces a key: the one with the next number. */
  static String keyAfter(String key) {
    return shiftKeyNumber(key, 1);
  }

  /** Returns the key that was replaced by a key, or the key itself if it is the first. */
  static String keyBefore(String key) {
    return shiftKeyNumber(key, -1);
  }

  private static String shiftKeyNumber(String key, int offset) {
    int dash = key.lastIndexOf('-');
    String number = key.substring(dash + 1);
    if (!number.matches("\\d+") || Integer.parseInt(number) + offset < 0) return key;
    return key.substring(0, dash + 1) + (Integer.parseInt(number) + offset);
  }

  /**
   * Returns the name of the tenant that a key was made for, in force or not; empty for a malformed
   * key.
   */
  static String ownerOfKey(String key) {
    String[] keyParts = key.split("-");
    return keyParts.length == 3 ? "tenant-" + keyParts[1] : "";
  }

  /** Returns the name of the tenant that holds a key, or null. */
  String tenantOfKey(String key) {
    for (Map.Entry<String, Tenant> entry : tenants.entrySet())
      if (entry.getValue().key.equals(key)) return entry.getKey();
    return null;
  }

  boolean isIsolated(String name) {
    Tenant tenant = tenants.get(name);
    return tenant != null && tenant.isolated;
  }

  String toJson(long revision) {
    JsonArray services = new JsonArray();
    services.add(modelService());
    services.add(
        Json.object()
            .add("Name", STORE)
            .add("KvStoreAddress", storeAddress)
            .add("Zone", SoakMachines.zone(1))
            .add("KvTokenCapacity", 500_000)
            .add("LinkMbps", 160_000.0)
            .add("MaxConcurrency", 12));
    return Json.object()
        .add("Revision", revision)
        .add("RouteRules", routesJson())
        .add("BackendServices", services)
        .add(
            "Limits",
            Json.object()
                .add("MaxHeaderBytes", 16_384)
                .add("MaxBodyBytes", maxBodyBytes)
                .add("HeaderTimeoutMs", 3000)
                .add("IdleTimeoutMs", 15_000))
        .add("Tenants", tenantsJson())
        .toString();
  }

  /**
   * Returns the body of a PATCH request that turns another configuration's tenants into this one's.
   */
  String patchFrom(long revision, ConfigurationModel before) {
    JsonArray upserts = new JsonArray(), removals = new JsonArray();
    for (Map.Entry<String, Tenant> entry : tenants.entrySet())
      if (!entry.getValue().equals(before.tenants.get(entry.getKey())))
        upserts.add(tenantJson(entry.getKey(), entry.getValue()));
    for (String name : before.tenants.keySet()) if (!tenants.containsKey(name)) removals.add(name);
    JsonObject patch = Json.object().add("Revision", revision);
    if (!upserts.isEmpty()) patch.add("Upserts", Json.object().add("Tenants", upserts));
    if (!removals.isEmpty()) patch.add("Removals", Json.object().add("Tenants", removals));
    return patch.toString();
  }

  /** Returns whether this configuration differs from another in its tenants at most. */
  boolean differsOnlyInTenants(ConfigurationModel other) {
    return extraRoutes == other.extraRoutes && maxBodyBytes == other.maxBodyBytes;
  }

  private static JsonObject modelService() {
    return Json.object()
        .add("Name", SERVICE)
        .add("HealthCheckPath", "/health")
        .add("MaxConnections", 510)
        .add("Protocol", "h1")
        .add("TlsEnabled", false)
        .add(
            "EngineType",
            Json.object()
                .add("SlotCount", SoakReplica.SLOTS)
                .add("KvTokenCapacity", 78_050)
                .add("KvTokenBytes", 131_072)
                .add("LinkMbps", 550_000.0)
                .add("ChunkStride", 4)
                .add("MaxConcurrency", 12)
                .add("ModelList", new JsonArray().add(Json.object().add("Name", MODEL))));
  }

  private JsonArray routesJson() {
    JsonArray routes = new JsonArray();
    for (RequestKind kind : RequestKind.values())
      routes.add(routeJson("route-" + kind.name(), kind.path, kind));
    for (int i = 0; i < extraRoutes; i++)
      routes.add(routeJson("extra-route-number-" + i, "/extra-" + i + "/", RequestKind.READ));
    return routes;
  }

  private static JsonObject routeJson(String name, String path, RequestKind kind) {
    return Json.object()
        .add("Name", name)
        .add("Hostname", HOST)
        .add("PathPrefix", path)
        .add("RouteType", kind.routeType)
        .add("RequestTimeoutMs", kind.deadlineMs)
        .add("TargetLatencyMs", 600)
        .add("PriorityLevel", 1)
        .add("BackendService", SERVICE)
        .add("MaxAttempts", 2)
        .add("Public", false)
        .add("SessionAffinity", true)
        .add("Resumable", kind.resumable)
        .add("TargetGapMs", 400);
  }

  private JsonArray tenantsJson() {
    JsonArray items = new JsonArray();
    List<String> names = new ArrayList<>(tenants.keySet());
    names.sort(null);
    for (String name : names) items.add(tenantJson(name, tenants.get(name)));
    return items;
  }

  private static JsonObject tenantJson(String name, Tenant tenant) {
    return Json.object()
        .add("Name", name)
        .add("ApiKeys", new JsonArray().add(tenant.key))
        .add("PriorityLevel", 1)
        .add("Isolated", tenant.isolated);
  }
}
