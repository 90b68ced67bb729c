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
 * A simulated model or application replica. It prefills one request at a time, decodes as many as
 * it has slots, keeps prefix blocks under the weights and isolation scope they were made with,
 * publishes cache events, loads weights when commanded, and records everything in the ledger. It
 * can crash, vanish without notice, hang, refuse requests, break streams, and send bytes after the
 * end of an answer.
 */
final class SimReplica {
  static final int BLOCK_BYTES = 16;
  private static final int SLOTS = 4,
      CAPACITY_BLOCKS = 48,
      MS_PER_BLOCK = 4,
      MS_PER_PIECE = 6,
      LOAD_MS = 1200;

  /**
   * The weights and isolation scope that a block was made under, and the tag of the request that
   * made it.
   */
  private record KeptBlock(String weights, String wall, String maker) {}

  /** One request at the replica. */
  static final class Job {
    final SimReplicaConnections.ConnectionUse line;
    final JsonObject request;
    final Ledger.Run run;
    int sentPieces;
    boolean ended;

    Job(SimReplicaConnections.ConnectionUse line, JsonObject json, Ledger.Run run) {
      this.line = line;
      this.request = json;
      this.run = run;
    }
  }

  private final RequestSimulation sim;
  final String service;
  final String instance;
  final Address address;
  final boolean isModel;
  String weights;
  private String loading = "";
  boolean up = true;
  boolean hung;

  /** Whether the machine has vanished: nothing is answered and no connection is closed. */
  boolean vanished;

  int processNumber;
  double refusalRate;
  double streamBreakRate;
  boolean sendsLateBytes;

  /** Probability that an answer is sent a second time, within maxRepeatDelayMs. */
  double answerRepeatRate;

  long maxRepeatDelayMs = 1;
  boolean neverLoads;

  /** Whether commands from control machines are ignored. */
  boolean ignoresCommands;

  private final LinkedHashMap<Long, KeptBlock> keptBlocks = new LinkedHashMap<>(64, 0.75f, true);
  private final List<Job> runningJobs = new ArrayList<>();
  private final ArrayDeque<Job> waitingJobs = new ArrayDeque<>();
  private long busyUntilMs;
  private long epoch;
  private String commander = "";
  int refusedCommandCount;
  String incarnation;
  long sequence;
  private int incarnationCount;

  SimReplica(
      RequestSimulation sim,
      String service,
      String instance,
      Address address,
      boolean isModel,
      String weights) {
    this.sim = sim;
    this.service = service;
    this.instance = instance;
    this.address = address;
    this.isModel = isModel;
    this.weights = weights;
    this.incarnation = instance + "/0";
  }

  boolean isAnswering() {
    return up && !hung && !vanished;
  }

  void crash() {
    up = false;
    processNumber++;
    for (Job job : new ArrayList<>(runningJobs)) job.ended = true;
    for (Job job : waitingJobs) job.ended = true;
    runningJobs.clear();
    waitingJobs.clear();
  }

  /** Starts the process with no blocks and the given weights, which may be outdated. */
  void start(String bootWeights) {
    if (up) return;
    up = true;
    vanished = hung = false;
    weights = isModel ? bootWeights : "";
    loading = "";
    epoch = 0;
    commander = "";
    busyUntilMs = 0;
    startNewIncarnation();
  }

  private void startNewIncarnation() {
    keptBlocks.clear();
    sequence = 0;
    incarnation = instance + "/" + ++incarnationCount;
  }

  io.vertx.core.json.JsonObject loadReport() {
    return new io.vertx.core.json.JsonObject()
        .put("service", service)
        .put("instance", instance)
        .put("weights", loading.isEmpty() ? weights : "")
        .put("blockBytes", BLOCK_BYTES)
        .put("running", runningJobs.size())
        .put("waiting", waitingJobs.size())
        .put("slots", SLOTS)
        .put("waitMs", Math.max(0, busyUntilMs - sim.nowMs()))
        .put("msPerBlock", MS_PER_BLOCK)
        .put("links", new io.vertx.core.json.JsonObject());
  }

  String currentWeights() {
    return weights;
  }

  boolean isLoading() {
    return !loading.isEmpty();
  }

  int capacity() {
    return CAPACITY_BLOCKS;
  }

  long[] keptBlockIds() {
    return keptBlocks.keySet().stream().mapToLong(id -> id).toArray();
  }

  boolean has(long block) {
    return up && keptBlocks.containsKey(block);
  }

  // ---- requests

  Job onRequest(SimReplicaConnections.ConnectionUse line, JsonObject json, long handedAtMs) {
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
            handedAtMs);
    sim.ledger.addRun(run);
    String refusal =
        !instance.equals(json.getString("instance", ""))
                || !service.equals(json.getString("service", ""))
            ? "this is " + service + "/" + instance
            : !loading.isEmpty()
                ? "weights are being loaded"
                : isModel && !weights.equals(json.getString("weights", ""))
                    ? "weights " + weights + " run here"
                    : runningJobs.size() >= SLOTS && waitingJobs.size() >= 2 * SLOTS
                        ? "full"
                        : sim.random.nextDouble() < refusalRate ? "not now" : "";
    if (!refusal.isEmpty()) {
      String body =
          Json.object()
              .add("order", run.order)
              .add("outcome", "not-run")
              .add("reason", refusal)
              .toString();
      line.sendToRelay(answer -> answer.refused(409, body));
      line.onAnswerSent();
      return null;
    }
    run.ran = true;
    Job job = new Job(line, json, run);
    if (runningJobs.size() < SLOTS) beginPrefill(job);
    else waitingJobs.add(job);
    return job;
  }

  void cancel(Job job) {
    if (job.ended) return;
    job.ended = true;
    job.run.closedEarly = !job.run.ended;
    if (!waitingJobs.remove(job) && runningJobs.remove(job)) startWaitingJobs();
  }

  private void startWaitingJobs() {
    while (up && runningJobs.size() < SLOTS && !waitingJobs.isEmpty())
      beginPrefill(waitingJobs.poll());
  }

  private void beginPrefill(Job job) {
    runningJobs.add(job);
    long[] blocks =
        isModel
            ? StandInContent.blockIds(
                service,
                job.run.weights,
                job.run.wall,
                job.request.getString("prompt", ""),
                BLOCK_BYTES)
            : new long[0];
    int reusedCount = 0;
    while (reusedCount < blocks.length && keptBlocks.containsKey(blocks[reusedCount])) {
      KeptBlock keptBlock = keptBlocks.get(blocks[reusedCount]);
      sim.ledger.recordReuse(job.run, keptBlock.maker);
      if (!keptBlock.weights.equals(job.run.weights) || !keptBlock.wall.equals(job.run.wall))
        sim.ledger.invalidReuses.add(
            job.run.tag + " at " + instance + " reused what was made under " + keptBlock);
      reusedCount++;
    }
    job.run.blocks = blocks.length;
    job.run.reused = reusedCount;
    busyUntilMs =
        Math.max(sim.nowMs(), busyUntilMs) + (blocks.length - reusedCount + 1L) * MS_PER_BLOCK;
    runLater(
        job,
        busyUntilMs - sim.nowMs(),
        () -> {
          for (long block : blocks)
            keepBlock(block, new KeptBlock(job.run.weights, job.run.wall, job.run.tag));
          String head = headOf(job);
          job.line.sendToRelay(answer -> answer.line(head));
          sendNextPiece(job);
        });
  }

  /**
   * Runs a task later if process and job still exist then; a hanging process continues when it
   * resumes.
   */
  private void runLater(Job job, long delayMs, Runnable task) {
    int ownProcess = processNumber;
    sim.after(
        Math.max(1, delayMs),
        () -> {
          if (ownProcess != processNumber || job.ended) return;
          if (hung) runLater(job, 50, task);
          else task.run();
        });
  }

  private void sendNextPiece(Job job) {
    int pieceCount =
        Math.min(job.request.getInt("maxPieces", 1), StandInContent.piecesOf(job.run.tag, 12));
    if (job.sentPieces > 1 && sim.random.nextDouble() < streamBreakRate) {
      cancel(job);
      job.line.sendToRelay(answer -> answer.closed("the answer was cut off"));
      job.line.onStreamBroken();
      return;
    }
    if (job.sentPieces < pieceCount) {
      int index = job.sentPieces++;
      String piece = pieceOf(job, index);
      job.run.pieces = job.sentPieces;
      job.line.sendToRelay(answer -> answer.line(piece));
      sim.passPoint(
          RequestSimulation.RequestPoint.STREAM,
          job.run.tag,
          () -> runLater(job, MS_PER_PIECE, () -> sendNextPiece(job)));
      return;
    }
    job.run.ended = true;
    job.ended = true;
    runningJobs.remove(job);
    String end = endOf(pieceCount);
    job.line.sendToRelay(answer -> answer.line(end));
    if (sendsLateBytes)
      job.line.sendToRelay(
          answer -> answer.line("{\"piece\":" + pieceCount + ",\"text\":\"after the end\"}"));
    job.line.sendToRelay(answer -> answer.closed("the connection closed without an end line"));
    job.line.onAnswerSent();
    if (sim.random.nextDouble() < answerRepeatRate)
      job.line.sendSurplus(wholeAnswer(job), sim.random.nextLong(maxRepeatDelayMs));
    startWaitingJobs();
  }

  private String headOf(Job job) {
    return Json.object()
        .add("order", job.run.order)
        .add("instance", instance)
        .add("weights", job.run.weights)
        .toString();
  }

  private static String pieceOf(Job job, int index) {
    return Json.object()
        .add("piece", index)
        .add("text", StandInContent.textOf(job.run.tag, index))
        .toString();
  }

  private static String endOf(int pieces) {
    return Json.object().add("end", true).add("pieces", pieces).toString();
  }

  private List<String> wholeAnswer(Job job) {
    List<String> lines = new ArrayList<>();
    lines.add(headOf(job));
    for (int index = 0; index < job.sentPieces; index++) lines.add(pieceOf(job, index));
    lines.add(endOf(job.sentPieces));
    return lines;
  }

  private void keepBlock(long block, KeptBlock newBlock) {
    KeptBlock first = keptBlocks.get(block);
    if (first == null) {
      keptBlocks.put(block, newBlock);
      publishCacheEvent(true, block);
    }
    while (keptBlocks.size() > CAPACITY_BLOCKS) {
      long evicted = keptBlocks.keySet().iterator().next();
      keptBlocks.remove(evicted);
      publishCacheEvent(false, evicted);
    }
  }

  private void publishCacheEvent(boolean isStore, long block) {
    long eventSequence = ++sequence;
    String eventIncarnation = incarnation;
    sim.index.cacheEvent(this, eventIncarnation, eventSequence, isStore, block);
  }

  // ---- commands

  void onCommand(String sender, long commandEpoch, String commandedWeights) {
    if (!isAnswering() || ignoresCommands) return;
    if (commandEpoch < epoch) {
      refusedCommandCount++;
      sim.violation(
          instance + " had to refuse " + sender + " under " + commandEpoch + ", below " + epoch);
      return;
    }
    if (commandEpoch == epoch && !sender.equals(commander) && !commander.isEmpty())
      sim.ledger.commanderConflicts.add(
          instance + ": epoch " + commandEpoch + " used by " + commander + " and " + sender);
    epoch = commandEpoch;
    commander = sender;
    if (commandedWeights.equals(weights) || commandedWeights.equals(loading)) return;
    loading = commandedWeights;
    int ownProcess = processNumber;
    if (!neverLoads) sim.after(LOAD_MS, () -> finishLoading(ownProcess, commandedWeights));
  }

  private void finishLoading(int ownProcess, String commandedWeights) {
    if (ownProcess != processNumber || !loading.equals(commandedWeights)) return;
    if (!runningJobs.isEmpty() || !waitingJobs.isEmpty() || hung) {
      sim.after(20, () -> finishLoading(ownProcess, commandedWeights));
      return;
    }
    weights = commandedWeights;
    loading = "";
    startNewIncarnation();
  }
}
