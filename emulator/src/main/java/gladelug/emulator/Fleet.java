package gladelug.emulator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.emulator.ports.FreePorts;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * A complete fleet on one machine: gladelug's programs run as processes on loopback addresses, one
 * address per emulated machine, and the stand-ins run in this process.
 */
public final class Fleet implements AutoCloseable {
  public record Answer(int status, JsonObject body, Map<String, List<String>> headers) {}

  public final Deployment deployment;
  public final Path folder;
  public final Ledger ledger = new Ledger();
  public final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
  public final Map<String, StandInReplica> replicas = new LinkedHashMap<>();
  public final Map<String, ChildProcess> children = new LinkedHashMap<>();
  public final Map<String, String> operatorAddresses = new LinkedHashMap<>();
  public final Map<String, String> recordsAddresses = new LinkedHashMap<>();
  public final List<String> callerAddresses = new ArrayList<>();
  public StandInPlatform platform;
  public final LinkProxy links = new LinkProxy(vertx);
  private final HttpClient http =
      HttpClient.newBuilder()
          .connectTimeout(Duration.ofSeconds(2))
          .version(HttpClient.Version.HTTP_1_1)
          .build();
  private final FreePorts ports = new FreePorts();
  private HttpServer forbiddenServer;
  public final Set<String> frozen = ConcurrentHashMap.newKeySet();
  private int marker;

  public Fleet(Deployment deployment, Path dir, long seed, String choice) throws Exception {
    this(deployment, dir, seed, choice, "fleet");
  }

  public Fleet(Deployment deployment, Path dir, long seed, String choice, String division)
      throws Exception {
    this.deployment = deployment;
    this.folder = dir;
    Files.createDirectories(dir);
    platform = new StandInPlatform(vertx, bindIp(100), advertisedIp(100));
    links.forward(platform.address(), platform.boundAddress(), "platform");
    for (int i = 1; i <= deployment.replicas(); i++)
      addReplica(
          StandInReplica.Kind.MODEL,
          deployment.service(),
          "replica-" + i,
          20 + i,
          deployment.zone(i),
          seed * 1000 + i);
    addReplica(StandInReplica.Kind.STORE, "prefix-store", "store", 60, "zone-a", seed * 1000 + 900);
    addReplica(
        StandInReplica.Kind.APPLICATION,
        "application",
        "application-1",
        61,
        "zone-b",
        seed * 1000 + 901);
    addReplica(
        StandInReplica.Kind.APPLICATION,
        "application-two",
        "application-2",
        62,
        "zone-c",
        seed * 1000 + 902);
    forbiddenServer =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  ledger.forbiddenCalls.add(request.method() + " " + request.path());
                  request.response().setStatusCode(404).end();
                });
    String trapHost = "127." + (deployment.subnet() + 50) + ".0.9";
    int port =
        forbiddenServer
            .listen(0, trapHost)
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
    platform.list(deployment.service(), "not-allowed-1", trapHost + ":" + port, "zone-a", true);
    platform.list("ghost", "ghost-1", trapHost + ":" + port, "zone-a", true);
    createProcesses(choice, division);
  }

  public String advertisedIp(int host) {
    return "127." + deployment.subnet() + ".0." + host;
  }

  /** Returns the IP address on which a process of the host actually listens. */
  String bindIp(int host) {
    return "127." + deployment.subnet() + ".1." + host;
  }

  /** Reserves an address of a machine and forwards it to where its process will listen. */
  private String reserveAddress(int host, String machine) throws Exception {
    int port = ports.reserve(bindIp(host));
    links.registerMachine(bindIp(host), machine);
    links.forward(advertisedIp(host) + ":" + port, bindIp(host) + ":" + port, machine);
    return advertisedIp(host) + ":" + port;
  }

  /** Returns the machine that the relay and index of this number share. */
  public static String edgeMachine(int i) {
    return "edge-" + i;
  }

  public StandInReplica addReplica(
      StandInReplica.Kind kind, String service, String instance, int host, String zone, long seed)
      throws Exception {
    StandInReplica r =
        new StandInReplica(
            vertx,
            ledger,
            modelOf(kind, service, instance),
            bindIp(host),
            kind == StandInReplica.Kind.MODEL ? "w1" : "",
            seed,
            replicas::get);
    r.start();
    r.advertised = advertisedIp(host) + ":" + r.port;
    links.forward(r.advertised, bindIp(host) + ":" + r.port, instance);
    replicas.put(instance, r);
    platform.list(service, instance, r.address(), zone, true);
    return r;
  }

  private static StandInReplica.Model modelOf(
      StandInReplica.Kind kind, String service, String instance) {
    return switch (kind) {
      case MODEL -> new StandInReplica.Model(kind, service, instance, 6, 1500, 4, 6, 0.3);
      case STORE -> new StandInReplica.Model(kind, service, instance, 6, 6000, 4, 6, 0.3);
      case APPLICATION -> new StandInReplica.Model(kind, service, instance, 64, 0, 1, 6, 0.3);
    };
  }

  private void createProcesses(String choice, String division) throws Exception {
    List<String> controls = List.of("control-1", "control-2", "control-3");
    for (int i = 0; i < 3; i++) {
      operatorAddresses.put(controls.get(i), reserveAddress(i + 1, controls.get(i)));
      recordsAddresses.put(controls.get(i), reserveAddress(i + 1, controls.get(i)));
    }
    JsonArray founders = new JsonArray(), seeds = new JsonArray();
    for (String c : controls) {
      founders.add(c + "=" + recordsAddresses.get(c) + "/" + operatorAddresses.get(c));
      seeds.add(recordsAddresses.get(c));
    }
    for (int i = 0; i < 3; i++) {
      String c = controls.get(i);
      Path path =
          writeSettings(
              c,
              Json.object()
                  .add("name", c)
                  .add("domain", deployment.zone(i))
                  .add("records", recordsAddresses.get(c))
                  .add("bind", bindIp(i + 1))
                  .add("operator", operatorAddresses.get(c))
                  .add("platform", platform.address())
                  .add("bootstrapMembers", founders)
                  .add("seeds", seeds)
                  .add("data", folder.resolve(c + "-data").toString()));
      children.put(
          c,
          new ChildProcess(
              c,
              "gladelug.control.ControlPlane",
              List.of("run", "--settings", path.toString()),
              folder.resolve(c + ".log"),
              160));
    }
    List<String> indexes = new ArrayList<>();
    for (int i = 1; i <= deployment.indexes(); i++) {
      String n = "index-" + i;
      operatorAddresses.put(n, reserveAddress(3 + i, edgeMachine(i)));
      recordsAddresses.put(n, reserveAddress(3 + i, edgeMachine(i)));
      indexes.add(recordsAddresses.get(n));
      Path path =
          writeSettings(
              n,
              Json.object()
                  .add("name", n)
                  .add("domain", deployment.zone(i))
                  .add("records", recordsAddresses.get(n))
                  .add("bind", bindIp(3 + i))
                  .add("operator", operatorAddresses.get(n))
                  .add("seeds", seeds));
      children.put(
          n,
          new ChildProcess(
              n,
              "gladelug.data.DataPlane",
              List.of("index", "--settings", path.toString()),
              folder.resolve(n + ".log"),
              128));
    }
    for (int i = 1; i <= deployment.relays(); i++) {
      String n = "relay-" + i;
      operatorAddresses.put(n, reserveAddress(3 + i, edgeMachine(i)));
      recordsAddresses.put(n, reserveAddress(3 + i, edgeMachine(i)));
      String c = reserveAddress(3 + i, edgeMachine(i));
      callerAddresses.add(c);
      JsonObject json =
          Json.object()
              .add("name", n)
              .add("domain", deployment.zone(i))
              .add("records", recordsAddresses.get(n))
              .add("bind", bindIp(3 + i))
              .add("operator", operatorAddresses.get(n))
              .add("callers", c)
              .add("seeds", seeds)
              .add("choice", choice)
              .add("division", division);
      if (i <= indexes.size()) json.add("index", indexes.get(i - 1));
      Path path = writeSettings(n, json);
      children.put(
          n,
          new ChildProcess(
              n,
              "gladelug.data.DataPlane",
              List.of("relay", "--settings", path.toString()),
              folder.resolve(n + ".log"),
              160));
    }
  }

  /** Adds a control machine with an empty disk, whose process is not yet started. */
  public ChildProcess addControlMachine(String name, int host) throws Exception {
    operatorAddresses.put(name, reserveAddress(host, name));
    recordsAddresses.put(name, reserveAddress(host, name));
    JsonArray seeds = new JsonArray();
    for (String c : recordsAddresses.keySet())
      if (!c.equals(name) && (c.startsWith("relay") || c.startsWith("control")))
        seeds.add(recordsAddresses.get(c));
    Path path =
        writeSettings(
            name,
            Json.object()
                .add("name", name)
                .add("domain", "zone-a")
                .add("records", recordsAddresses.get(name))
                .add("bind", bindIp(host))
                .add("operator", operatorAddresses.get(name))
                .add("platform", platform.address())
                .add("seeds", seeds)
                .add("data", folder.resolve(name + "-data-" + host).toString()));
    ChildProcess c =
        new ChildProcess(
            name,
            "gladelug.control.ControlPlane",
            List.of("run", "--settings", path.toString()),
            folder.resolve(name + ".log"),
            160);
    children.put(name, c);
    return c;
  }

  /** Deletes the data folder of a control machine. */
  public void loseDisk(String name) throws IOException {
    String data =
        Json.parse(Files.readString(folder.resolve(name + ".json")))
            .asObject()
            .getString("data", "");
    try (Stream<Path> all = Files.walk(Path.of(data))) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) Files.delete(path);
    }
  }

  private Path writeSettings(String name, JsonObject json) throws IOException {
    Path path = folder.resolve(name + ".json");
    Files.writeString(path, json.toString());
    return path;
  }

  /**
   * Bootstraps the core, starts every process, sends the first configuration and weights, and waits
   * until every relay is ready.
   */
  public void start() throws Exception {
    bootstrap();
    for (ChildProcess c : children.values()) c.start();
    awaitServing();
  }

  /** Prepares the data folders of the first members of the core. */
  void bootstrap() throws Exception {
    for (int i = 1; i <= 3; i++) {
      String c = "control-" + i;
      ChildProcess found =
          new ChildProcess(
                  c,
                  "gladelug.control.ControlPlane",
                  List.of("bootstrap", "--settings", folder.resolve(c + ".json").toString()),
                  folder.resolve(c + ".log"),
                  64)
              .start();
      if (!found.waitFor(60_000) || found.exitCode() != 0)
        throw new IllegalStateException("bootstrap failed: " + found.readLog());
    }
  }

  /** Waits for the core, sends the first configuration and weights, and waits for the relays. */
  void awaitServing() {
    awaitReady("all control machines are ready", "control");
    waitUntil(
        "the first configuration is accepted",
        30_000,
        () -> {
          Answer a = sendStandardConfiguration(List.of(), "*");
          return a.status == 200;
        });
    waitUntil("weights are set", 30_000, () -> setWeights("w1").status == 200);
    awaitReady("every relay is ready", "relay");
  }

  /** Waits until all processes whose names begin so are ready; a failure describes the others. */
  private void awaitReady(String what, String prefix) {
    List<String> names = children.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
    try {
      waitUntil(what, 60_000, () -> names.stream().allMatch(this::isReady));
    } catch (IllegalStateException timeout) {
      throw new IllegalStateException(timeout.getMessage() + "; " + describeUnready(names));
    }
  }

  private String describeUnready(List<String> names) {
    StringBuilder text = new StringBuilder();
    for (String name : names) {
      Answer ready = http(operatorAddresses.get(name), "GET", "/ready", null, Map.of());
      if (ready.status == 200) continue;
      text.append(name + " answers " + ready.status + " " + ready.body + ", ");
      text.append(children.get(name).describe() + "\n");
    }
    return text.toString();
  }

  public Answer sendStandardConfiguration(List<String> without, String match) {
    return call(
        "POST",
        "/v1/configuration",
        deployment.configuration(++marker, without).toString(),
        Map.of("If-Match", match));
  }

  /** Sends a complete configuration to the first control machine that answers. */
  public Answer sendConfiguration(JsonObject configuration, String match) {
    return call("POST", "/v1/configuration", configuration.toString(), Map.of("If-Match", match));
  }

  public int nextMarker() {
    return ++marker;
  }

  public Answer setWeights(String w) {
    return call(
        "POST",
        "/v1/weights",
        Json.object().add("service", deployment.service()).add("weights", w).toString(),
        Map.of());
  }

  /** Calls the first control machine that answers with a status other than 503. */
  public Answer call(String method, String path, String body, Map<String, String> headers) {
    Answer last = new Answer(0, new JsonObject(), Map.of());
    for (String c : children.keySet()) {
      if (!c.startsWith("control") || !children.get(c).isAlive() || frozen.contains(c)) continue;
      last = http(operatorAddresses.get(c), method, path, body, headers);
      if (last.status != 0 && last.status != 503) return last;
    }
    return last;
  }

  public Answer http(
      String address, String method, String path, String body, Map<String, String> headers) {
    try {
      HttpRequest.Builder b =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofSeconds(20));
      headers.forEach(b::header);
      HttpResponse<String> r =
          http.send(
              b.method(
                      method,
                      body == null
                          ? HttpRequest.BodyPublishers.noBody()
                          : HttpRequest.BodyPublishers.ofString(body))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      JsonObject json;
      try {
        json = Json.parse(r.body()).asObject();
      } catch (RuntimeException e) {
        json = Json.object().add("text", r.body());
      }
      return new Answer(r.statusCode(), json, r.headers().map());
    } catch (IOException e) {
      return new Answer(0, Json.object().add("reason", e.toString()), Map.of());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, new JsonObject(), Map.of());
    }
  }

  /**
   * Returns the owner of a key of the control state as reported by the core, or the first member if
   * nobody owns it.
   */
  public String ownerOf(String key) {
    JsonValue keys = call("GET", "/v1/status", null, Map.of()).body().get("keys");
    if (keys != null) {
      for (JsonValue one : keys.asArray()) {
        String owner = one.asObject().getString("owner", "");
        if (one.asObject().getString("key", "").equals(key) && !owner.isEmpty()) return owner;
      }
    }
    return members().get(0);
  }

  /**
   * Returns the names of the core's members as reported by the core; empty if it does not answer.
   */
  public List<String> members() {
    List<String> names = new ArrayList<>();
    JsonValue members = call("GET", "/v1/status", null, Map.of()).body().get("members");
    if (members != null) {
      for (JsonValue member : members.asArray()) {
        names.add(member.asObject().getString("name", ""));
      }
    }
    return names;
  }

  public boolean isReady(String node) {
    return http(operatorAddresses.get(node), "GET", "/ready", null, Map.of()).status == 200;
  }

  public static void waitUntil(String what, long timeoutMs, BooleanSupplier condition) {
    long end = System.nanoTime() + timeoutMs * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end)
        throw new IllegalStateException("timed out waiting until " + what);
      pause(50);
    }
  }

  public static void pause(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    for (ChildProcess c : children.values()) c.kill();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
