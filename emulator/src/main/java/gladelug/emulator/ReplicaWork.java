package gladelug.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Runs the requests of a stand-in replica: a bounded queue in front of its slots, one prefill at a
 * time with blocks reused, fetched or computed, then a stream of pieces. All methods are called
 * under the replica's lock.
 */
final class ReplicaWork {
  /** The replica that runs the requests. */
  interface Host {
    /** Returns whether the replica is up. */
    boolean up();

    /** Returns the weights that the replica runs. */
    String weights();

    /** Returns another replica by its name, or null. */
    StandInReplica other(String name);
  }

  /** One request from its admission to its end. */
  private static final class Job {
    final HttpServerResponse response;
    final JsonObject request;
    final Ledger.Run run;
    final long[] blocks;
    final int wantedPieces;
    boolean closed;
    int pieces;

    Job(HttpServerResponse out, JsonObject json, Ledger.Run run, long[] blocks, int wantedPieces) {
      this.response = out;
      this.request = json;
      this.run = run;
      this.blocks = blocks;
      this.wantedPieces = wantedPieces;
    }
  }

  /** The number of a request's blocks by where they come from. */
  private record Prefill(int reused, int fetched, int computed) {}

  /** The number of waiting requests per slot at which the replica is full. */
  private static final int QUEUE_PER_SLOT = 2;

  /** The piece at which broken streams break. */
  private static final int BREAKING_PIECE = 2;

  /** The weight of the old value in the moving average of a link's time. */
  private static final double LINK_SMOOTHING = 0.7;

  private final Vertx vertx;
  private final Object lock;
  private final StandInReplica.Model model;
  private final Ledger ledger;
  private final ReplicaFaults faults;
  private final ReplicaCache cache;
  private final Host host;
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private final Map<String, Double> links = new HashMap<>();
  private int running;
  private double busyUntil;

  /** Creates an executor whose timers take the given lock. */
  ReplicaWork(
      Vertx vertx,
      Object lock,
      StandInReplica.Model model,
      Ledger ledger,
      ReplicaFaults faults,
      ReplicaCache cache,
      Host host) {
    this.vertx = vertx;
    this.lock = lock;
    this.model = model;
    this.ledger = ledger;
    this.faults = faults;
    this.cache = cache;
    this.host = host;
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  /** Drops all waiting and running requests, as a crash does. */
  void clear() {
    waiting.clear();
    links.clear();
    running = 0;
    busyUntil = 0;
  }

  boolean isIdle() {
    return running == 0 && waiting.isEmpty();
  }

  boolean isFull() {
    return running >= model.slots() && waiting.size() >= QUEUE_PER_SLOT * model.slots();
  }

  /** Adds the load in the format of the protocol. */
  void report(JsonObject occupancy) {
    JsonObject measured = new JsonObject();
    links.forEach(measured::put);
    occupancy
        .put("running", faults.reportInvalidLoad ? -2_000_000_000 : running)
        .put("waiting", waiting.size())
        .put("slots", model.slots())
        .put("waitMs", faults.reportInvalidLoad ? 1e30 : Math.max(0, busyUntil - now()))
        .put("msPerBlock", model.msPerBlock())
        .put("links", measured);
  }

  /** Admits a request and marks it as run. */
  void admit(HttpServerRequest request, JsonObject json, Ledger.Run run, boolean closeAtOnce) {
    run.ran = true;
    long[] blocks =
        model.kind() == StandInReplica.Kind.MODEL
            ? StandInContent.blockIds(
                model.service(), run.weights, run.wall, json.getString("prompt"))
            : new long[0];
    int wanted = StandInContent.piecesOf(run.tag, json.getInteger("maxPieces"));
    Job job = new Job(request.response(), json, run, blocks, wanted);
    job.response.closeHandler(v -> abandon(job));
    job.response.exceptionHandler(failure -> abandon(job));
    if (closeAtOnce) {
      job.closed = true;
      request.connection().close();
    } else if (running < model.slots()) {
      begin(job);
    } else {
      waiting.add(job);
    }
  }

  private void abandon(Job job) {
    synchronized (lock) {
      if (job.closed) return;
      job.closed = true;
      job.run.closedEarly = !job.run.ended;
      if (!waiting.remove(job) && !job.run.ended) finish();
    }
  }

  /**
   * Abandons the request if its connection closed before the handlers were set, which triggers no
   * event.
   */
  private boolean detectClosed(Job job) {
    if (!job.response.closed()) return false;
    abandon(job);
    return true;
  }

  private void finish() {
    running--;
    while (host.up() && running < model.slots() && !waiting.isEmpty()) {
      begin(waiting.poll());
    }
  }

  private void begin(Job job) {
    running++;
    int reused = reuse(job);
    double began = now();
    int fetched = 0;
    double fetchMs = 0;
    JsonObject hint = job.request.getJsonObject("fetch");
    if (hint != null) {
      StandInReplica from = host.other(hint.getString("from"));
      fetched = fetch(job, hint, from, reused);
      if (fetched == 0) job.run.wrongHints++;
      if (from != null) fetchMs = fetched * measuredLink(hint.getString("from"), from);
    }
    int computed = job.blocks.length - reused - fetched;
    job.run.blocks = job.blocks.length;
    job.run.reused = reused;
    job.run.fetched = fetched;
    job.run.computed = computed;
    double start = Math.max(began + fetchMs, busyUntil);
    busyUntil = start + (computed + 1) * model.msPerBlock();
    Prefill prefill = new Prefill(reused, fetched, computed);
    vertx.setTimer(Math.max(1, (long) (busyUntil - began)), timer -> prefilled(job, prefill));
  }

  /**
   * Returns how many leading blocks are cached; records reuse across weights or isolation domains.
   */
  private int reuse(Job job) {
    ReplicaCache.Origin asked = origin(job.run);
    int reused = 0;
    while (reused < job.blocks.length && cache.contains(job.blocks[reused])) {
      ReplicaCache.Origin made = cache.origin(job.blocks[reused]);
      ledger.recordReuse(job.run, made.maker());
      if (!made.sameWeightsAndWall(asked)) {
        ledger.invalidReuses.add(
            job.run.tag
                + " at "
                + model.instance()
                + ": made under "
                + made
                + ", reused under "
                + asked);
      }
      reused++;
    }
    return reused;
  }

  private static ReplicaCache.Origin origin(Ledger.Run run) {
    return new ReplicaCache.Origin(run.weights, run.wall, run.tag);
  }

  /** Returns how many of the next blocks the hint names and the other replica has. */
  private int fetch(Job job, JsonObject hint, StandInReplica from, int reused) {
    JsonArray hinted = hint.getJsonArray("blocks");
    Set<Long> named = new HashSet<>();
    for (int i = 0; i < hinted.size(); i++) {
      named.add(Long.parseUnsignedLong(hinted.getString(i), 16));
    }
    int fetched = 0;
    while (from != null
        && reused + fetched < job.blocks.length
        && named.contains(job.blocks[reused + fetched])
        && from.hasBlock(job.blocks[reused + fetched])) {
      ReplicaCache.Origin made = from.origin(job.blocks[reused + fetched]);
      if (made != null) ledger.recordReuse(job.run, made.maker());
      fetched++;
    }
    return fetched;
  }

  /** Returns the ms to fetch a block from another replica, and updates the measured link time. */
  private double measuredLink(String name, StandInReplica from) {
    double factor = Math.max(faults.linkFactor, from.faults.linkFactor);
    double perBlock = (model.linkMs() + from.linkMs()) * factor;
    links.merge(name, perBlock, (old, now) -> old * LINK_SMOOTHING + now * (1 - LINK_SMOOTHING));
    return perBlock;
  }

  private void prefilled(Job job, Prefill prefill) {
    synchronized (lock) {
      if (!host.up() || job.closed || detectClosed(job)) return;
      ReplicaCache.Origin origin = origin(job.run);
      for (long block : job.blocks) cache.keepFirst(block, origin);
      StandInReplica store = host.other("store");
      if (store != null && prefill.computed > 0) store.save(job.blocks, origin);
      job.response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
      job.response.write(head(job, prefill).encode() + "\n");
      continueStream(job);
    }
  }

  private JsonObject head(Job job, Prefill prefill) {
    JsonObject used =
        new JsonObject()
            .put("reused", prefill.reused)
            .put("fetched", prefill.fetched)
            .put("computed", prefill.computed);
    String weights = model.kind() == StandInReplica.Kind.MODEL ? host.weights() : "";
    return new JsonObject()
        .put("order", job.request.getString("order"))
        .put("instance", model.instance())
        .put("weights", faults.reportWrongWeights ? "made-up" : weights)
        .put("used", used);
  }

  private void continueStream(Job job) {
    synchronized (lock) {
      if (!host.up() || job.closed || detectClosed(job)) return;
      if (job.pieces >= job.wantedPieces) end(job);
      else if (faults.cutStreams && job.pieces == BREAKING_PIECE) cut(job);
      else if (faults.truncatePiece && job.pieces == BREAKING_PIECE) truncate(job);
      else sendNextPiece(job);
    }
  }

  private void cut(Job job) {
    job.response.reset();
    abandon(job);
  }

  private void truncate(Job job) {
    job.response.write("{\"piece\":2,\"te");
    job.response.end();
    job.run.ended = true;
    finish();
  }

  private void sendNextPiece(Job job) {
    boolean skip = faults.skipPiece && job.pieces == BREAKING_PIECE;
    int number = skip ? BREAKING_PIECE + 1 : job.pieces;
    String text = StandInContent.textOf(job.run.tag, job.pieces);
    job.response.write("{\"piece\":" + number + ",\"text\":\"" + text + "\"}\n");
    job.run.pieces = ++job.pieces;
    long wait = Math.max(1, (long) model.msPerPiece()) + faults.extraPieceDelayMs;
    vertx.setTimer(wait, timer -> continueStream(job));
  }

  private void end(Job job) {
    job.run.ended = true;
    job.response.write("{\"end\":true,\"pieces\":" + job.wantedPieces + "}\n");
    if (faults.pieceAfterEnd) {
      job.response.write("{\"piece\":" + job.wantedPieces + ",\"text\":\"after the end\"}\n");
    }
    job.response.end();
    finish();
  }
}
