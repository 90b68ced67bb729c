package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.MemoryBudget;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.BoundedHttpClient;
import gladelug.common.connection.BufferedHttpResponse;
import gladelug.data.state.ControlStateSnapshot;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.mutiny.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The replicas of the current snapshot and their state. Replicas that report their load are polled
 * several times a second. Only services in the configuration are called, at the endpoints it
 * allows; this holds for polling as well. Confined to the request thread.
 */
public final class Backends {
  /** Asks a replica for its load; the callback receives the answer, or null if there was none. */
  public interface LoadProbe {
    void load(Replica replica, Consumer<io.vertx.core.json.JsonObject> onAnswer);
  }

  /** Interval at which replicas are polled, in ms. */
  public static final long POLL_INTERVAL_MS = 250;

  private static final int MAX_LOAD_ANSWER_BYTES = 1 << 16, LOAD_TIMEOUT_MS = 1000;
  private final Clock clock;
  private final LoadProbe loadProbe;
  private final Runnable onChange;
  private final Map<String, Backend> byInstance = new HashMap<>();
  private Map<String, List<Backend>> byService = Map.of();

  /**
   * Creates the set of replicas.
   *
   * @param loadProbe null if replicas do not report and are known only from the list and their
   *     answers
   */
  public Backends(Clock clock, LoadProbe loadProbe, Runnable onChange) {
    this.clock = clock;
    this.onChange = onChange;
    this.loadProbe = loadProbe;
  }

  static Backends overHttp(Vertx vertx, BindAddress localAddress, Clock clock, Runnable onChange) {
    BoundedHttpClient calls =
        new BoundedHttpClient(
            vertx.getDelegate(),
            localAddress.withLocalAddress(
                new HttpClientOptions()
                    .setConnectTimeout(500)
                    .setMaxPoolSize(2)
                    .setKeepAlive(true)),
            MemoryBudget.forResponses());
    Backends backends =
        new Backends(
            clock,
            (replica, onAnswer) ->
                calls
                    .send(loadRequest(replica), MAX_LOAD_ANSWER_BYTES, LOAD_TIMEOUT_MS)
                    .subscribe()
                    .with(
                        answer -> onAnswer.accept(parseLoad(answer)),
                        failure -> onAnswer.accept(null)),
            onChange);
    vertx.setPeriodic(POLL_INTERVAL_MS, timer -> backends.pollAll());
    return backends;
  }

  private static RequestOptions loadRequest(Replica replica) {
    return new RequestOptions()
        .setHost(replica.address().host())
        .setPort(replica.address().port())
        .setURI("/occupancy");
  }

  /** Returns the load in a replica's answer, or an empty object if the answer is malformed. */
  private static io.vertx.core.json.JsonObject parseLoad(BufferedHttpResponse answer) {
    try (answer) {
      return answer.status() == 200
          ? new io.vertx.core.json.JsonObject(answer.body())
          : new io.vertx.core.json.JsonObject();
    } catch (DecodeException malformed) {
      return new io.vertx.core.json.JsonObject();
    }
  }

  public void pollAll() {
    for (Backend backend : byInstance.values()) poll(backend);
  }

  /** Applies the replicas of a new snapshot. */
  public void applySnapshot(ControlStateSnapshot snapshot) {
    Set<String> listedInstances = new HashSet<>();
    Map<String, List<Backend>> readyByService = new HashMap<>();
    for (Replica replica : snapshot.replicas().all) {
      Configuration.Service service = snapshot.configuration().service(replica.service());
      if (service == null
          || service.kind() == Configuration.Kind.STORE
          || !service.allows(replica.address())) continue;
      listedInstances.add(replica.instance());
      Backend backend = byInstance.get(replica.instance());
      if (backend == null
          || !backend.replica.address().equals(replica.address())
          || !backend.replica.service().equals(replica.service())) {
        byInstance.put(replica.instance(), backend = new Backend(replica, loadProbe != null));
        if (loadProbe != null) poll(backend);
      }
      backend.replica = replica;
      if (loadProbe == null) backend.applyListing(replica, service, clock.now());
      if (replica.ready())
        readyByService.computeIfAbsent(replica.service(), name -> new ArrayList<>()).add(backend);
    }
    // an unlisted replica gets no new requests but is polled while requests of this relay run
    // there
    for (Backend backend : byInstance.values()) {
      Configuration.Service service = snapshot.configuration().service(backend.replica.service());
      if (backend.ownRequests > 0 && service != null && service.allows(backend.replica.address()))
        listedInstances.add(backend.replica.instance());
    }
    byInstance.keySet().retainAll(listedInstances);
    byService = readyByService;
    onChange.run();
  }

  /** Returns the replicas of a service that are listed as ready. */
  public List<Backend> readyReplicas(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the newest weights that replicas report for a model, or an empty string. */
  public String newestWeights(String model) {
    return newestWeightsBefore(model, "");
  }

  /**
   * Returns the newest reported weights older than the given ones; with an empty bound, the newest
   * of all.
   */
  public String newestWeightsBefore(String model, String below) {
    String newest = "";
    for (Backend backend : byInstance.values()) {
      String weights = backend.reportedWeights(model);
      if (!weights.isEmpty()
          && (below.isEmpty() || Backend.isNewer(below, weights))
          && (newest.isEmpty() || Backend.isNewer(weights, newest))) newest = weights;
    }
    return newest;
  }

  /** Returns the number of free slots at the matching replicas of a service. */
  public int freeSlots(String service, Predicate<Backend> filter) {
    long nowMs = clock.now();
    int slots = 0;
    for (Backend backend : readyReplicas(service))
      if (backend.isUsable(nowMs) && filter.test(backend)) slots += backend.freeSlots();
    return slots;
  }

  private void poll(Backend backend) {
    int ownRequestsAtPoll = backend.ownRequests;
    loadProbe.load(
        backend.replica,
        json -> {
          if (byInstance.get(backend.replica.instance()) != backend) return;
          if (json == null) Log.fine("occupancy-silent", "instance", backend.replica.instance());
          else applyReport(backend, json, ownRequestsAtPoll);
        });
  }

  private void applyReport(
      Backend backend, io.vertx.core.json.JsonObject json, int ownRequestsAtPoll) {
    try {
      if (!backend.replica.instance().equals(json.getString("instance"))
          || !backend.replica.service().equals(json.getString("service"))) {
        backend.stateKnown = false;
        return;
      }
      backend.weightsByModel =
          new HashMap<>(Map.of(backend.replica.service(), json.getString("weights", "")));
      backend.slots = clamp(json.getInteger("slots", 1), 1, 4096);
      backend.blockBytes = clamp(json.getInteger("blockBytes", 256), 16, 65536);
      backend.computeMsPerUnit =
          Math.max(0.001, Math.min(10_000, json.getDouble("msPerBlock", 1.0)));
      backend.reportedWaitMs = Math.max(0, Math.min(600_000, json.getDouble("waitMs", 0.0)));
      backend.reportedRequests =
          clamp(json.getInteger("running", 0) + json.getInteger("waiting", 0), 0, 100_000);
      backend.ownRequestsAtReport = ownRequestsAtPoll;
      backend.addedWorkMs = 0;
      Map<String, Double> linkMs = new HashMap<>();
      io.vertx.core.json.JsonObject links = json.getJsonObject("links");
      if (links != null)
        for (String holder : links.fieldNames())
          linkMs.put(holder, Math.max(0.001, links.getDouble(holder)));
      backend.linkMsByHolder = linkMs;
      backend.stateKnown = true;
      backend.reportedAtMs = clock.now();
      onChange.run();
    } catch (RuntimeException e) {
      backend.stateKnown = false;
      Log.fine("occupancy-malformed", "instance", backend.replica.instance());
    }
  }

  private static int clamp(int value, int min, int max) {
    return Math.max(min, Math.min(max, value));
  }

  /** Returns the state of all replicas for the status endpoint. */
  public JsonObject json() {
    long nowMs = clock.now();
    JsonObject json = Json.object();
    for (Backend backend : byInstance.values())
      json.add(
          backend.replica.instance(),
          Json.object()
              .add("service", backend.replica.service())
              .add("weights", String.join(",", backend.weightsByModel.values()))
              .add("ready", backend.replica.ready())
              .add("usable", backend.isUsable(nowMs))
              .add("mine", backend.ownRequests)
              .add("load", backend.load())
              .add("slots", backend.slots)
              .add("toldMsAgo", Math.min(1 << 30, nowMs - backend.reportedAtMs)));
    return json;
  }
}
