package gladelug.data.index;

import gladelug.common.message.Lookup;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What all relays together gave each replica and how scarce the holders' memory is: a relay alone
 * sees its own small part of both. Work is reckoned as a queue that is done one after the other;
 * what isn't told of any more runs out by itself. A hint, like all of the index. Lives on one
 * thread.
 */
final class FleetLoad {
  /** Below this a replica counts as free, in ms. */
  private static final int LEAST_BUSY_MS = 2;

  /** No work that is told of keeps a replica busy for longer, in ms. */
  private static final long MOST_BUSY_MS = 10_000;

  /** How many replicas an answer names at most; the busiest, as they are to be avoided. */
  private static final int MOST_NAMED = 64;

  /** The weight of one stored or evicted block against those before it. */
  private static final double BLOCK_WEIGHT = 1.0 / 512;

  private final Map<String, Long> busyUntil = new HashMap<>();
  private double stored;
  private double evicted;

  /** A relay sent a replica so much work. */
  void placed(String holder, int workMs, long now) {
    if (workMs <= 0) return;
    long from = Math.max(now, busyUntil.getOrDefault(holder, now));
    busyUntil.put(holder, Math.min(now + MOST_BUSY_MS, from + workMs));
  }

  /** A holder told that it keeps a block, or keeps it no more. */
  void event(boolean keeps) {
    stored += ((keeps ? 1 : 0) - stored) * BLOCK_WEIGHT;
    evicted += ((keeps ? 0 : 1) - evicted) * BLOCK_WEIGHT;
  }

  void gone(String holder) {
    busyUntil.remove(holder);
  }

  /** What an answer tells of it now. */
  Lookup.Fleet told(long now) {
    busyUntil.values().removeIf(until -> until - now < LEAST_BUSY_MS);
    List<Lookup.Load> loads = new ArrayList<>(busyUntil.size());
    busyUntil.forEach((holder, until) -> loads.add(new Lookup.Load(holder, (int) (until - now))));
    if (loads.size() > MOST_NAMED) {
      loads.sort(Comparator.comparingInt(Lookup.Load::busyMs).reversed());
      loads.subList(MOST_NAMED, loads.size()).clear();
    }
    return new Lookup.Fleet(loads, evictedShare());
  }

  private double evictedShare() {
    return stored <= 0 ? 0 : Math.min(1, evicted / stored);
  }
}
