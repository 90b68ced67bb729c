package gladelug.common.connection;

import gladelug.common.Clock;
import gladelug.common.MemoryBudget;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the bytes of request bodies that a listener holds, under one memory budget. A body is held
 * from its request's head until the answer has ended. A body that has been arriving for long holds
 * its bytes only until others need them: then its connection is closed. Confined to one thread.
 */
public final class InboundBodies {
  /** A body that takes longer than this gives way to others when the budget is spent, in ms. */
  public static final long SLOW_MS = 5000;

  /** Initial value of the average time for which a body is held, in ms. */
  private static final double INITIAL_AVERAGE_HELD_MS = 500;

  /** Weight of the latest body in the exponential moving average. */
  private static final double AVERAGE_SMOOTHING = 1.0 / 20;

  /** The bytes reserved for a request, since when, in ms, and whether its body is complete. */
  private record HeldBody(long bytes, long sinceMs, boolean complete) {}

  private final MemoryBudget budget;
  private final Clock clock;
  private final Map<HttpServerRequest, HeldBody> held = new IdentityHashMap<>();
  private double averageHeldMs = INITIAL_AVERAGE_HELD_MS;

  public InboundBodies(MemoryBudget budget, Clock clock) {
    this.budget = budget;
    this.clock = clock;
  }

  /**
   * Reserves further bytes for a request. Returns false and reserves nothing if the budget does not
   * have that many left, and slow bodies do not hold them.
   */
  public boolean reserve(HttpServerRequest request, long bytes) {
    if (bytes == 0) return true;
    if (!budget.reserve(bytes) && !(abandonSlowBodies(request) && budget.reserve(bytes)))
      return false;
    HeldBody before = held.getOrDefault(request, new HeldBody(0, clock.now(), false));
    held.put(request, new HeldBody(before.bytes + bytes, before.sinceMs, false));
    return true;
  }

  /** Closes the connections of slow bodies; returns whether there were any. */
  private boolean abandonSlowBodies(HttpServerRequest except) {
    long nowMs = clock.now();
    List<HttpServerRequest> slow = new ArrayList<>();
    for (Map.Entry<HttpServerRequest, HeldBody> entry : held.entrySet())
      if (entry.getKey() != except
          && !entry.getValue().complete
          && nowMs - entry.getValue().sinceMs > SLOW_MS) slow.add(entry.getKey());
    for (HttpServerRequest request : slow) {
      release(request);
      request.connection().close();
    }
    return !slow.isEmpty();
  }

  /** Records that a body has arrived completely; from then on it gives way to no other. */
  void onComplete(HttpServerRequest request) {
    held.computeIfPresent(request, (key, body) -> new HeldBody(body.bytes, body.sinceMs, true));
  }

  /** Releases all bytes reserved for a request; does nothing if none are reserved. */
  public void release(HttpServerRequest request) {
    HeldBody body = held.remove(request);
    if (body == null) return;
    budget.release(body.bytes);
    averageHeldMs += (clock.now() - body.sinceMs - averageHeldMs) * AVERAGE_SMOOTHING;
  }

  /** Returns the estimated time until the next held body is released, in ms. */
  public long estimatedReleaseMs() {
    return Math.round(averageHeldMs / Math.max(1, held.size()));
  }
}
