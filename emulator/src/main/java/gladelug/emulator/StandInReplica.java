package gladelug.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * A stand-in for a model replica, a store or an application replica, which implements the published
 * HTTP protocol of back ends. It prefills one request at a time and decodes as many as it has
 * slots, keeps prefix blocks in a bounded LRU cache, streams numbered cache events, and records
 * everything in the ledger. Its faults are set from outside; it can be killed and restarted.
 */
public final class StandInReplica {
  /** The kinds of replicas. */
  public enum Kind {
    /** It runs weights and keeps prefix blocks. */
    MODEL,
    /** It keeps the blocks that model replicas save to it. */
    STORE,
    /** It answers without weights or blocks. */
    APPLICATION
  }

  /**
   * The identity, capacity and speed of a replica.
   *
   * @param capacity the maximum number of prefix blocks that it keeps
   * @param linkMs its own part of the time that a block takes from or to another replica
   */
  public record Model(
      Kind kind,
      String service,
      String instance,
      int slots,
      int capacity,
      double msPerBlock,
      double msPerPiece,
      double linkMs) {}

  private static final List<String> OFFERED_WEIGHTS = List.of("w1", "w2", "w3", "w4");
  private static final long LOAD_WEIGHTS_MS = 1500;
  private static final long IDLE_POLL_MS = 20;
  private static final long START_TIMEOUT_MS = 20_000;
  private static final long STOP_TIMEOUT_MS = 10_000;
  private static final long PORT_RETRY_MS = 100;
  private static final int IDLE_TIMEOUT_S = 120;
  private static final int CONFLICT = 409;

  /** The service that it belongs to. */
  public final String service;

  /** Its name among the replicas of the fleet. */
  public final String instance;

  /** The kind of the replica. */
  public final Kind kind;

  /** The IP address that it listens on. */
  public final String host;

  /** The current faults. */
  public final ReplicaFaults faults = new ReplicaFaults();

  /** The port that it listens on, the same after each start; 0 before the first. */
  public volatile int port;

  /** The address that others use, if it differs from the listen address. */
  public volatile String advertised = "";

  /** The number of requests that reached it. */
  public volatile int requests;

  private final Vertx vertx;
  private final Ledger ledger;
  private final Model model;
  private final Random random;
  private final String firstWeights;
  private final ReplicaCache cache;
  private final ReplicaWork work;
  private HttpServer server;
  private volatile String weights;
  private String loadingWeights = "";
  private long commanderEpoch;
  private String commander = "";
  private boolean up;

  /** Creates a replica that is not started; {@code others} finds other replicas by name. */
  public StandInReplica(
      Vertx vertx,
      Ledger ledger,
      Model model,
      String host,
      String weights,
      long seed,
      Function<String, StandInReplica> others) {
    this.vertx = vertx;
    this.ledger = ledger;
    this.model = model;
    this.service = model.service;
    this.instance = model.instance;
    this.kind = model.kind;
    this.host = host;
    this.firstWeights = weights;
    this.weights = weights;
    this.random = new Random(seed);
    this.cache = new ReplicaCache(vertx, this, random, faults, model.capacity);
    this.work =
        new ReplicaWork(
            vertx,
            this,
            model,
            ledger,
            faults,
            cache,
            new ReplicaWork.Host() {
              @Override
              public boolean up() {
                return up;
              }

              @Override
              public String weights() {
                return StandInReplica.this.weights;
              }

              @Override
              public StandInReplica other(String name) {
                return others.apply(name);
              }
            });
  }

  /** Returns the address that others use. */
  public String address() {
    return advertised.isEmpty() ? host + ":" + port : advertised;
  }

  /** Returns the weights that it runs, or ran last while it loads others. */
  public String weights() {
    return weights;
  }

  double linkMs() {
    return model.linkMs;
  }

  /** Starts the replica with an empty cache and a new incarnation, on the same port as before. */
  public void start() {
    synchronized (this) {
      reset();
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
    HttpServer started = null;
    // the port of the previous run may not be free at once
    while (started == null) {
      try {
        started = listen();
        port = started.actualPort();
      } catch (ExecutionException | TimeoutException e) {
        if (System.nanoTime() > end) throw new IllegalStateException("stand-in " + instance, e);
        Fleet.pause(PORT_RETRY_MS);
      } catch (InterruptedException e) {
        throw new IllegalStateException("stand-in " + instance, e);
      }
    }
    synchronized (this) {
      server = started;
    }
  }

  private HttpServer listen() throws ExecutionException, InterruptedException, TimeoutException {
    HttpServerOptions options =
        new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_S).setTcpNoDelay(true);
    return vertx
        .createHttpServer(options)
        .requestHandler(this::request)
        .listen(port, host)
        .toCompletionStage()
        .toCompletableFuture()
        .get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void reset() {
    cache.dropFollowers();
    cache.clear();
    work.clear();
    loadingWeights = "";
    weights = firstWeights;
    commanderEpoch = 0;
    commander = "";
    up = true;
  }

  /** Kills the replica; all connections break at once. */
  public void kill() {
    HttpServer running;
    synchronized (this) {
      up = false;
      running = server;
      server = null;
    }
    if (running == null) return;
    CompletableFuture<Void> closed = new CompletableFuture<>();
    running.close().onComplete(result -> closed.complete(null));
    try {
      closed.get(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      throw new IllegalStateException(e);
    }
  }

  synchronized boolean hasBlock(long block) {
    return up && cache.contains(block);
  }

  /** Returns the origin of a block, or null if it is not cached. */
  synchronized ReplicaCache.Origin origin(long block) {
    return cache.origin(block);
  }

  /** Returns the number of cached blocks. */
  public synchronized int blockCount() {
    return cache.size();
  }

  /** Stores blocks that a replica saves. */
  synchronized void save(long[] blocks, ReplicaCache.Origin origin) {
    if (!up) return;
    for (long block : blocks) cache.keep(block, origin);
  }

  private synchronized void request(HttpServerRequest request) {
    if (faults.hang) return;
    switch (request.path()) {
      case "/identity" -> answer(request, identity());
      case "/occupancy" -> answer(request, occupancy());
      case "/cache/list" -> answer(request, cache.list());
      case "/cache/events" -> cache.follow(request);
      case "/orders" -> request.body().onSuccess(body -> order(request, body));
      case "/steer" -> request.body().onSuccess(body -> steer(request, body));
      default -> request.response().setStatusCode(404).end();
    }
  }

  private static void answer(HttpServerRequest request, JsonObject body) {
    request.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
  }

  private JsonObject identity() {
    return new JsonObject()
        .put("service", faults.reportWrongService ? "somebody-else" : service)
        .put("instance", instance)
        .put("weights", weights)
        .put("blockBytes", StandInContent.BLOCK_BYTES)
        .put("capacityBlocks", model.capacity)
        .put("slots", model.slots)
        .put("incarnation", cache.incarnation())
        .put("loading", !loadingWeights.isEmpty())
        .put("offers", new JsonArray(OFFERED_WEIGHTS));
  }

  private JsonObject occupancy() {
    JsonObject occupancy =
        new JsonObject()
            .put("service", service)
            .put("instance", instance)
            .put("weights", loadingWeights.isEmpty() ? weights : "")
            .put("blockBytes", StandInContent.BLOCK_BYTES);
    work.report(occupancy);
    return occupancy;
  }

  private synchronized void order(HttpServerRequest request, Buffer body) {
    if (!up) return;
    JsonObject json = body.toJsonObject();
    Ledger.Run run = runOf(json);
    ledger.addRun(run);
    requests++;
    String refusal = refusal(json);
    if (refusal.isEmpty()) {
      work.admit(request, json, run, random.nextDouble() < faults.earlyCloseRate);
    } else {
      refuse(request, json, refusal);
    }
  }

  private Ledger.Run runOf(JsonObject json) {
    return new Ledger.Run(
        StandInContent.tagOf(json.getString("prompt")),
        json.getString("order"),
        service,
        instance,
        json.getString("weights"),
        json.getString("wall"),
        json.getInteger("try"),
        System.nanoTime() / 1_000_000);
  }

  /** Returns why a request is refused, or an empty string if it is not. */
  private String refusal(JsonObject json) {
    boolean meant =
        instance.equals(json.getString("instance")) && service.equals(json.getString("service"));
    if (!meant) return "this is " + service + "/" + instance;
    if (!loadingWeights.isEmpty()) return "weights " + loadingWeights + " are being loaded";
    if (kind == Kind.MODEL && !weights.equals(json.getString("weights"))) {
      return "weights " + weights + " run here";
    }
    if (work.isFull()) return "full";
    return random.nextDouble() < faults.refusalRate ? "not now" : "";
  }

  private static void refuse(HttpServerRequest request, JsonObject json, String reason) {
    request.response().setStatusCode(CONFLICT);
    answer(
        request,
        new JsonObject()
            .put("order", json.getString("order"))
            .put("outcome", "not-run")
            .put("reason", reason));
  }

  private synchronized void steer(HttpServerRequest request, Buffer body) {
    JsonObject json = body.toJsonObject();
    long epoch = json.getLong("epoch");
    String who = json.getString("commander");
    if (epoch < commanderEpoch) {
      JsonObject refusal = new JsonObject().put("epoch", commanderEpoch);
      request.response().setStatusCode(CONFLICT).end(refusal.toBuffer());
      return;
    }
    if (epoch == commanderEpoch && !who.equals(commander)) {
      ledger.commanderConflicts.add(
          instance + ": epoch " + epoch + " used by " + commander + " and " + who);
    }
    commanderEpoch = epoch;
    commander = who;
    load(json.getString("weights", ""));
    answer(request, new JsonObject().put("epoch", commanderEpoch).put("weights", weights));
  }

  private void load(String wanted) {
    boolean known = wanted.equals(weights) || wanted.equals(loadingWeights);
    if (wanted.isEmpty() || known || !OFFERED_WEIGHTS.contains(wanted)) return;
    ledger.addNote("weights " + instance + " " + weights + "->" + wanted);
    loadingWeights = wanted;
    vertx.setTimer(LOAD_WEIGHTS_MS, timer -> loaded(wanted));
  }

  /** Switches to new weights once idle and clears the cache, which starts a new incarnation. */
  private synchronized void loaded(String wanted) {
    if (!up || !loadingWeights.equals(wanted)) return;
    if (!work.isIdle()) {
      vertx.setTimer(IDLE_POLL_MS, timer -> loaded(wanted));
      return;
    }
    weights = wanted;
    loadingWeights = "";
    cache.clear();
    cache.sendPulses();
  }
}
