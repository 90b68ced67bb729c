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
  public interface Asker {
    void load(Replica of, Consumer<io.vertx.core.json.JsonObject> told);
  }

  public static final long PERIOD = 250;
  private static final int LOAD_BYTES = 1 << 16, LOAD_MS = 1000;
  private final Clock clock;
  private final Asker asker;
  private final Runnable changed;
  private final Map<String, Backend> all = new HashMap<>();
  private Map<String, List<Backend>> byService = Map.of();

  /** asker is null where replicas don't report and are known by the list and their answers. */
  public Backends(Clock clock, Asker asker, Runnable changed) {
    this.clock = clock;
    this.changed = changed;
    this.asker = asker;
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
                    .send(loadCall(replica), LOAD_BYTES, LOAD_MS)
                    .subscribe()
                    .with(answer -> told.accept(load(answer)), failure -> told.accept(null)),
            changed);
    vertx.setPeriodic(PERIOD, i -> b.askAll());
    return b;
  }

  private static RequestOptions loadCall(Replica replica) {
    return new RequestOptions()
        .setHost(replica.address().host())
        .setPort(replica.address().port())
        .setURI("/occupancy");
  }

  /** What a replica says of its load; empty where that makes no sense. */
  private static io.vertx.core.json.JsonObject load(BufferedHttpResponse answer) {
    try (answer) {
      return answer.status() == 200
          ? new io.vertx.core.json.JsonObject(answer.body())
          : new io.vertx.core.json.JsonObject();
    } catch (DecodeException malformed) {
      return new io.vertx.core.json.JsonObject();
    }
  }

  public void askAll() {
    for (Backend backend : all.values()) ask(backend);
  }

  public void tables(ControlStateSnapshot snapshot) {
    Set<String> listed = new HashSet<>();
    Map<String, List<Backend>> by = new HashMap<>();
    for (Replica r : snapshot.replicas().all) {
      Configuration.Service s = snapshot.configuration().service(r.service());
      if (s == null || s.kind() == Configuration.Kind.STORE || !s.allows(r.address())) continue;
      listed.add(r.instance());
      Backend backend = all.get(r.instance());
      if (backend == null
          || !backend.replica.address().equals(r.address())
          || !backend.replica.service().equals(r.service())) {
        all.put(r.instance(), backend = new Backend(r, asker != null));
        if (asker != null) ask(backend);
      }
      backend.replica = r;
      if (asker == null) backend.listed(r, s, clock.now());
      if (r.ready()) by.computeIfAbsent(r.service(), x -> new ArrayList<>()).add(backend);
    }
    // who is listed no more gets nothing new, but is asked on while requests of ours run there
    for (Backend backend : all.values()) {
      Configuration.Service s = snapshot.configuration().service(backend.replica.service());
      if (backend.mine > 0 && s != null && s.allows(backend.replica.address()))
        listed.add(backend.replica.instance());
    }
    all.keySet().retainAll(listed);
    byService = by;
    changed.run();
  }

  public List<Backend> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Of the weights replicas tell of for a model, the newest; empty where none does. */
  public String newest(String model) {
    return newestBelow(model, "");
  }

  /** The newest that come before those given; any where those are empty. */
  public String newestBelow(String model, String below) {
    String best = "";
    for (Backend backend : all.values()) {
      String w = backend.weights(model);
      if (!w.isEmpty()
          && (below.isEmpty() || Backend.newer(below, w))
          && (best.isEmpty() || Backend.newer(w, best))) best = w;
    }
    return best;
  }

  /** Places free at those replicas of a service. */
  public int free(String service, Predicate<Backend> which) {
    long t = clock.now();
    int n = 0;
    for (Backend backend : of(service))
      if (backend.usable(t) && which.test(backend)) n += backend.free();
    return n;
  }

  private void ask(Backend backend) {
    int mine = backend.mine;
    asker.load(
        backend.replica,
        json -> {
          if (all.get(backend.replica.instance()) != backend) return;
          if (json == null) Log.fine("occupancy-silent", "instance", backend.replica.instance());
          else told(backend, json, mine);
        });
  }

  private void told(Backend backend, io.vertx.core.json.JsonObject json, int mine) {
    try {
      if (!backend.replica.instance().equals(json.getString("instance"))
          || !backend.replica.service().equals(json.getString("service"))) {
        backend.known = false;
        return;
      }
      backend.weights =
          new HashMap<>(Map.of(backend.replica.service(), json.getString("weights", "")));
      backend.slots = within(json.getInteger("slots", 1), 1, 4096);
      backend.blockBytes = within(json.getInteger("blockBytes", 256), 16, 65536);
      backend.unitMs = Math.max(0.001, Math.min(10_000, json.getDouble("msPerBlock", 1.0)));
      backend.waitMs = Math.max(0, Math.min(600_000, json.getDouble("waitMs", 0.0)));
      backend.reported =
          within(json.getInteger("running", 0) + json.getInteger("waiting", 0), 0, 100_000);
      backend.mineAtReport = mine;
      backend.addedMs = 0;
      Map<String, Double> l = new HashMap<>();
      io.vertx.core.json.JsonObject links = json.getJsonObject("links");
      if (links != null)
        for (String k : links.fieldNames()) l.put(k, Math.max(0.001, links.getDouble(k)));
      backend.links = l;
      backend.known = true;
      backend.reportedAt = clock.now();
      changed.run();
    } catch (RuntimeException e) {
      backend.known = false;
      Log.fine("occupancy-malformed", "instance", backend.replica.instance());
    }
  }

  private static int within(int v, int lo, int hi) {
    return Math.max(lo, Math.min(hi, v));
  }

  public JsonObject json() {
    long t = clock.now();
    JsonObject json = Json.object();
    for (Backend backend : all.values())
      json.add(
          backend.replica.instance(),
          Json.object()
              .add("service", backend.replica.service())
              .add("weights", String.join(",", backend.weights.values()))
              .add("ready", backend.replica.ready())
              .add("usable", backend.usable(t))
              .add("mine", backend.mine)
              .add("load", backend.load())
              .add("slots", backend.slots)
              .add("toldMsAgo", Math.min(1 << 30, t - backend.reportedAt)));
    return json;
  }
}
