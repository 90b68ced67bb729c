/*
 * A stand-in for a model replica, a store or an application replica, speaking the back ends'
 * published HTTP protocol. It prefills one request at a time and decodes up to its slots, keeps
 * prefix blocks in a bounded memory with least recently used going first, tells cache events with
 * sequence numbers, and writes all it does into the ledger. Its faults are set from outside.
 */
package gladelug.rehearsal;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

public final class StandInReplica {
  public static final int BLOCK = 256;

  public enum Kind {
    MODEL,
    STORE,
    APPLICATION
  }

  /** What may be wrong with it. All off by default. */
  public static final class Faults {
    public volatile boolean hang;
    public volatile boolean cutStreams;
    public volatile boolean lateBytes;
    public volatile boolean halfPieces;
    public volatile boolean skipPiece;
    public volatile boolean lieAboutWeights;
    public volatile boolean lieAboutService;
    public volatile boolean absurdLoad;
    public volatile double loseEvents;
    public volatile double delayEvents;
    public volatile double notRun;
    public volatile double cutBeforeFirst;
    public volatile double linkFactor = 1;

    /** Extra ms between pieces. */
    public volatile long slowPieces;

    public void none() {
      hang = cutStreams = lateBytes = halfPieces = false;
      skipPiece = lieAboutWeights = lieAboutService = absurdLoad = false;
      loseEvents = delayEvents = notRun = cutBeforeFirst = 0;
      linkFactor = 1;
      slowPieces = 0;
    }
  }

  private record Kept(String weights, String wall) {}

  private record Event(long seq, boolean store, long block) {}

  private final class Job {
    HttpServerResponse out;
    JsonObject in;
    Ledger.Run run;
    long[] blocks;
    boolean gone;
    int pieces;
    int want;
  }

  public final String service;
  public final String instance;
  public final Kind kind;
  public final String host;
  public final Faults faults = new Faults();
  public final int slots;
  public final int capacity;
  public final double msPerBlock;
  public final double msPerPiece;
  public final double linkMs;
  private final Vertx vertx;
  private final Ledger ledger;
  private final Random random;
  private final Function<String, StandInReplica> others;
  private final LinkedHashMap<Long, Kept> kept = new LinkedHashMap<>(64, 0.75f, true);
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final List<HttpServerResponse> followers = new ArrayList<>();
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private final Set<String> ranTags = new HashSet<>();
  private final Map<String, Double> links = new HashMap<>();
  private HttpServer server;
  public volatile int port;
  private String incarnation;
  private long seq;
  private volatile String weights;
  private String loading = "";
  private final String bootWeights;
  public volatile List<String> offers = List.of("w1", "w2", "w3", "w4");
  public volatile long loadMs = 1500;
  public volatile boolean neverLoads;
  private int running;
  private double busyUntil;
  private long commanderEpoch;
  private String commander = "";
  private boolean up;
  public volatile int requests;

  public StandInReplica(
      Vertx vertx,
      Ledger ledger,
      Kind kind,
      String service,
      String instance,
      String host,
      String weights,
      long seed,
      int slots,
      int capacity,
      double msPerBlock,
      double msPerPiece,
      double linkMs,
      Function<String, StandInReplica> others) {
    this.vertx = vertx;
    this.ledger = ledger;
    this.kind = kind;
    this.service = service;
    this.instance = instance;
    this.host = host;
    this.weights = weights;
    this.bootWeights = weights;
    this.random = new Random(seed);
    this.slots = slots;
    this.capacity = capacity;
    this.msPerBlock = msPerBlock;
    this.msPerPiece = msPerPiece;
    this.linkMs = linkMs;
    this.others = others;
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  /** What others call it by, where that is another IP number. */
  public volatile String advertised = "";

  public String address() {
    return advertised.isEmpty() ? host + ":" + port : advertised;
  }

  public String weights() {
    return weights;
  }

  /** Starts, on the same port after the first time; memory is empty and the incarnation new. */
  public void start() {
    synchronized (this) {
      empty();
    }
    HttpServer s = null;
    long end = System.nanoTime() + 20_000_000_000L;
    // the port of the life before may not be free at once
    while (s == null) {
      CompletableFuture<Integer> done = new CompletableFuture<>();
      HttpServer x =
          vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(120).setTcpNoDelay(true));
      x.requestHandler(this::request)
          .listen(port, host)
          .onComplete(
              a -> {
                if (a.failed()) done.completeExceptionally(a.cause());
                else done.complete(x.actualPort());
              });
      try {
        port = done.get(20, TimeUnit.SECONDS);
        s = x;
      } catch (Exception e) {
        if (System.nanoTime() > end) throw new IllegalStateException("stand-in " + instance, e);
        Fleet.pause(100);
      }
    }
    synchronized (this) {
      server = s;
    }
  }

  private void empty() {
    kept.clear();
    events.clear();
    followers.clear();
    waiting.clear();
    links.clear();
    loading = "";
    weights = bootWeights;
    commanderEpoch = 0;
    commander = "";
    seq = 0;
    running = 0;
    busyUntil = 0;
    incarnation = Long.toHexString(random.nextLong());
    up = true;
  }

  /** Dies: all connections break at once. */
  public void kill() {
    HttpServer server;
    synchronized (this) {
      up = false;
      server = this.server;
      this.server = null;
    }
    if (server != null) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      server.close().onComplete(a -> done.complete(null));
      try {
        done.get(10, TimeUnit.SECONDS);
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private synchronized void request(HttpServerRequest q) {
    if (faults.hang) return;
    String p = q.path();
    switch (p) {
      case "/identity" ->
          answer(
              q,
              new JsonObject()
                  .put("service", faults.lieAboutService ? "somebody-else" : service)
                  .put("instance", instance)
                  .put("weights", weights)
                  .put("blockBytes", BLOCK)
                  .put("capacityBlocks", capacity)
                  .put("slots", slots)
                  .put("incarnation", incarnation)
                  .put("loading", !loading.isEmpty())
                  .put("offers", new JsonArray(offers)));
      case "/occupancy" -> {
        JsonObject l = new JsonObject();
        links.forEach(l::put);
        answer(
            q,
            new JsonObject()
                .put("service", service)
                .put("instance", instance)
                .put("weights", loading.isEmpty() ? weights : "")
                .put("blockBytes", BLOCK)
                .put("running", faults.absurdLoad ? -2_000_000_000 : running)
                .put("waiting", waiting.size())
                .put("slots", slots)
                .put("waitMs", faults.absurdLoad ? 1e30 : Math.max(0, busyUntil - now()))
                .put("msPerBlock", msPerBlock)
                .put("links", l));
      }
      case "/cache/list" -> {
        JsonArray a = new JsonArray();
        for (long b : kept.keySet()) a.add(String.format("%016x", b));
        answer(
            q, new JsonObject().put("incarnation", incarnation).put("seq", seq).put("blocks", a));
      }
      case "/cache/events" -> follow(q);
      case "/orders" -> q.body().onSuccess(b -> order(q, b));
      case "/steer" -> q.body().onSuccess(b -> steer(q, b));
      default -> q.response().setStatusCode(404).end();
    }
  }

  private static void answer(HttpServerRequest q, JsonObject o) {
    q.response().putHeader("Content-Type", "application/json").end(o.toBuffer());
  }

  // ---- cache and its events

  private void follow(HttpServerRequest q) {
    HttpServerResponse r =
        q.response().setChunked(true).putHeader("Content-Type", "application/x-ndjson");
    long after = Long.parseLong(q.getParam("after", "0"));
    boolean same = incarnation.equals(q.getParam("incarnation", ""));
    for (Event e : events) if (!same || e.seq > after) r.write(line(e));
    r.write(pulse());
    followers.add(r);
    r.closeHandler(v -> unfollow(r));
    r.exceptionHandler(t -> unfollow(r));
    long[] id = {0};
    id[0] =
        vertx.setPeriodic(
            400,
            i -> {
              synchronized (this) {
                if (!followers.contains(r) || r.closed()) {
                  vertx.cancelTimer(id[0]);
                  followers.remove(r);
                } else r.write(pulse());
              }
            });
  }

  private synchronized void unfollow(HttpServerResponse r) {
    followers.remove(r);
  }

  private Buffer pulse() {
    return Buffer.buffer(
        "{\"incarnation\":\"" + incarnation + "\",\"seq\":" + seq + ",\"op\":\"pulse\"}\n");
  }

  private Buffer line(Event e) {
    return Buffer.buffer(
        "{\"incarnation\":\""
            + incarnation
            + "\",\"seq\":"
            + e.seq
            + ",\"op\":\""
            + (e.store ? "store" : "evict")
            + "\",\"block\":\""
            + String.format("%016x", e.block)
            + "\"}\n");
  }

  private void tell(boolean store, long block) {
    Event e = new Event(++seq, store, block);
    events.add(e);
    if (events.size() > 2048) events.poll();
    Buffer b = line(e);
    for (HttpServerResponse f : new ArrayList<>(followers)) {
      if (random.nextDouble() < faults.loseEvents || f.closed()) continue;
      if (random.nextDouble() < faults.delayEvents)
        vertx.setTimer(
            1 + random.nextInt(400),
            i -> {
              if (!f.closed()) f.write(b);
            });
      else f.write(b);
    }
  }

  private void keep(long block, String w, String wall) {
    if (kept.put(block, new Kept(w, wall)) == null) tell(true, block);
    while (kept.size() > capacity) {
      long old = kept.keySet().iterator().next();
      kept.remove(old);
      tell(false, old);
    }
  }

  synchronized boolean has(long block) {
    return up && kept.containsKey(block);
  }

  /** A store takes what replicas save to it. */
  synchronized void save(long[] blocks, String w, String wall) {
    if (up) for (long b : blocks) keep(b, w, wall);
  }

  public synchronized int keeps() {
    return kept.size();
  }

  /**
   * This stand-in's own reckoning of block ids, written from the protocol's page and not from the
   * product's code.
   */
  static long[] ids(String service, String weights, String wall, String prompt) {
    return ids(service, weights, wall, prompt, BLOCK);
  }

  public static long[] ids(String service, String weights, String wall, String prompt, int block) {
    byte[] p = prompt.getBytes(StandardCharsets.UTF_8);
    try {
      MessageDigest d = MessageDigest.getInstance("SHA-256");
      byte[] link =
          d.digest((service + "\n" + weights + "\n" + wall).getBytes(StandardCharsets.UTF_8));
      long[] out = new long[Math.max(0, p.length - 1) / block];
      for (int i = 0; i < out.length; i++) {
        ByteBuffer b = ByteBuffer.allocate(link.length + block).put(link).put(p, i * block, block);
        link = d.digest(b.array());
        out[i] = ByteBuffer.wrap(link).getLong();
      }
      return out;
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  public static String tagOf(String prompt) {
    int i = prompt.lastIndexOf('#');
    return i < 0 ? "untagged" : prompt.substring(i + 1);
  }

  public static int piecesOf(String tag, int most) {
    return Math.min(most, 4 + Math.floorMod(tag.hashCode(), 13));
  }

  public static String textOf(String tag, int piece) {
    return tag + "/" + piece + " ";
  }

  // ---- requests

  private synchronized void order(HttpServerRequest q, Buffer body) {
    if (!up) return;
    JsonObject in = body.toJsonObject();
    String tag = tagOf(in.getString("prompt"));
    Ledger.Run run =
        new Ledger.Run(
            tag,
            in.getString("order"),
            service,
            instance,
            in.getString("weights"),
            in.getString("wall"),
            in.getInteger("try"),
            System.nanoTime() / 1_000_000);
    ledger.run(run);
    requests++;
    if (!instance.equals(in.getString("instance")) || !service.equals(in.getString("service"))) {
      notRun(q, in, "this is " + service + "/" + instance);
      return;
    }
    if (!loading.isEmpty()) {
      notRun(q, in, "weights " + loading + " are being loaded");
      return;
    }
    if (kind == Kind.MODEL && !weights.equals(in.getString("weights"))) {
      notRun(q, in, "weights " + weights + " run here");
      return;
    }
    if (running >= slots && waiting.size() >= 2 * slots) {
      notRun(q, in, "full");
      return;
    }
    if (random.nextDouble() < faults.notRun) {
      notRun(q, in, "not now");
      return;
    }
    run.ran = true;
    Job j = new Job();
    j.out = q.response();
    j.in = in;
    j.run = run;
    j.blocks =
        kind == Kind.MODEL
            ? ids(service, in.getString("weights"), in.getString("wall"), in.getString("prompt"))
            : new long[0];
    j.want = piecesOf(tag, in.getInteger("maxPieces"));
    j.out.closeHandler(v -> leave(j));
    j.out.exceptionHandler(t -> leave(j));
    if (random.nextDouble() < faults.cutBeforeFirst) {
      j.gone = true;
      q.connection().close();
      return;
    }
    if (running < slots) begin(j);
    else waiting.add(j);
  }

  private void notRun(HttpServerRequest q, JsonObject in, String why) {
    q.response()
        .setStatusCode(409)
        .putHeader("Content-Type", "application/json")
        .end(
            new JsonObject()
                .put("order", in.getString("order"))
                .put("outcome", "not-run")
                .put("reason", why)
                .toBuffer());
  }

  private synchronized void leave(Job j) {
    if (j.gone) return;
    j.gone = true;
    j.run.left = !j.run.ended;
    if (!waiting.remove(j) && !j.run.ended) finish();
  }

  /** A connection that closed before its handlers were set tells nobody. */
  private boolean left(Job j) {
    if (!j.out.closed()) return false;
    leave(j);
    return true;
  }

  private void finish() {
    running--;
    while (up && running < slots && !waiting.isEmpty()) begin(waiting.poll());
  }

  private void begin(Job j) {
    running++;
    int n = j.blocks.length, have = 0;
    String w = j.run.weights, wall = j.run.wall;
    while (have < n && kept.containsKey(j.blocks[have])) {
      Kept k = kept.get(j.blocks[have]);
      if (!k.weights.equals(w) || !k.wall.equals(wall))
        ledger.wrongReuse.add(
            j.run.tag
                + " at "
                + instance
                + ": made under "
                + k
                + ", reused under "
                + w
                + "/"
                + wall);
      have++;
    }
    int pulled = 0;
    double fetchMs = 0;
    JsonObject f = j.in.getJsonObject("fetch");
    if (f != null) {
      StandInReplica from = others.apply(f.getString("from"));
      JsonArray bs = f.getJsonArray("blocks");
      Set<Long> named = new HashSet<>();
      for (int i = 0; i < bs.size(); i++) named.add(Long.parseUnsignedLong(bs.getString(i), 16));
      double per =
          from == null
              ? 0
              : (linkMs + from.linkMs) * Math.max(faults.linkFactor, from.faults.linkFactor);
      while (from != null
          && have + pulled < n
          && named.contains(j.blocks[have + pulled])
          && from.has(j.blocks[have + pulled])) pulled++;
      if (pulled == 0) j.run.wrongHints++;
      fetchMs = pulled * per;
      if (from != null) links.merge(f.getString("from"), per, (a, b) -> a * 0.7 + b * 0.3);
    }
    int compute = n - have - pulled;
    j.run.blocks = n;
    j.run.reused = have;
    j.run.fetched = pulled;
    j.run.computed = compute;
    double t = now(),
        start = Math.max(t + fetchMs, busyUntil),
        end = start + (compute + 1) * msPerBlock;
    busyUntil = end;
    int h = have, pl = pulled;
    vertx.setTimer(Math.max(1, (long) (end - t)), i -> prefilled(j, h, pl, compute));
  }

  private synchronized void prefilled(Job j, int have, int pulled, int compute) {
    if (!up || j.gone || left(j)) return;
    for (long b : j.blocks) keep(b, j.run.weights, j.run.wall);
    StandInReplica store = others.apply("store");
    if (store != null && compute > 0) store.save(j.blocks, j.run.weights, j.run.wall);
    j.out.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
    j.out.write(
        new JsonObject()
                .put("order", j.in.getString("order"))
                .put("instance", instance)
                .put(
                    "weights",
                    faults.lieAboutWeights ? "made-up" : kind == Kind.MODEL ? weights : "")
                .put(
                    "used",
                    new JsonObject()
                        .put("reused", have)
                        .put("fetched", pulled)
                        .put("computed", compute))
                .encode()
            + "\n");
    piece(j);
  }

  private synchronized void piece(Job j) {
    if (!up || j.gone || left(j)) return;
    if (j.pieces < j.want) {
      if (faults.cutStreams && j.pieces == 2) {
        j.out.reset();
        leave(j);
        return;
      }
      if (faults.halfPieces && j.pieces == 2) {
        j.out.write("{\"piece\":2,\"te");
        j.out.end();
        j.run.ended = true;
        finish();
        return;
      }
      int nr = faults.skipPiece && j.pieces == 2 ? 3 : j.pieces;
      j.out.write("{\"piece\":" + nr + ",\"text\":\"" + textOf(j.run.tag, j.pieces) + "\"}\n");
      j.run.pieces = ++j.pieces;
      vertx.setTimer(Math.max(1, (long) msPerPiece) + faults.slowPieces, i -> piece(j));
      return;
    }
    j.run.ended = true;
    j.out.write("{\"end\":true,\"pieces\":" + j.want + "}\n");
    if (faults.lateBytes) j.out.write("{\"piece\":" + j.want + ",\"text\":\"after the end\"}\n");
    j.out.end();
    finish();
  }

  // ---- requests from its commander

  private synchronized void steer(HttpServerRequest q, Buffer b) {
    JsonObject o = b.toJsonObject();
    long e = o.getLong("epoch");
    String who = o.getString("commander");
    if (e < commanderEpoch) {
      q.response().setStatusCode(409).end(new JsonObject().put("epoch", commanderEpoch).toBuffer());
      return;
    }
    if (e == commanderEpoch && !who.equals(commander))
      ledger.doubleCommand.add(instance + ": epoch " + e + " used by " + commander + " and " + who);
    commanderEpoch = e;
    commander = who;
    String w = o.getString("weights", "");
    if (!w.isEmpty() && !w.equals(weights) && !w.equals(loading) && offers.contains(w)) {
      ledger.note("weights " + instance + " " + weights + "->" + w);
      loading = w;
      if (!neverLoads) vertx.setTimer(loadMs, i -> loaded(w));
    }
    answer(q, new JsonObject().put("epoch", commanderEpoch).put("weights", weights));
  }

  /** New weights are in: what was kept under the old ones is gone, told as a new incarnation. */
  private synchronized void loaded(String w) {
    if (!up || !loading.equals(w)) return;
    if (running > 0 || !waiting.isEmpty()) {
      vertx.setTimer(20, i -> loaded(w));
      return;
    }
    weights = w;
    loading = "";
    kept.clear();
    events.clear();
    seq = 0;
    incarnation = Long.toHexString(random.nextLong());
    for (HttpServerResponse f : new ArrayList<>(followers)) if (!f.closed()) f.write(pulse());
  }
}
