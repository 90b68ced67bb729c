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
 * What operators send, as one document: services with the endpoints they may be called at, routes
 * from paths to services, tenants with their keys as hashes and the quota shares below them. Parsed
 * from JSON; every finding has its place, and a configuration with any finding is not built.
 * Immutable; names become dense indices when it is parsed, and a snapshot is replaced as a whole.
 */
public final class Configuration {
  public enum Kind {
    MODEL,
    APPLICATION,
    STORE
  }

  /**
   * What the replicas of a model service are able to do, where that is known: requests at once,
   * prompt tokens kept at most (0 where not known), bytes a kept token, the speed of their links in
   * Mbit/s, how many may follow one's cache events at once, and the models they serve.
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
   * A service; connections is the most a replica takes from all callers, store the address of a
   * store, or null.
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

  /** What a client may send at most and how long it may take: bytes and milliseconds. */
  public record Limits(
      int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    public static final Limits DEFAULT = new Limits(16_384, 16_777_216, 10_000, 120_000);
  }

  /** A part of a route's traffic: a service by its index and how much of it. */
  public record WeightedService(int serviceIndex, int weight) {}

  /**
   * Which requests go to which service. host is empty for any; prefix tells whether path begins the
   * request's path or is all of it. aimMs and gapMs are when the first event and the next are still
   * in time (0: not told).
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
      for (WeightedService w : trafficSplit)
        if (w.serviceIndex == service && w.weight > 0) return true;
      return false;
    }

    /**
     * The service for a request whose draw is from 0 to 1: by the weights, the same for the same
     * draw.
     */
    public int chooseService(double draw) {
      int all = 0;
      for (WeightedService w : trafficSplit) all += w.weight;
      double at = draw * all;
      for (WeightedService w : trafficSplit) {
        at -= w.weight;
        if (at < 0) return w.serviceIndex;
      }
      return trafficSplit.get(trafficSplit.size() - 1).serviceIndex;
    }

    /** The same route wherever it and its services stand in the lists of a configuration. */
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

    /**
     * A route as it is put together; what isn't said is as the product's own configuration has it.
     */
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

      public Builder matching(String h, String p, boolean begins) {
        host = h;
        path = p;
        matchesPrefix = begins;
        return this;
      }

      public Builder addService(int service, int weight) {
        trafficSplit.add(new WeightedService(service, weight));
        return this;
      }

      public Builder timings(int deadline, int aim, int gap) {
        deadlineMs = deadline;
        firstEventTargetMs = aim;
        eventGapTargetMs = gap;
        return this;
      }

      public Builder attempts(boolean again, int most) {
        repeatable = again;
        maxAttempts = most;
        return this;
      }

      public Builder maxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
        return this;
      }

      public Builder tier(int t) {
        tier = t;
        return this;
      }

      public Builder allowsAnonymous(boolean yes) {
        allowsAnonymous = yes;
        return this;
      }

      public Builder streaming(boolean yes, boolean mayResume) {
        streaming = yes;
        resumable = mayResume;
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

  /** The operator's own number for it, 0 where there is none. */
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
    for (Service s : services) servicesByName.put(s.name, s);
    for (Route m : routes)
      (m.matchesPrefix ? routesByPrefix : routesByPath).put(m.host + m.path, m);
    for (Tenant t : tenants) for (String k : t.keyHashes) tenantsByKeyHash.put(k, t);
  }

  /** Whoever calls a route that is open to all without a key. */
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
   * Of the host's routes the one that is the path, else the one that begins it and is longest; or
   * null.
   */
  public Route route(String host, String path) {
    Route r = routesByPath.get(host + path);
    for (int i = path.length() - 1; r == null && i >= 0; i--)
      if (path.charAt(i) == '/') r = routesByPrefix.get(host + path.substring(0, i + 1));
    return r != null || host.isEmpty() ? r : route("", path);
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

  /** Where in the tree a request of this tenant by this route stands: the leaf's path. */
  public static String leafPath(Tenant t, Route m) {
    QuotaShare share = t.rootShare.findLeaf(m.name);
    return share == null ? t.rootShare.path() : share.path();
  }

  public static Result<Configuration> parse(String json) {
    return LocatedJson.parse(json).flatMap(Configuration::read);
  }

  public static Result<Configuration> read(LocatedJson d) {
    Findings findings = new Findings();
    LocatedJson.Fields f = d.fields(findings);
    Map<String, Service> sn = new HashMap<>();
    List<Service> ss = new ArrayList<>();
    for (LocatedJson x : f.list("services", true)) ss.add(readService(x, ss.size(), sn, findings));
    List<Route> ms = new ArrayList<>();
    Set<String> mn = new HashSet<>(), mp = new HashSet<>();
    for (LocatedJson x : f.list("mappings", true))
      ms.add(readRoute(x, ms.size(), sn, mn, mp, findings));
    List<Tenant> ts = new ArrayList<>();
    Set<String> tn = new HashSet<>();
    Map<String, String> keys = new HashMap<>();
    for (LocatedJson x : f.list("tenants", true))
      ts.add(readTenant(x, ts.size(), tn, keys, mn, findings));
    f.reportUnknownFields();
    return Result.of(findings, () -> new Configuration(0, ss, ms, ts, Limits.DEFAULT));
  }

  private static Service readService(
      LocatedJson json, int i, Map<String, Service> names, Findings findings) {
    LocatedJson.Fields f = json.fields(findings);
    String name = f.text("name");
    String k = f.text("kind", "model");
    Kind kind = Kind.MODEL;
    switch (k) {
      case "model" -> kind = Kind.MODEL;
      case "application" -> kind = Kind.APPLICATION;
      case "store" -> kind = Kind.STORE;
      default -> findings.add(f.place("kind"), "must be model, application or store, not " + k);
    }
    List<AllowedEndpoint> as = new ArrayList<>();
    for (String a : f.texts("allow", true)) {
      Result<AllowedEndpoint> r = AllowedEndpoint.parse(a, f.place("allow"));
      if (r instanceof Result.Good<AllowedEndpoint> g) as.add(g.value());
      else
        for (Finding y : ((Result.Bad<AllowedEndpoint>) r).findings())
          findings.add(y.place(), y.what());
    }
    f.reportUnknownFields();
    Service s = new Service(i, name, kind, List.copyOf(as), 256, Engine.UNKNOWN, null, "");
    if (names.putIfAbsent(name, s) != null)
      findings.add(f.place("name"), "two services are named " + name);
    return s;
  }

  private static Route readRoute(
      LocatedJson json,
      int i,
      Map<String, Service> sn,
      Set<String> names,
      Set<String> paths,
      Findings findings) {
    LocatedJson.Fields f = json.fields(findings);
    String name = f.text("name"), path = f.text("path"), sv = f.text("service");
    Service s = sn.get(sv);
    if (s == null && !sv.isEmpty())
      findings.add(f.place("service"), "names no service of this policy: " + sv);
    if (s != null && s.kind == Kind.STORE)
      findings.add(f.place("service"), "a store takes no orders: " + sv);
    if (!path.isEmpty() && !path.startsWith("/"))
      findings.add(f.place("path"), "must begin with a slash");
    if (path.startsWith("/operator/"))
      findings.add(f.place("path"), "must not begin with /operator/");
    if (!names.add(name)) findings.add(f.place("name"), "two mappings are named " + name);
    if (!paths.add(path)) findings.add(f.place("path"), "two mappings have the path " + path);
    Route m =
        Route.named(name)
            .matching("", path, false)
            .addService(s == null ? -1 : s.index, 1)
            .timings((int) f.integer("expiryMs", 10_000, 50, 600_000), 0, 0)
            .attempts(f.flag("repeatable", false), (int) f.integer("attempts", 6, 1, 16))
            .maxBodyBytes((int) f.integer("maxBodyBytes", 262_144, 64, 16_777_216))
            .build(i);
    f.reportUnknownFields();
    return m;
  }

  private static Tenant readTenant(
      LocatedJson x,
      int i,
      Set<String> names,
      Map<String, String> keys,
      Set<String> routes,
      Findings findings) {
    LocatedJson.Fields f = x.fields(findings);
    String name = f.text("name");
    List<String> ks = new ArrayList<>();
    for (LocatedJson k : f.list("keys", true)) {
      if (k.kind != LocatedJson.Kind.STRING || !k.text.matches("sha256:[0-9a-f]{64}"))
        findings.add(
            k.place(),
            "must be sha256: and 64 small hex digits, the hash of a key, never the key itself");
      else {
        String h = k.text.substring(7), old = keys.putIfAbsent(h, name);
        if (old != null) findings.add(k.place(), "is already a key of tenant " + old);
        ks.add(h);
      }
    }
    Set<String> taken = new HashSet<>();
    List<QuotaShare> below = QuotaShare.readAll(f.list("shares", false), name, 1, taken, findings);
    for (String m : taken)
      if (!routes.contains(m))
        findings.add(f.place("shares"), "a share names no mapping of this policy: " + m);
    QuotaShare root =
        new QuotaShare(
            name,
            name,
            (int) f.integer("weight", 1, 1, 1_000_000),
            (int) f.integer("tier", 0, 0, 9),
            (int) f.integer("limit", 0, 0, 1_000_000),
            List.of(),
            below);
    for (QuotaShare share : below)
      QuotaShare.checkLimit(share, root.limit(), f.place("shares"), findings);
    Tenant t = new Tenant(i, name, List.copyOf(ks), f.flag("isolated", false), root);
    f.reportUnknownFields();
    if (name.contains("/")) findings.add(f.place("name"), "must not hold a slash");
    if (!names.add(name)) findings.add(f.place("name"), "two tenants are named " + name);
    return t;
  }
}
