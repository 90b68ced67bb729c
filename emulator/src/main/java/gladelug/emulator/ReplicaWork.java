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
 * The requests that a stand-in replica runs: a bounded queue before its slots, one prefill at a
 * time with blocks reused, fetched or computed, then a stream of pieces. All methods are called
 * under the replica's lock.
 *
 * <p>The queue, slots and streams of one stand-in replica.
 */
final class ReplicaWork {
  /** What the work asks of the replica that it belongs to. */
  interface Host {
    /** Whether the replica lives. */
    boolean up();

    /** The weights that the replica runs. */
    String weights();

    /** Another replica by its name, or null. */
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

  /** Where a request's blocks come from. */
  private record Prefill(int reused, int fetched, int computed) {}

  /** Waiting requests a slot before the replica is full. */
  private static final int QUEUE_PER_SLOT = 2;

  /** The piece at which broken streams break. */
  private static final int BREAKING_PIECE = 2;

  /** The part of a link's measured time that stays when it is measured again. */
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

  /** Timers take the given lock before they go on with a request. */
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

  /** Nothing waits or runs any more, as after a crash. */
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

  /** The load, as the protocol tells it. */
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

  /** Takes a request that is to run; it is marked as run from here on. */
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

  /** A connection that closed before its handlers were set tells nobody. */
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

  /** How many of the first blocks are here; reuse over weights or walls is noted. */
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

  /** How many of the next blocks the hint names and the other replica has. */
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

  /** The milliseconds a block takes from another replica, noted as measured. */
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
