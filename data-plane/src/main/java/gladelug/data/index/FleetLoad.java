package gladelug.data.index;

import gladelug.common.message.Lookup;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * What all relays together gave each replica and how scarce the holders' memory is: a relay alone
 * sees its own small part of both. Prompts are reckoned as a queue that is done one after the
 * other, replies as running side by side; what isn't told of any more runs out by itself. A hint,
 * like all of the index. Lives on one thread.
 */
public final class FleetLoad {
  /** No work that is told of keeps a replica busy for longer, in ms. */
  private static final long MAX_BUSY_MS = 10_000;

  /** How many requests of a replica are reckoned with at most. */
  private static final int MAX_RUNNING = 1024;

  /** How many replicas an answer names at most; the busiest, as they are to be avoided. */
  private static final int MAX_NAMED = 64;

  /** The weight of one stored or evicted block against those before it. */
  private static final double BLOCK_WEIGHT = 1.0 / 512;

  private record Running(long endsAtMs, int units) {}

  /** What one replica was given. */
  private static final class AssignedWork {
    private final PriorityQueue<Running> running =
        new PriorityQueue<>(Comparator.comparingLong(Running::endsAtMs));
    private long busyUntilMs;
    private int units;

    void add(Lookup.Work work, long now) {
      long prefilled = Math.max(now, busyUntilMs) + Math.max(0, work.prefillMs());
      busyUntilMs = Math.min(now + MAX_BUSY_MS, prefilled);
      if (running.size() >= MAX_RUNNING) remove(running.poll());
      long reply = Math.min(MAX_BUSY_MS, Math.max(0, work.decodeMs()));
      running.add(new Running(busyUntilMs + reply, Math.max(0, work.memoryUnits())));
      units += Math.max(0, work.memoryUnits());
    }

    private void remove(Running ended) {
      units -= ended.units;
    }

    /** Whether nothing is left of it. */
    boolean expire(long now) {
      while (!running.isEmpty() && running.peek().endsAtMs <= now) remove(running.poll());
      return running.isEmpty() && busyUntilMs <= now;
    }

    Lookup.Load toLoad(String holder, long now) {
      return new Lookup.Load(
          holder, (int) Math.max(0, busyUntilMs - now), running.size(), Math.max(0, units));
    }
  }

  private final Map<String, AssignedWork> workByReplica = new HashMap<>();
  private double stored;
  private double evicted;

  /** A relay sent a replica so much work. */
  public void recordPlacement(String holder, Lookup.Work work, long now) {
    if (work.equals(Lookup.Work.UNKNOWN)) return;
    workByReplica.computeIfAbsent(holder, name -> new AssignedWork()).add(work, now);
  }

  /** A holder told that it keeps a block, or keeps it no more. */
  void recordBlockEvent(boolean keeps) {
    stored += ((keeps ? 1 : 0) - stored) * BLOCK_WEIGHT;
    evicted += ((keeps ? 0 : 1) - evicted) * BLOCK_WEIGHT;
  }

  void removeHolder(String holder) {
    workByReplica.remove(holder);
  }

  /** What an answer tells of it now. */
  public Lookup.FleetLoad snapshot(long now) {
    workByReplica.values().removeIf(work -> work.expire(now));
    List<Lookup.Load> loads = new ArrayList<>(workByReplica.size());
    workByReplica.forEach((holder, work) -> loads.add(work.toLoad(holder, now)));
    if (loads.size() > MAX_NAMED) {
      loads.sort(Comparator.comparingInt(Lookup.Load::busyMs).reversed());
      loads.subList(MAX_NAMED, loads.size()).clear();
    }
    return new Lookup.FleetLoad(List.copyOf(loads), evictedShare());
  }

  private double evictedShare() {
    return stored <= 0 ? 0 : Math.min(1, evicted / stored);
  }
}
