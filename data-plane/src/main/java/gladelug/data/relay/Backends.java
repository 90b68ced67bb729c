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
 * The replicas of this relay's snapshot with their state: those that report are polled for identity
 * and load a few times a second. Only services the configuration lists, at endpoints it allows, are
 * ever called, this polling included. Confined to the request thread.
 */
public final class Backends {
  /** Asks a replica for its load; told is given the answer, or null where none came. */
  public interface LoadProbe {
    void load(Replica of, Consumer<io.vertx.core.json.JsonObject> told);
  }

  public static final long POLL_INTERVAL_MS = 250;
  private static final int MAX_LOAD_ANSWER_BYTES = 1 << 16, LOAD_TIMEOUT_MS = 1000;
  private final Clock clock;
  private final LoadProbe loadProbe;
  private final Runnable onChange;
  private final Map<String, Backend> byInstance = new HashMap<>();
  private Map<String, List<Backend>> byService = Map.of();

  /** asker is null where replicas don't report and are known by the list and their answers. */
  public Backends(Clock clock, LoadProbe asker, Runnable changed) {
    this.clock = clock;
    this.onChange = changed;
    this.loadProbe = asker;
  }

  static Backends overHttp(Vertx vertx, BindAddress local, Clock clock, Runnable changed) {
    BoundedHttpClient calls =
        new BoundedHttpClient(
            vertx.getDelegate(),
            local.withLocalAddress(
                new HttpClientOptions()
                    .setConnectTimeout(500)
                    .setMaxPoolSize(2)
                    .setKeepAlive(true)),
            MemoryBudget.forResponses());
    Backends b =
        new Backends(
            clock,
            (replica, told) ->
                calls
                    .send(loadRequest(replica), MAX_LOAD_ANSWER_BYTES, LOAD_TIMEOUT_MS)
                    .subscribe()
                    .with(answer -> told.accept(parseLoad(answer)), failure -> told.accept(null)),
            changed);
    vertx.setPeriodic(POLL_INTERVAL_MS, i -> b.pollAll());
    return b;
  }

  private static RequestOptions loadRequest(Replica replica) {
    return new RequestOptions()
        .setHost(replica.address().host())
        .setPort(replica.address().port())
        .setURI("/occupancy");
  }

  /** What a replica says of its load; empty where that makes no sense. */
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

  public void applySnapshot(ControlStateSnapshot snapshot) {
    Set<String> listed = new HashSet<>();
    Map<String, List<Backend>> by = new HashMap<>();
    for (Replica r : snapshot.replicas().all) {
      Configuration.Service s = snapshot.configuration().service(r.service());
      if (s == null || s.kind() == Configuration.Kind.STORE || !s.allows(r.address())) continue;
      listed.add(r.instance());
      Backend backend = byInstance.get(r.instance());
      if (backend == null
          || !backend.replica.address().equals(r.address())
          || !backend.replica.service().equals(r.service())) {
        byInstance.put(r.instance(), backend = new Backend(r, loadProbe != null));
        if (loadProbe != null) poll(backend);
      }
      backend.replica = r;
      if (loadProbe == null) backend.applyListing(r, s, clock.now());
      if (r.ready()) by.computeIfAbsent(r.service(), x -> new ArrayList<>()).add(backend);
    }
    // who is listed no more gets nothing new, but is asked on while requests of ours run there
    for (Backend backend : byInstance.values()) {
      Configuration.Service s = snapshot.configuration().service(backend.replica.service());
      if (backend.ownRequests > 0 && s != null && s.allows(backend.replica.address()))
        listed.add(backend.replica.instance());
    }
    byInstance.keySet().retainAll(listed);
    byService = by;
    onChange.run();
  }

  public List<Backend> readyReplicas(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Of the weights replicas tell of for a model, the newest; empty where none does. */
  public String newestWeights(String model) {
    return newestWeightsBefore(model, "");
  }

  /** The newest that come before those given; any where those are empty. */
  public String newestWeightsBefore(String model, String below) {
    String best = "";
    for (Backend backend : byInstance.values()) {
      String w = backend.reportedWeights(model);
      if (!w.isEmpty()
          && (below.isEmpty() || Backend.isNewer(below, w))
          && (best.isEmpty() || Backend.isNewer(w, best))) best = w;
    }
    return best;
  }

  /** Places free at those replicas of a service. */
  public int freeSlots(String service, Predicate<Backend> which) {
    long t = clock.now();
    int n = 0;
    for (Backend backend : readyReplicas(service))
      if (backend.isUsable(t) && which.test(backend)) n += backend.freeSlots();
    return n;
  }

  private void poll(Backend backend) {
    int mine = backend.ownRequests;
    loadProbe.load(
        backend.replica,
        json -> {
          if (byInstance.get(backend.replica.instance()) != backend) return;
          if (json == null) Log.fine("occupancy-silent", "instance", backend.replica.instance());
          else applyReport(backend, json, mine);
        });
  }

  private void applyReport(Backend backend, io.vertx.core.json.JsonObject json, int mine) {
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
      backend.ownRequestsAtReport = mine;
      backend.addedWorkMs = 0;
      Map<String, Double> l = new HashMap<>();
      io.vertx.core.json.JsonObject links = json.getJsonObject("links");
      if (links != null)
        for (String k : links.fieldNames()) l.put(k, Math.max(0.001, links.getDouble(k)));
      backend.linkMsByHolder = l;
      backend.stateKnown = true;
      backend.reportedAtMs = clock.now();
      onChange.run();
    } catch (RuntimeException e) {
      backend.stateKnown = false;
      Log.fine("occupancy-malformed", "instance", backend.replica.instance());
    }
  }

  private static int clamp(int v, int lo, int hi) {
    return Math.max(lo, Math.min(hi, v));
  }

  public JsonObject json() {
    long t = clock.now();
    JsonObject json = Json.object();
    for (Backend backend : byInstance.values())
      json.add(
          backend.replica.instance(),
          Json.object()
              .add("service", backend.replica.service())
              .add("weights", String.join(",", backend.weightsByModel.values()))
              .add("ready", backend.replica.ready())
              .add("usable", backend.isUsable(t))
              .add("mine", backend.ownRequests)
              .add("load", backend.load())
              .add("slots", backend.slots)
              .add("toldMsAgo", Math.min(1 << 30, t - backend.reportedAtMs)));
    return json;
  }
}
