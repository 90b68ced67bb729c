package gladelug.emulator.scale;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.emulator.ChildProcess;
import gladelug.emulator.Fleet;
import gladelug.emulator.StandInPlatform;
import gladelug.emulator.ports.FreePorts;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * A fleet at one point of a scale run: the core's members, an index and a relay run as separate
 * processes, hollow nodes and replicas in this process. Measures resource use and latencies while
 * configuration changes are sent to the operator endpoint. Closing it kills the processes it
 * started.
 */
public final class ScaleFleet implements AutoCloseable {
  private static final String ADDRESS_PREFIX = "127.93.";
  private static final int ADDRESSES_PER_SUBNET = 250,
      SHARED_CHAIN_BLOCKS = 4,
      OWN_CHAIN_BLOCKS = 4,
      SLOTS_PER_NODE = 64;
  private static final long MAX_LATENCY_US = 60_000_000, RETRY_TIMEOUT_NS = 10_000_000_000L;

  /**
   * The measurements of a point.
   *
   * @param roles the figure by role and metric
   * @param records the records of hollow nodes during the measurement
   * @param pushes configuration pushes received by nodes, including those that arrive up to 500 ms
   *     after the measurement
   * @param changes the number of acknowledged changes
   * @param acks microseconds from sending a change to its acknowledgement
   * @param lookups microseconds from a lookup to its response
   */
  public record Figures(
      ScalePoint point,
      double seconds,
      Map<String, Map<String, Double>> roles,
      Traffic.Count records,
      long pushes,
      long changes,
      Histogram acks,
      Histogram lookups) {
    /** Returns the records of a kind per second and node. */
    double rate(Traffic.Kind k) {
      return records.messages().get(k) / seconds / point.get(ScaleSize.NODES);
    }

    /** Returns the bytes of some kinds per second and node. */
    double bytes(Traffic.Kind... ks) {
      double n = 0;
      for (Traffic.Kind k : ks) n += records.bytes().get(k);
      return n / seconds / point.get(ScaleSize.NODES);
    }
  }

  private ScalePoint point;
  private final Path dir;
  private final long seed;
  private final Random random;
  private final FreePorts ports = new FreePorts();
  private final Vertx vertx =
      new Vertx(
          io.vertx.core.Vertx.vertx(
              new VertxOptions().setEventLoopPoolSize(2).setWorkerPoolSize(2)));
  private final HttpClient http =
      HttpClient.newBuilder()
          .connectTimeout(Duration.ofSeconds(2))
          .version(HttpClient.Version.HTTP_1_1)
          .build();
  private final Map<String, ChildProcess> children = new LinkedHashMap<>();
  private final Map<String, String> operatorAddresses = new LinkedHashMap<>(),
      recordsAddresses = new LinkedHashMap<>();
  private final List<HollowNode> nodes = new ArrayList<>();
  private final Traffic traffic = new Traffic();
  private final ConcurrentHistogram lookups = new ConcurrentHistogram(MAX_LATENCY_US, 3);
  private HollowReplicas replicas;
  private int marker;
  private int retries;

  public ScaleFleet(ScalePoint point, Path dir, long seed) throws IOException {
    this.point = point;
    this.dir = dir;
    this.seed = seed;
    this.random = new Random(seed);
    Files.createDirectories(dir);
  }

  private static String ip(int block, int i) {
    return ADDRESS_PREFIX
        + (block + i / ADDRESSES_PER_SUBNET)
        + "."
        + (1 + i % ADDRESSES_PER_SUBNET);
  }

  private Path writeSettings(String name, JsonObject json) throws IOException {
    Path path = dir.resolve(name + ".json");
    Files.writeString(path, json.toString());
    return path;
  }

  private int size(ScaleSize s) {
    return (int) point.get(s);
  }

  /** Starts everything and waits until every node holds the first configuration. */
  public void start() throws Exception {
    List<String> ips = new ArrayList<>();
    for (int i = 0; i < size(ScaleSize.REPLICAS); i++) ips.add(ip(50, i));
    replicas = new HollowReplicas(vertx.getDelegate(), seed, ips, point.get(ScaleSize.BLOCKS));
    StandInPlatform platform = new StandInPlatform(vertx.getDelegate(), ip(0, 100), ip(0, 100));
    for (String[] r : replicas.namesAndAddresses())
      platform.list(HollowReplicas.SERVICE, r[0], r[1], "zone-a", true);
    createProcesses(platform.address());
    List<ChildProcess> founding = new ArrayList<>();
    for (String c : controlNames())
      founding.add(
          new ChildProcess(
                  c,
                  "gladelug.control.ControlPlane",
                  List.of("bootstrap", "--settings", dir.resolve(c + ".json").toString()),
                  dir.resolve(c + ".log"),
                  64)
              .start());
    for (ChildProcess f : founding)
      if (!f.waitFor(60_000) || f.exitCode() != 0)
        throw new IllegalStateException("bootstrap failed: " + f.readLog());
    for (ChildProcess c : children.values()) c.start();
    Fleet.waitUntil(
        "the core is ready", 60_000, () -> controlNames().stream().allMatch(this::isReady));
    Fleet.waitUntil(
        "the first configuration is accepted",
        60_000,
        () -> sendChange(controlNames().get(0)) == 200);
    Fleet.waitUntil(
        "weights are set",
        60_000,
        () ->
            call(
                        controlNames().get(0),
                        "POST",
                        "/v1/weights",
                        Json.object()
                            .add("service", HollowReplicas.SERVICE)
                            .add("weights", HollowReplicas.WEIGHTS)
                            .toString())
                    .statusCode()
                == 200);
    startHollowNodes();
    replicas.startEvents(point.get(ScaleSize.EVENTS));
    awaitNodesReady();
    Fleet.waitUntil("the relay is ready", 60_000, () -> isReady("relay-1"));
    Fleet.waitUntil(
        "the index is warm",
        60_000,
        () -> {
          if (!isReady("index-1")) return false;
          JsonObject json = getJson("index-1", "/operator/status");
          return json.getBoolean("warm", false)
              && json.getInt("entries", 0) > point.get(ScaleSize.BLOCKS) * 9 / 10;
        });
  }

  private void awaitNodesReady() {
    Fleet.waitUntil(
        "every node holds the configuration and valid leases",
        60_000,
        () -> nodes.stream().allMatch(n -> n.configurationNumber() > 0 && n.hasValidLeases()));
  }

  /** Changes a size that can grow while the fleet runs, see {@link ScaleSize#canGrow}. */
  void grow(ScaleSize s, long value) throws IOException {
    point = point.with(s, value);
    switch (s) {
      case EVENTS -> replicas.setEventRate(value);
      case TENANTS, ROUTES ->
          Fleet.waitUntil(
              "a larger configuration is accepted",
              60_000,
              () -> sendChange(controlNames().get(0)) == 200);
      case LEAVES -> {
        nodes.forEach(HollowNode::stop);
        nodes.clear();
      }
      default -> {}
    }
    startHollowNodes();
    awaitNodesReady();
  }

  private List<String> controlNames() {
    return children.keySet().stream().filter(n -> n.startsWith("control")).toList();
  }

  private void createProcesses(String platform) throws IOException {
    JsonArray founders = new JsonArray(), seeds = new JsonArray();
    List<String> cs = new ArrayList<>();
    for (int i = 1; i <= size(ScaleSize.CONTROLS); i++) cs.add("control-" + i);
    for (int i = 0; i < cs.size(); i++) {
      operatorAddresses.put(cs.get(i), ports.reserveAddress(ip(0, i)));
      recordsAddresses.put(cs.get(i), ports.reserveAddress(ip(0, i)));
      founders.add(
          cs.get(i)
              + "="
              + recordsAddresses.get(cs.get(i))
              + "/"
              + operatorAddresses.get(cs.get(i)));
      seeds.add(recordsAddresses.get(cs.get(i)));
    }
    for (String c : cs)
      createProcess(
          c,
          "gladelug.control.ControlPlane",
          "run",
          ScalePoint.CONTROL_HEAP_MB,
          Json.object()
              .add("platform", platform)
              .add("bootstrapMembers", founders)
              .add("seeds", seeds)
              .add("data", dir.resolve(c + "-data").toString()));
    operatorAddresses.put("index-1", ports.reserveAddress(ip(0, 20)));
    recordsAddresses.put("index-1", ports.reserveAddress(ip(0, 20)));
    createProcess(
        "index-1",
        "gladelug.data.DataPlane",
        "index",
        point.indexHeapMb(),
        Json.object().add("seeds", seeds).add("mostHolders", 1024).add("fingerprintBits", 16));
    operatorAddresses.put("relay-1", ports.reserveAddress(ip(0, 21)));
    recordsAddresses.put("relay-1", ports.reserveAddress(ip(0, 21)));
    createProcess(
        "relay-1",
        "gladelug.data.DataPlane",
        "relay",
        ScalePoint.RELAY_HEAP_MB,
        Json.object()
            .add("seeds", seeds)
            .add("callers", ports.reserveAddress(ip(0, 21)))
            .add("index", recordsAddresses.get("index-1")));
  }

  private void createProcess(String name, String main, String command, int heapMb, JsonObject more)
      throws IOException {
    JsonObject json =
        Json.object()
            .add("name", name)
            .add("domain", "zone-a")
            .add("records", recordsAddresses.get(name))
            .add("operator", operatorAddresses.get(name))
            .add("log", "warning");
    for (JsonObject.Member m : more) json.add(m.getName(), m.getValue());
    children.put(
        name,
        new ChildProcess(
            name,
            main,
            List.of(command, "--settings", writeSettings(name, json).toString()),
            dir.resolve(name + ".log"),
            heapMb));
  }

  private void startHollowNodes() throws IOException {
    List<Address> core =
        controlNames().stream().map(c -> Address.of(recordsAddresses.get(c))).toList();
    Address index = Address.of(recordsAddresses.get("index-1"));
    for (int i = nodes.size(); i < size(ScaleSize.NODES); i++) {
      List<StateUpdate.QuotaDemand> ds = new ArrayList<>();
      int first = random.nextInt(size(ScaleSize.TENANTS));
      for (int j = 0; j < Math.min(size(ScaleSize.LEAVES), size(ScaleSize.TENANTS)); j++)
        ds.add(
            new StateUpdate.QuotaDemand(
                HollowReplicas.SERVICE, "tenant-" + (first + j) % size(ScaleSize.TENANTS), 1, 1));
      HollowNode n =
          new HollowNode(
              vertx,
              traffic,
              "hollow-" + i,
              Address.of(ports.reserveAddress(ip(100, i))),
              core,
              ds,
              List.of(new StateUpdate.ServiceCapacity(HollowReplicas.SERVICE, SLOTS_PER_NODE)),
              lookups,
              random.nextLong());
      nodes.add(n);
      n.start(index, random.nextInt(1000));
    }
  }

  /**
   * Returns the configuration of this point; each differs from the previous one in one route's
   * deadline.
   */
  private String configuration() {
    marker++;
    JsonArray ms = new JsonArray(), ts = new JsonArray();
    for (int i = 0; i < size(ScaleSize.ROUTES); i++)
      ms.add(
          Json.object()
              .add("name", "route-" + i)
              .add("path", "/route/" + i)
              .add("service", HollowReplicas.SERVICE)
              .add("expiryMs", i == 0 ? 1000 + marker % 9000 : 8000));
    for (int i = 0; i < size(ScaleSize.TENANTS); i++)
      ts.add(
          Json.object()
              .add("name", "tenant-" + i)
              .add("keys", Json.array("sha256:" + Digest.hex(seed + "/" + i)))
              .add("weight", 1 + i % 5));
    return Json.object()
        .add(
            "services",
            Json.array()
                .add(
                    (JsonValue)
                        Json.object()
                            .add("name", HollowReplicas.SERVICE)
                            .add("allow", Json.array(ADDRESS_PREFIX + "0.0/16"))))
        .add("mappings", ms)
        .add("tenants", ts)
        .toString();
  }

  private int sendChange(String at) {
    return call(at, "POST", "/v1/configuration", configuration()).statusCode();
  }

  /**
   * Sends one change and retries, as operators do, while the answer is that it was rejected or that
   * its outcome is unknown. Returns false if none was accepted in time.
   */
  private boolean sendChangeWithRetries(String at) {
    String body = configuration();
    long end = System.nanoTime() + RETRY_TIMEOUT_NS;
    while (call(at, "POST", "/v1/configuration", body).statusCode() != 200) {
      if (System.nanoTime() > end) return false;
      retries++;
      Fleet.pause(100);
    }
    return true;
  }

  private HttpResponse<String> call(String node, String method, String path, String body) {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create("http://" + operatorAddresses.get(node) + path))
            .timeout(Duration.ofSeconds(20))
            .header("If-Match", "*");
    try {
      return http.send(
          b.method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofString(body))
              .build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new IllegalStateException(node + path + ": " + e, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private boolean isReady(String node) {
    try {
      return call(node, "GET", "/ready", null).statusCode() == 200;
    } catch (IllegalStateException e) {
      return false;
    }
  }

  private JsonObject getJson(String node, String path) {
    return Json.parse(call(node, "GET", path, null).body()).asObject();
  }

  /** Returns the owner of the configuration key, or an empty string. */
  private String configurationOwner() {
    for (JsonValue value : getJson(controlNames().get(0), "/v1/status").get("keys").asArray())
      if (value.asObject().getString("key", "").equals(StateKeys.CONFIGURATION))
        return value.asObject().getString("owner", "");
    return "";
  }

  /** Loads the fleet, lets it settle, and measures it. */
  public Figures measure(int seconds, long settleMs) throws Exception {
    long lookupTimer = startLookups(point.get(ScaleSize.LOOKUPS));
    Fleet.waitUntil(
        "the configuration has an owner", 30_000, () -> !configurationOwner().isEmpty());
    String owner = configurationOwner();
    Fleet.pause(settleMs);
    lookups.reset();
    Histogram acks = new Histogram(MAX_LATENCY_US, 3);
    Map<String, ProcessMeter.Reading> before = readings(owner);
    Traffic.Count first = traffic.count();
    long asked = replicas.requestCount.sum(),
        begin = System.nanoTime(),
        end = begin + seconds * 1_000_000_000L;
    double gap = 60e9 / point.get(ScaleSize.CHANGES);
    int changes = 0;
    retries = 0;
    for (long due = begin + (long) gap; due + 1_000_000_000L / 2 < end; due += (long) gap) {
      Fleet.pause(Math.max(0, (due - System.nanoTime()) / 1_000_000));
      long t = System.nanoTime();
      if (t > end) break;
      if (!sendChangeWithRetries(owner)) continue;
      acks.recordValue((System.nanoTime() - t) / 1000);
      changes++;
    }
    Fleet.pause(Math.max(0, (end - System.nanoTime()) / 1_000_000));
    double took = (System.nanoTime() - begin) / 1e9;
    Map<String, ProcessMeter.Reading> after = readings(owner);
    Traffic.Count during = traffic.count().since(first);
    double asks = (replicas.requestCount.sum() - asked) / took;
    vertx.cancelTimer(lookupTimer);
    Fleet.pause(500);
    long pushes = traffic.count().since(first).messages().get(Traffic.Kind.POLICY);
    Map<String, Map<String, Double>> roles = new LinkedHashMap<>();
    for (String r : ScalePlan.ROLES) roles.put(r, averageFigures(r, before, after, took));
    roles.get("hollow").put("replica requests/s", asks);
    roles.get("hollow").put("changes sent again", (double) retries);
    return new Figures(point, took, roles, during, pushes, changes, acks, lookups.copy());
  }

  private long startLookups(double perSecond) {
    double[] owes = {0};
    long[] last = {System.nanoTime()};
    int[] turn = {0};
    return vertx.setPeriodic(
        10,
        i -> {
          long t = System.nanoTime();
          owes[0] = Math.min(1000, owes[0] + perSecond * (t - last[0]) / 1e9);
          last[0] = t;
          for (; owes[0] >= 1; owes[0]--) {
            int n = turn[0]++;
            nodes
                .get(n % nodes.size())
                .sendLookup(replicas.promptChain(n, SHARED_CHAIN_BLOCKS, OWN_CHAIN_BLOCKS));
          }
        });
  }

  /** Returns the resource use of each process, by role and process name. */
  private Map<String, ProcessMeter.Reading> readings(String owner) throws IOException {
    Map<String, ProcessMeter.Reading> m = new TreeMap<>();
    for (Map.Entry<String, ChildProcess> e : children.entrySet()) {
      String role =
          e.getKey().equals(owner)
              ? "core-owner"
              : e.getKey().startsWith("control") ? "core-other" : e.getKey().replace("-1", "");
      m.put(role + " " + e.getKey(), ProcessMeter.read(e.getValue().pid()));
    }
    m.put("hollow self", ProcessMeter.read(ProcessHandle.current().pid()));
    return m;
  }

  /** Returns the mean over the role's processes; for peak memory the maximum. */
  private static Map<String, Double> averageFigures(
      String role,
      Map<String, ProcessMeter.Reading> before,
      Map<String, ProcessMeter.Reading> after,
      double seconds) {
    double cpu = 0, in = 0, out = 0, disk = 0, peak = 0;
    int n = 0;
    for (Map.Entry<String, ProcessMeter.Reading> e : after.entrySet()) {
      if (!e.getKey().startsWith(role + " ")) continue;
      ProcessMeter.Reading a = before.get(e.getKey()), b = e.getValue();
      n++;
      cpu += b.cpuSeconds() - a.cpuSeconds();
      in += b.readBytes() - a.readBytes();
      out += b.writtenBytes() - a.writtenBytes();
      disk += b.diskWrittenBytes() - a.diskWrittenBytes();
      peak = Math.max(peak, b.peakKb() / 1024.0);
    }
    Map<String, Double> m = new LinkedHashMap<>();
    if (n == 0) return m;
    m.put("cpu", cpu / n / seconds);
    m.put("peak MB", peak);
    m.put("in KB/s", in / n / seconds / 1024);
    m.put("out KB/s", out / n / seconds / 1024);
    m.put("disk KB/s", disk / n / seconds / 1024);
    return m;
  }

  @Override
  public void close() {
    for (ChildProcess c : children.values()) c.kill();
    nodes.forEach(HollowNode::stop);
    if (replicas != null) replicas.stop();
    vertx.getDelegate().close().toCompletionStage().toCompletableFuture().join();
  }
}
