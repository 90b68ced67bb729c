package gladelug.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Random;

/**
 * The LRU cache of prefix blocks of a stand-in replica, and the sequence of its cache events. All
 * methods are called under the replica's lock.
 */
final class ReplicaCache {
  /**
   * The weights and isolation domain that a block was computed under, and the tag of the request
   * that computed it.
   */
  record Origin(String weights, String wall, String maker) {
    boolean sameWeightsAndWall(Origin other) {
      return weights.equals(other.weights) && wall.equals(other.wall);
    }
  }

  private record Event(long sequence, boolean stored, long block) {}

  private static final int MAX_EVENTS = 2048;
  private static final long PULSE_MS = 400;
  private static final int MAX_EVENT_DELAY_MS = 400;

  private final Vertx vertx;
  private final Object lock;
  private final Random random;
  private final ReplicaFaults faults;
  private final int capacity;
  private final LinkedHashMap<Long, Origin> kept = new LinkedHashMap<>(64, 0.75f, true);
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final List<HttpServerResponse> followers = new ArrayList<>();
  private String incarnation = "";
  private long sequence;

  /** Creates a cache whose timers take the given lock. */
  ReplicaCache(Vertx vertx, Object lock, Random random, ReplicaFaults faults, int capacity) {
    this.vertx = vertx;
    this.lock = lock;
    this.random = random;
    this.faults = faults;
    this.capacity = capacity;
  }

  /** Removes all blocks and events; followers detect this by the new incarnation. */
  void clear() {
    kept.clear();
    events.clear();
    sequence = 0;
    incarnation = Long.toHexString(random.nextLong());
  }

  /** Drops all followers, as a crash does. */
  void dropFollowers() {
    followers.clear();
  }

  /** Sends the current sequence number to all followers. */
  void sendPulses() {
    for (HttpServerResponse follower : new ArrayList<>(followers)) {
      if (!follower.closed()) follower.write(pulse());
    }
  }

  String incarnation() {
    return incarnation;
  }

  boolean contains(long block) {
    return kept.containsKey(block);
  }

  int size() {
    return kept.size();
  }

  /** Returns the origin of a block, or null; marks it as recently used. */
  Origin origin(long block) {
    return kept.get(block);
  }

  /** Stores a block, keeping its first origin if that is equivalent; marks it as recently used. */
  void keepFirst(long block, Origin origin) {
    Origin first = kept.get(block);
    keep(block, first == null || !first.sameWeightsAndWall(origin) ? origin : first);
  }

  /** Stores a block and evicts the least recently used ones beyond the capacity. */
  void keep(long block, Origin origin) {
    if (kept.put(block, origin) == null) recordEvent(true, block);
    while (kept.size() > capacity) {
      long oldest = kept.keySet().iterator().next();
      kept.remove(oldest);
      recordEvent(false, oldest);
    }
  }

  /** Returns all blocks in the format of the protocol. */
  JsonObject list() {
    JsonArray blocks = new JsonArray();
    for (long block : kept.keySet()) blocks.add(hex(block));
    return new JsonObject()
        .put("incarnation", incarnation)
        .put("seq", sequence)
        .put("blocks", blocks);
  }

  /** Streams the events after the requested sequence number and all later ones. */
  void follow(HttpServerRequest request) {
    HttpServerResponse follower =
        request.response().setChunked(true).putHeader("Content-Type", "application/x-ndjson");
    long after = Long.parseLong(request.getParam("after", "0"));
    boolean sameIncarnation = incarnation.equals(request.getParam("incarnation", ""));
    for (Event event : events) {
      if (!sameIncarnation || event.sequence > after) follower.write(line(event));
    }
    follower.write(pulse());
    followers.add(follower);
    follower.closeHandler(v -> unfollow(follower));
    follower.exceptionHandler(failure -> unfollow(follower));
    vertx.setPeriodic(PULSE_MS, timer -> pulse(follower, timer));
  }

  private void pulse(HttpServerResponse follower, long timer) {
    synchronized (lock) {
      if (followers.contains(follower) && !follower.closed()) {
        follower.write(pulse());
      } else {
        vertx.cancelTimer(timer);
        followers.remove(follower);
      }
    }
  }

  private void unfollow(HttpServerResponse follower) {
    synchronized (lock) {
      followers.remove(follower);
    }
  }

  private void recordEvent(boolean stored, long block) {
    Event event = new Event(++sequence, stored, block);
    events.add(event);
    if (events.size() > MAX_EVENTS) events.poll();
    Buffer line = line(event);
    for (HttpServerResponse follower : new ArrayList<>(followers)) {
      if (random.nextDouble() < faults.eventLossRate || follower.closed()) continue;
      if (random.nextDouble() < faults.eventDelayRate) sendLate(follower, line);
      else follower.write(line);
    }
  }

  private void sendLate(HttpServerResponse follower, Buffer line) {
    vertx.setTimer(
        1 + random.nextInt(MAX_EVENT_DELAY_MS),
        timer -> {
          if (!follower.closed()) follower.write(line);
        });
  }

  private Buffer pulse() {
    return Buffer.buffer(
        "{\"incarnation\":\"" + incarnation + "\",\"seq\":" + sequence + ",\"op\":\"pulse\"}\n");
  }

  private Buffer line(Event event) {
    return Buffer.buffer(
        "{\"incarnation\":\""
            + incarnation
            + "\",\"seq\":"
            + event.sequence
            + ",\"op\":\""
            + (event.stored ? "store" : "evict")
            + "\",\"block\":\""
            + hex(event.block)
            + "\"}\n");
  }

  private static String hex(long block) {
    return String.format("%016x", block);
  }
}
