package gladelug.common.configuration;

import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.Finding;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration that operators send as one document: services and the endpoints at which they
 * may be called, routes from paths to services, and tenants with hashed keys and quota shares. It
 * is parsed from JSON; each finding names its position, and a document with a finding yields no
 * configuration. Immutable: parsing maps names to dense indices, and a snapshot is replaced as a
 * whole.
 */
public final class Configuration {
  /** What a service does. */
  public enum Kind {
    MODEL,
    APPLICATION,
    STORE
  }

  /**
   * What the replicas of a model service are able to do, as far as it is known.
   *
   * @param slots maximum number of concurrent requests, 0 if unknown
   * @param cacheCapacityTokens maximum number of cached prompt tokens, 0 if unknown
   * @param bytesPerToken size of a cached token in bytes
   * @param linkMbps link speed in Mbit/s
   * @param maxEventSubscribers how many clients may subscribe to a replica's cache events at once
   * @param models names of the models that the replicas serve
   */
  public record Engine(
      int slots,
      long cacheCapacityTokens,
      int bytesPerToken,
      double linkMbps,
      int maxEventSubscribers,
      List<String> models) {
    public static final Engine UNKNOWN = new Engine(0, 0, 0, 0, 0, List.of());
  }

  /**
   * A service that requests can be routed to.
   *
   * @param maxConnections maximum number of connections that a replica accepts from all callers
   * @param storeAddress the address of a prefix store, or null
   */
  public record Service(
      int index,
      String name,
      Kind kind,
      List<AllowedEndpoint> allowedEndpoints,
      int maxConnections,
      Engine engine,
      Address storeAddress,
      String zone) {
    public boolean allows(Address address) {
      for (AllowedEndpoint endpoint : allowedEndpoints) if (endpoint.allows(address)) return true;
      return false;
    }
  }

  /** Limits of a client's requests: sizes in bytes and time-outs in milliseconds. */
  public record Limits(
      int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    public static final Limits DEFAULT = new Limits(16_384, 16_777_216, 10_000, 120_000);
  }

  /** A part of a route's traffic: the index of a service and its weight. */
  public record WeightedService(int serviceIndex, int weight) {}

  /**
   * Maps requests to services.
   *
   * @param host the requests' host, empty for any
   * @param matchesPrefix whether path is a prefix of the request's path instead of all of it
   * @param deadlineMs time within which a request must be finished
   * @param repeatable whether a request may be sent again after it may have been executed
   * @param firstEventTargetMs target time to the first event, 0 if there is none
   * @param eventGapTargetMs target time between two events, 0 if there is none
   * @param allowsAnonymous whether callers need no key
   * @param resumable whether a broken stream may be continued at another replica
   */
  public record Route(
      int index,
      String name,
      String host,
      String path,
      boolean matchesPrefix,
      List<WeightedService> trafficSplit,
      int deadlineMs,
      boolean repeatable,
      int maxBodyBytes,
      int firstEventTargetMs,
      int eventGapTargetMs,
      int maxAttempts,
      int tier,
      boolean allowsAnonymous,
      boolean streaming,
      boolean resumable) {
    public int primaryService() {
      return trafficSplit.get(0).serviceIndex();
    }

    public boolean allowsService(int service) {
      for (WeightedService weighted : trafficSplit)
        if (weighted.serviceIndex == service && weighted.weight > 0) return true;
      return false;
    }

    /**
     * Chooses a service according to the weights; the same draw always yields the same service.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     */
    public int chooseService(double draw) {
      int totalWeight = 0;
      for (WeightedService weighted : trafficSplit) totalWeight += weighted.weight;
      double remainder = draw * totalWeight;
      for (WeightedService weighted : trafficSplit) {
        remainder -= weighted.weight;
        if (remainder < 0) return weighted.serviceIndex;
      }
      return trafficSplit.get(trafficSplit.size() - 1).serviceIndex;
    }

    /** Returns a copy that doesn't depend on the positions of the route and its services. */
    public Route withoutIndices() {
      return new Route(
          0,
          name,
          host,
          path,
          matchesPrefix,
          List.of(),
          deadlineMs,
          repeatable,
          maxBodyBytes,
          firstEventTargetMs,
          eventGapTargetMs,
          maxAttempts,
          tier,
          allowsAnonymous,
          streaming,
          resumable);
    }

    public static Builder named(String name) {
      return new Builder(name);
    }

    /** Builds a route; unset properties have the defaults of the configuration format. */
    public static final class Builder {
      private final String name;
      private String host = "";
      private String path = "/";
      private boolean matchesPrefix;
      private final List<WeightedService> trafficSplit = new ArrayList<>();
      private int deadlineMs = 10_000;
      private boolean repeatable;
      private int maxBodyBytes = 262_144;
      private int firstEventTargetMs;
      private int eventGapTargetMs;
      private int maxAttempts = 2;
      private int tier;
      private boolean allowsAnonymous;
      private boolean streaming = true;
      private boolean resumable;

      private Builder(String name) {
        this.name = name;
      }

      public Builder matching(String requestHost, String requestPath, boolean asPrefix) {
        host = requestHost;
        path = requestPath;
        matchesPrefix = asPrefix;
        return this;
      }

      public Builder addService(int service, int weight) {
        trafficSplit.add(new WeightedService(service, weight));
        return this;
      }

      public Builder timings(
          int newDeadlineMs, int newFirstEventTargetMs, int newEventGapTargetMs) {
        deadlineMs = newDeadlineMs;
        firstEventTargetMs = newFirstEventTargetMs;
        eventGapTargetMs = newEventGapTargetMs;
        return this;
      }

      public Builder attempts(boolean isRepeatable, int newMaxAttempts) {
        repeatable = isRepeatable;
        maxAttempts = newMaxAttempts;
        return this;
      }

      public Builder maxBodyBytes(int newMaxBodyBytes) {
        maxBodyBytes = newMaxBodyBytes;
        return this;
      }

      public Builder tier(int newTier) {
        tier = newTier;
        return this;
      }

      public Builder allowsAnonymous(boolean allowed) {
        allowsAnonymous = allowed;
        return this;
      }

      public Builder streaming(boolean isStreaming, boolean isResumable) {
        streaming = isStreaming;
        resumable = isResumable;
        return this;
      }

      public Route build(int index) {
        return new Route(
            index,
            name,
            host,
            path,
            matchesPrefix,
            List.copyOf(trafficSplit),
            deadlineMs,
            repeatable,
            maxBodyBytes,
            firstEventTargetMs,
            eventGapTargetMs,
            maxAttempts,
            tier,
            allowsAnonymous,
            streaming,
            resumable);
      }
    }
  }

  public record Tenant(
      int index, String name, List<String> keyHashes, boolean isolated, QuotaShare rootShare) {}

  public final List<Service> services;
  public final List<Route> routes;
  public final List<Tenant> tenants;
  public final Limits limits;

  /** The revision number assigned by the operator, 0 if there is none. */
  public final long revision;

  private final Map<String, Route> routesByPath = new HashMap<>();
  private final Map<String, Route> routesByPrefix = new HashMap<>();
  private final Map<String, Tenant> tenantsByKeyHash = new HashMap<>();
  private final Map<String, Service> servicesByName = new HashMap<>();

  public Configuration(
      long revision,
      List<Service> services,
      List<Route> routes,
      List<Tenant> tenants,
      Limits limits) {
    this.revision = revision;
    this.limits = limits;
    this.services = List.copyOf(services);
    this.routes = List.copyOf(routes);
    this.tenants = List.copyOf(tenants);
    for (Service service : services) servicesByName.put(service.name, service);
    for (Route route : routes)
      (route.matchesPrefix ? routesByPrefix : routesByPath).put(route.host + route.path, route);
    for (Tenant tenant : tenants)
      for (String keyHash : tenant.keyHashes) tenantsByKeyHash.put(keyHash, tenant);
  }

  /** The tenant of callers without a key, on routes that allow them. */
  public static final Tenant ANONYMOUS =
      new Tenant(
          -1,
          "anybody",
          List.of(),
          false,
          new QuotaShare("anybody", "anybody", 1, 9, 0, List.of(), List.of()));

  public static final Configuration EMPTY =
      new Configuration(0, List.of(), List.of(), List.of(), Limits.DEFAULT);

  public Route route(String path) {
    return route("", path);
  }

  /**
   * Returns the host's route that matches the whole path, else the one with the longest matching
   * prefix, else the match among the routes of any host; null if there is none.
   */
  public Route route(String host, String path) {
    Route match = routesByPath.get(host + path);
    for (int index = path.length() - 1; match == null && index >= 0; index--)
      if (path.charAt(index) == '/')
        match = routesByPrefix.get(host + path.substring(0, index + 1));
    return match != null || host.isEmpty() ? match : route("", path);
  }

  public Service service(String name) {
    return servicesByName.get(name);
  }

  public Tenant tenantByKeyHash(String hash) {
    return tenantsByKeyHash.get(hash);
  }

  public static String hashKey(String key) {
    return Digest.hex(key);
  }

  /** Returns the path of the quota leaf that the tenant's requests on this route belong to. */
  public static String leafPath(Tenant tenant, Route route) {
    QuotaShare share = tenant.rootShare.findLeaf(route.name);
    return share == null ? tenant.rootShare.path() : share.path();
  }

  public static Result<Configuration> parse(String json) {
    return LocatedJson.parse(json).flatMap(Configuration::read);
  }

  public static Result<Configuration> read(LocatedJson document) {
    Findings findings = new Findings();
    LocatedJson.Fields fields = document.fields(findings);
    Map<String, Service> servicesByName = new HashMap<>();
    List<Service> services = new ArrayList<>();
    for (LocatedJson json : fields.list("services", true))
      services.add(readService(json, services.size(), servicesByName, findings));
    List<Route> routes = new ArrayList<>();
    Set<String> routeNames = new HashSet<>(), routePaths = new HashSet<>();
    for (LocatedJson json : fields.list("mappings", true))
      routes.add(readRoute(json, routes.size(), servicesByName, routeNames, routePaths, findings));
    List<Tenant> tenants = new ArrayList<>();
    Set<String> tenantNames = new HashSet<>();
    Map<String, String> tenantNamesByKeyHash = new HashMap<>();
    for (LocatedJson json : fields.list("tenants", true))
      tenants.add(
          readTenant(
              json, tenants.size(), tenantNames, tenantNamesByKeyHash, routeNames, findings));
    fields.reportUnknownFields();
    return Result.of(
        findings, () -> new Configuration(0, services, routes, tenants, Limits.DEFAULT));
  }

  private static Service readService(
      LocatedJson json, int index, Map<String, Service> servicesByName, Findings findings) {
    LocatedJson.Fields fields = json.fields(findings);
    String name = fields.text("name");
    String kindName = fields.text("kind", "model");
    Kind kind = Kind.MODEL;
    switch (kindName) {
      case "model" -> kind = Kind.MODEL;
      case "application" -> kind = Kind.APPLICATION;
      case "store" -> kind = Kind.STORE;
      default ->
          findings.add(
              fields.place("kind"), "must be model, application or store, not " + kindName);
    }
    List<AllowedEndpoint> allowedEndpoints = new ArrayList<>();
    for (String endpointText : fields.texts("allow", true)) {
      Result<AllowedEndpoint> endpoint = AllowedEndpoint.parse(endpointText, fields.place("allow"));
      if (endpoint instanceof Result.Good<AllowedEndpoint> good) allowedEndpoints.add(good.value());
      else
        for (Finding finding : ((Result.Bad<AllowedEndpoint>) endpoint).findings())
          findings.add(finding.place(), finding.what());
    }
    fields.reportUnknownFields();
    Service service =
        new Service(
            index, name, kind, List.copyOf(allowedEndpoints), 256, Engine.UNKNOWN, null, "");
    if (servicesByName.putIfAbsent(name, service) != null)
      findings.add(fields.place("name"), "two services are named " + name);
    return service;
  }

  private static Route readRoute(
      LocatedJson json,
      int index,
      Map<String, Service> servicesByName,
      Set<String> takenNames,
      Set<String> takenPaths,
      Findings findings) {
    LocatedJson.Fields fields = json.fields(findings);
    String name = fields.text("name"),
        path = fields.text("path"),
        serviceName = fields.text("service");
    Service service = servicesByName.get(serviceName);
    if (service == null && !serviceName.isEmpty())
      findings.add(fields.place("service"), "names no service of this policy: " + serviceName);
    if (service != null && service.kind == Kind.STORE)
      findings.add(
          fields.place("service"), "is a store, which accepts no requests: " + serviceName);
    if (!path.isEmpty() && !path.startsWith("/"))
      findings.add(fields.place("path"), "must begin with a slash");
    if (path.startsWith("/operator/"))
      findings.add(fields.place("path"), "must not begin with /operator/");
    if (!takenNames.add(name)) findings.add(fields.place("name"), "two mappings are named " + name);
    if (!takenPaths.add(path))
      findings.add(fields.place("path"), "two mappings have the path " + path);
    Route route =
        Route.named(name)
            .matching("", path, false)
            .addService(service == null ? -1 : service.index, 1)
            .timings((int) fields.integer("expiryMs", 10_000, 50, 600_000), 0, 0)
            .attempts(fields.flag("repeatable", false), (int) fields.integer("attempts", 6, 1, 16))
            .maxBodyBytes((int) fields.integer("maxBodyBytes", 262_144, 64, 16_777_216))
            .build(index);
    fields.reportUnknownFields();
    return route;
  }

  private static Tenant readTenant(
      LocatedJson json,
      int index,
      Set<String> takenNames,
      Map<String, String> tenantNamesByKeyHash,
      Set<String> routeNames,
      Findings findings) {
    LocatedJson.Fields fields = json.fields(findings);
    String name = fields.text("name");
    List<String> keyHashes = new ArrayList<>();
    for (LocatedJson key : fields.list("keys", true)) {
      if (key.kind != LocatedJson.Kind.STRING || !key.text.matches("sha256:[0-9a-f]{64}"))
        findings.add(
            key.place(),
            "must be sha256: and 64 lower-case hex digits, the hash of a key, never the key itself");
      else {
        String hash = key.text.substring(7),
            otherTenant = tenantNamesByKeyHash.putIfAbsent(hash, name);
        if (otherTenant != null)
          findings.add(key.place(), "is already a key of tenant " + otherTenant);
        keyHashes.add(hash);
      }
    }
    Set<String> sharedRoutes = new HashSet<>();
    List<QuotaShare> shares =
        QuotaShare.readAll(fields.list("shares", false), name, 1, sharedRoutes, findings);
    for (String routeName : sharedRoutes)
      if (!routeNames.contains(routeName))
        findings.add(
            fields.place("shares"), "a share names no mapping of this policy: " + routeName);
    QuotaShare root =
        new QuotaShare(
            name,
            name,
            (int) fields.integer("weight", 1, 1, 1_000_000),
            (int) fields.integer("tier", 0, 0, 9),
            (int) fields.integer("limit", 0, 0, 1_000_000),
            List.of(),
            shares);
    for (QuotaShare share : shares)
      QuotaShare.checkLimit(share, root.limit(), fields.place("shares"), findings);
    Tenant tenant =
        new Tenant(index, name, List.copyOf(keyHashes), fields.flag("isolated", false), root);
    fields.reportUnknownFields();
    if (name.contains("/")) findings.add(fields.place("name"), "must not contain a slash");
    if (!takenNames.add(name)) findings.add(fields.place("name"), "two tenants are named " + name);
    return tenant;
  }
}
