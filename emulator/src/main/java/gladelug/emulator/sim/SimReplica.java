package gladelug.emulator.sim;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.emulator.Ledger;
import gladelug.emulator.StandInContent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * A model or application replica in the simulated world: prefills one request at a time, decodes up
 * to its slots, keeps prefix blocks under the weights and wall they were made with, tells cache
 * events, loads weights when steered, and writes all it does into the ledger. It can crash, vanish
 * (nobody is told), hang, refuse requests, break streams, send bytes after its end.
 */
final class SimReplica {
  static final int BLOCK = 16;
  private static final int SLOTS = 4, CAPACITY = 48, MS_BLOCK = 4, MS_PIECE = 6, LOAD_MS = 1200;

  /** What a block was made under, and the tag of the request that made it first. */
  private record Kept(String weights, String wall, String maker) {}

  /** One request as it has it. */
  static final class Job {
    final SimConnections.Line line;
    final JsonObject in;
    final Ledger.Run run;
    int pieces;
    boolean gone;

    Job(SimConnections.Line line, JsonObject json, Ledger.Run run) {
      this.line = line;
      this.in = json;
      this.run = run;
    }
  }

  private final RequestSim sim;
  final String service;
  final String instance;
  final Address address;
  final boolean model;
  String weights;
  private String loading = "";
  boolean up = true;
  boolean hung;

  /** A machine that vanished: nothing is answered and no connection is told. */
  boolean vanished;

  int life;
  double notRun;
  double cutStreams;
  boolean lateBytes;

  /** How often an answer is sent a second time, at once or within so many ms. */
  double repeatsAnswers;

  long repeatsWithinMs = 1;
  boolean neverLoads;

  /** Hears nothing of its commander. */
  boolean deaf;

  private final LinkedHashMap<Long, Kept> kept = new LinkedHashMap<>(64, 0.75f, true);
  private final List<Job> running = new ArrayList<>();
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private long busyUntil;
  private long epoch;
  private String commander = "";
  int refusedSteers;
  String incarnation;
  long seq;
  private int lives;

  SimReplica(
      RequestSim sim,
      String service,
      String instance,
      Address address,
      boolean model,
      String weights) {
    this.sim = sim;
    this.service = service;
    this.instance = instance;
    this.address = address;
    this.model = model;
    this.weights = weights;
    this.incarnation = instance + "/0";
  }

  boolean answers() {
    return up && !hung && !vanished;
  }

  void crash() {
    up = false;
    life++;
    for (Job j : new ArrayList<>(running)) j.gone = true;
    for (Job j : waiting) j.gone = true;
    running.clear();
    waiting.clear();
  }

  /** Empty, and on the weights it boots with, which may be old ones. */
  void start(String bootWeights) {
    if (up) return;
    up = true;
    vanished = hung = false;
    weights = model ? bootWeights : "";
    loading = "";
    epoch = 0;
    commander = "";
    busyUntil = 0;
    fresh();
  }

  private void fresh() {
    kept.clear();
    seq = 0;
    incarnation = instance + "/" + ++lives;
  }

  io.vertx.core.json.JsonObject load() {
    return new io.vertx.core.json.JsonObject()
        .put("service", service)
        .put("instance", instance)
        .put("weights", loading.isEmpty() ? weights : "")
        .put("blockBytes", BLOCK)
        .put("running", running.size())
        .put("waiting", waiting.size())
        .put("slots", SLOTS)
        .put("waitMs", Math.max(0, busyUntil - sim.now()))
        .put("msPerBlock", MS_BLOCK)
        .put("links", new io.vertx.core.json.JsonObject());
  }

  String runs() {
    return weights;
  }

  boolean isLoading() {
    return !loading.isEmpty();
  }

  int capacity() {
    return CAPACITY;
  }

  long[] list() {
    return kept.keySet().stream().mapToLong(x -> x).toArray();
  }

  boolean has(long block) {
    return up && kept.containsKey(block);
  }

  // ---- requests

  Job order(SimConnections.Line line, JsonObject json, long handed) {
    String tag = StandInContent.tagOf(json.getString("prompt", ""));
    Ledger.Run run =
        new Ledger.Run(
            tag,
            json.getString("order", ""),
            service,
            instance,
            json.getString("weights", ""),
            json.getString("wall", ""),
            json.getInt("try", 0),
            handed);
    sim.ledger.addRun(run);
    String why =
        !instance.equals(json.getString("instance", ""))
                || !service.equals(json.getString("service", ""))
            ? "this is " + service + "/" + instance
            : !loading.isEmpty()
                ? "weights are being loaded"
                : model && !weights.equals(json.getString("weights", ""))
                    ? "weights " + weights + " run here"
                    : running.size() >= SLOTS && waiting.size() >= 2 * SLOTS
                        ? "full"
                        : sim.random.nextDouble() < notRun ? "not now" : "";
    if (!why.isEmpty()) {
      String body =
          Json.object()
              .add("order", run.order)
              .add("outcome", "not-run")
              .add("reason", why)
              .toString();
      line.toRelay(a -> a.refused(409, body));
      line.done();
      return null;
    }
    run.ran = true;
    Job j = new Job(line, json, run);
    if (running.size() < SLOTS) begin(j);
    else waiting.add(j);
    return j;
  }

  void left(Job j) {
    if (j.gone) return;
    j.gone = true;
    j.run.closedEarly = !j.run.ended;
    if (!waiting.remove(j) && running.remove(j)) next();
  }

  private void next() {
    while (up && running.size() < SLOTS && !waiting.isEmpty()) begin(waiting.poll());
  }

  private void begin(Job j) {
    running.add(j);
    long[] blocks =
        model
            ? StandInContent.blockIds(
                service, j.run.weights, j.run.wall, j.in.getString("prompt", ""), BLOCK)
            : new long[0];
    int have = 0;
    while (have < blocks.length && kept.containsKey(blocks[have])) {
      Kept k = kept.get(blocks[have]);
      sim.ledger.recordReuse(j.run, k.maker);
      if (!k.weights.equals(j.run.weights) || !k.wall.equals(j.run.wall))
        sim.ledger.invalidReuses.add(
            j.run.tag + " at " + instance + " reused what was made under " + k);
      have++;
    }
    j.run.blocks = blocks.length;
    j.run.reused = have;
    busyUntil = Math.max(sim.now(), busyUntil) + (blocks.length - have + 1L) * MS_BLOCK;
    step(
        j,
        busyUntil - sim.now(),
        () -> {
          for (long b : blocks) keep(b, new Kept(j.run.weights, j.run.wall, j.run.tag));
          String head = headOf(j);
          j.line.toRelay(a -> a.line(head));
          piece(j);
        });
  }

  /** Later, if both are still there then; one that hangs goes on when it wakes. */
  private void step(Job j, long ms, Runnable task) {
    int l = life;
    sim.after(
        Math.max(1, ms),
        () -> {
          if (l != life || j.gone) return;
          if (hung) step(j, 50, task);
          else task.run();
        });
  }

  private void piece(Job j) {
    int want = Math.min(j.in.getInt("maxPieces", 1), StandInContent.piecesOf(j.run.tag, 12));
    if (j.pieces > 1 && sim.random.nextDouble() < cutStreams) {
      left(j);
      j.line.toRelay(a -> a.closed("the answer broke off"));
      j.line.broken();
      return;
    }
    if (j.pieces < want) {
      int n = j.pieces++;
      String p = pieceOf(j, n);
      j.run.pieces = j.pieces;
      j.line.toRelay(a -> a.line(p));
      sim.passes(RequestSim.Point.STREAM, j.run.tag, () -> step(j, MS_PIECE, () -> piece(j)));
      return;
    }
    j.run.ended = true;
    j.gone = true;
    running.remove(j);
    String end = endOf(want);
    j.line.toRelay(a -> a.line(end));
    if (lateBytes)
      j.line.toRelay(a -> a.line("{\"piece\":" + want + ",\"text\":\"after the end\"}"));
    j.line.toRelay(a -> a.closed("the answer ended without saying so"));
    j.line.done();
    if (sim.random.nextDouble() < repeatsAnswers)
      j.line.sendSurplus(wholeAnswer(j), sim.random.nextLong(repeatsWithinMs));
    next();
  }

  private String headOf(Job j) {
    return Json.object()
        .add("order", j.run.order)
        .add("instance", instance)
        .add("weights", j.run.weights)
        .toString();
  }

  private static String pieceOf(Job j, int n) {
    return Json.object()
        .add("piece", n)
        .add("text", StandInContent.textOf(j.run.tag, n))
        .toString();
  }

  private static String endOf(int pieces) {
    return Json.object().add("end", true).add("pieces", pieces).toString();
  }

  private List<String> wholeAnswer(Job j) {
    List<String> lines = new ArrayList<>();
    lines.add(headOf(j));
    for (int n = 0; n < j.pieces; n++) lines.add(pieceOf(j, n));
    lines.add(endOf(j.pieces));
    return lines;
  }

  private void keep(long block, Kept made) {
    Kept first = kept.get(block);
    if (first == null) {
      kept.put(block, made);
      tell(true, block);
    }
    while (kept.size() > CAPACITY) {
      long old = kept.keySet().iterator().next();
      kept.remove(old);
      tell(false, old);
    }
  }

  private void tell(boolean store, long block) {
    long s = ++seq;
    String inc = incarnation;
    sim.index.cacheEvent(this, inc, s, store, block);
  }

  // ---- its commander

  void steer(String who, long e, String w) {
    if (!answers() || deaf) return;
    if (e < epoch) {
      refusedSteers++;
      sim.violation(instance + " had to refuse " + who + " under " + e + ", below " + epoch);
      return;
    }
    if (e == epoch && !who.equals(commander) && !commander.isEmpty())
      sim.ledger.commanderConflicts.add(
          instance + ": epoch " + e + " used by " + commander + " and " + who);
    epoch = e;
    commander = who;
    if (w.equals(weights) || w.equals(loading)) return;
    loading = w;
    int l = life;
    if (!neverLoads) sim.after(LOAD_MS, () -> loaded(l, w));
  }

  private void loaded(int l, String w) {
    if (l != life || !loading.equals(w)) return;
    if (!running.isEmpty() || !waiting.isEmpty() || hung) {
      sim.after(20, () -> loaded(l, w));
      return;
    }
    weights = w;
    loading = "";
    fresh();
  }
}
