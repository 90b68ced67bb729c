package gladelug.emulator.scale;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Model replicas reduced to the HTTP protocol towards index, relays and commanders: identity,
 * occupancy, a block list, and a stream of cache events at a given rate. Each replica's blocks are
 * a window over numbers derived from the seed, so memory use does not depend on the number of
 * blocks. All replicas also keep the same {@link #SHARED_BLOCKS} blocks.
 */
final class HollowReplicas {
  static final int SHARED_BLOCKS = 64, SLOTS = 6;
  static final String SERVICE = "m", WEIGHTS = "w1";
  private static final long EVENT_INTERVAL_MS = 20, PULSE_INTERVAL_MS = 400;

  /**
   * One replica, which keeps the shared blocks and its own from lowestOwn to endOfOwn (exclusive).
   */
  private final class HollowReplica {
    final String name;
    final long salt;
    final long ownBlocks;
    final List<HttpServerResponse> followers = new ArrayList<>();
    HttpServer server;
    String address;
    long lowestOwn;
    long endOfOwn;
    long sequence;
    double pendingEvents;
    boolean storesNext;

    HollowReplica(int number, long ownBlocks) {
      name = "replica-" + number;
      salt = mix(seed * 7919 + number);
      this.ownBlocks = ownBlocks;
      endOfOwn = ownBlocks;
    }

    private String incarnation() {
      return Long.toHexString(salt);
    }

    synchronized void handleRequest(HttpServerRequest request) {
      requestCount.increment();
      switch (request.path()) {
        case "/identity" ->
            answer(
                request,
                new JsonObject()
                    .put("service", SERVICE)
                    .put("instance", name)
                    .put("weights", WEIGHTS)
                    .put("blockBytes", 256)
                    .put("capacityBlocks", ownBlocks + SHARED_BLOCKS)
                    .put("slots", SLOTS)
                    .put("incarnation", incarnation())
                    .put("loading", false)
                    .put("offers", new JsonArray().add(WEIGHTS)));
        case "/occupancy" ->
            answer(
                request,
                new JsonObject()
                    .put("service", SERVICE)
                    .put("instance", name)
                    .put("weights", WEIGHTS)
                    .put("blockBytes", 256)
                    .put("running", 0)
                    .put("waiting", 0)
                    .put("slots", SLOTS)
                    .put("waitMs", 0)
                    .put("msPerBlock", 4)
                    .put("links", new JsonObject()));
        case "/cache/list" -> sendBlockList(request);
        case "/cache/events" -> streamEvents(request);
        default -> answer(request, new JsonObject().put("epoch", 0).put("weights", WEIGHTS));
      }
    }

    private void sendBlockList(HttpServerRequest request) {
      StringBuilder builder =
          new StringBuilder((int) (20 * (ownBlocks + SHARED_BLOCKS)) + 100)
              .append("{\"incarnation\":\"")
              .append(incarnation())
              .append("\",\"seq\":")
              .append(sequence)
              .append(",\"blocks\":[");
      for (int i = 0; i < SHARED_BLOCKS; i++)
        builder.append(i == 0 ? "\"" : ",\"").append(hex(sharedBlock(i))).append('"');
      for (long i = lowestOwn; i < endOfOwn; i++)
        builder.append(",\"").append(hex(mix(salt + i))).append('"');
      request
          .response()
          .putHeader("Content-Type", "application/json")
          .end(Buffer.buffer(builder.append("]}").toString()));
    }

    private void streamEvents(HttpServerRequest request) {
      HttpServerResponse response =
          request.response().setChunked(true).putHeader("Content-Type", "application/x-ndjson");
      response.write(Buffer.buffer(line("pulse", sequence, 0)));
      followers.add(response);
      response.closeHandler(
          v -> {
            synchronized (this) {
              followers.remove(response);
            }
          });
      response.exceptionHandler(failure -> {});
    }

    private String line(String op, long seq, long block) {
      String at = op.equals("pulse") ? "" : "\",\"block\":\"" + hex(block);
      return "{\"incarnation\":\""
          + incarnation()
          + "\",\"seq\":"
          + seq
          + ",\"op\":\""
          + op
          + at
          + "\"}\n";
    }

    synchronized void sendPulse() {
      write(Buffer.buffer(line("pulse", sequence, 0)));
    }

    private void write(Buffer buffer) {
      for (HttpServerResponse response : new ArrayList<>(followers))
        if (!response.closed()) response.write(buffer);
    }

    /**
     * Alternately evicts the oldest own block and stores a new one, {@code count} events on
     * average.
     */
    synchronized void sendEvents(double count) {
      pendingEvents += count;
      StringBuilder builder = new StringBuilder();
      for (; pendingEvents >= 1; pendingEvents--) {
        if (storesNext) builder.append(line("store", ++sequence, mix(salt + endOfOwn++)));
        else builder.append(line("evict", ++sequence, mix(salt + lowestOwn++)));
        storesNext = !storesNext;
        eventCount.increment();
      }
      if (builder.length() > 0) write(Buffer.buffer(builder.toString()));
    }
  }

  private final Vertx vertx;
  private final long seed;
  private final List<HollowReplica> replicas = new ArrayList<>();
  private volatile double eventsPerSecond;
  private final List<Long> timers = new ArrayList<>();

  /** The number of HTTP requests received and of cache events sent. */
  final LongAdder requestCount = new LongAdder(), eventCount = new LongAdder();

  /** Starts one replica on each IP address; {@code blocks} is the total of their own blocks. */
  HollowReplicas(Vertx vertx, long seed, List<String> ips, long blocks) throws Exception {
    this.vertx = vertx;
    this.seed = seed;
    for (int i = 0; i < ips.size(); i++) {
      HollowReplica o = new HollowReplica(i, Math.max(1, blocks / ips.size()));
      o.server =
          vertx
              .createHttpServer(new HttpServerOptions().setTcpNoDelay(true).setIdleTimeout(120))
              .requestHandler(o::handleRequest);
      o.address =
          ips.get(i)
              + ":"
              + o.server
                  .listen(0, ips.get(i))
                  .toCompletionStage()
                  .toCompletableFuture()
                  .get(10, TimeUnit.SECONDS)
                  .actualPort();
      replicas.add(o);
    }
  }

  private static void answer(HttpServerRequest request, JsonObject json) {
    request.response().putHeader("Content-Type", "application/json").end(json.toBuffer());
  }

  private static long mix(long z) {
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }

  private static String hex(long b) {
    String text = Long.toHexString(b);
    return "0".repeat(16 - text.length()) + text;
  }

  private long sharedBlock(int i) {
    return mix(seed * 104_729 + i + 1);
  }

  /** Returns name and address of each replica. */
  List<String[]> namesAndAddresses() {
    List<String[]> l = new ArrayList<>();
    for (HollowReplica o : replicas) l.add(new String[] {o.name, o.address});
    return l;
  }

  /** Starts cache events at a rate per second summed over all replicas. */
  void startEvents(double perSecond) {
    eventsPerSecond = perSecond;
    timers.add(
        vertx.setPeriodic(PULSE_INTERVAL_MS, i -> replicas.forEach(HollowReplica::sendPulse)));
    long[] last = {System.nanoTime()};
    timers.add(
        vertx.setPeriodic(
            EVENT_INTERVAL_MS,
            i -> {
              long t = System.nanoTime();
              double each = eventsPerSecond * (t - last[0]) / 1e9 / replicas.size();
              last[0] = t;
              for (HollowReplica o : replicas) o.sendEvents(each);
            }));
  }

  /** Changes the rate of cache events, per second summed over all replicas. */
  void setEventRate(double perSecond) {
    eventsPerSecond = perSecond;
  }

  /** Returns the block ids of a prompt: some shared blocks, then some of one replica's own. */
  long[] promptChain(int replica, int shared, int own) {
    HollowReplica o = replicas.get(replica % replicas.size());
    long[] l = new long[shared + own];
    for (int i = 0; i < shared; i++) l[i] = sharedBlock(i % SHARED_BLOCKS);
    synchronized (o) {
      for (int i = 0; i < own; i++)
        l[shared + i] = mix(o.salt + o.lowestOwn + (o.endOfOwn - o.lowestOwn) / 2 + i);
    }
    return l;
  }

  void stop() {
    timers.forEach(vertx::cancelTimer);
    for (HollowReplica o : replicas) o.server.close();
  }
}
