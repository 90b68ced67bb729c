package gladelug.data.index;

import gladelug.common.message.Lookup;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Tracks the work that all relays together sent to each replica, and how scarce the memory of the
 * holders is; a single relay sees only its own part of both. Prefills are modelled as a queue
 * processed one after the other, replies as running concurrently; work ends by its estimated time,
 * not by a report. A hint, like everything in the index. Confined to one thread.
 */
public final class FleetLoad {
  /** The maximum time in ms for which reported work marks a replica as busy. */
  private static final long MAX_BUSY_MS = 10_000;

  /** The maximum number of requests tracked per replica. */
  private static final int MAX_RUNNING = 1024;

  /** The maximum number of replicas in an answer: the busiest, since those are to be avoided. */
  private static final int MAX_NAMED = 64;

  /** The weight of one stored or evicted block in the moving averages. */
  private static final double BLOCK_WEIGHT = 1.0 / 512;

  private record Running(long endsAtMs, int units) {}

  /** The work assigned to one replica. */
  private static final class AssignedWork {
    private final PriorityQueue<Running> running =
        new PriorityQueue<>(Comparator.comparingLong(Running::endsAtMs));
    private long busyUntilMs;
    private int units;

    void add(Lookup.Work work, long nowMs) {
      long prefillEndMs = Math.max(nowMs, busyUntilMs) + Math.max(0, work.prefillMs());
      busyUntilMs = Math.min(nowMs + MAX_BUSY_MS, prefillEndMs);
      if (running.size() >= MAX_RUNNING) remove(running.poll());
      long replyMs = Math.min(MAX_BUSY_MS, Math.max(0, work.decodeMs()));
      running.add(new Running(busyUntilMs + replyMs, Math.max(0, work.memoryUnits())));
      units += Math.max(0, work.memoryUnits());
    }

    private void remove(Running ended) {
      units -= ended.units;
    }

    /** Removes ended work; returns whether nothing is left. */
    boolean expire(long nowMs) {
      while (!running.isEmpty() && running.peek().endsAtMs <= nowMs) remove(running.poll());
      return running.isEmpty() && busyUntilMs <= nowMs;
    }

    Lookup.Load toLoad(String holder, long nowMs) {
      return new Lookup.Load(
          holder, (int) Math.max(0, busyUntilMs - nowMs), running.size(), Math.max(0, units));
    }
  }

  private final Map<String, AssignedWork> workByReplica = new HashMap<>();
  private double stored;
  private double evicted;

  /** Records that a relay sent work to a replica. */
  public void recordPlacement(String holder, Lookup.Work work, long nowMs) {
    if (work.equals(Lookup.Work.UNKNOWN)) return;
    workByReplica.computeIfAbsent(holder, name -> new AssignedWork()).add(work, nowMs);
  }

  /** Records that a holder stored or evicted a block. */
  void recordBlockEvent(boolean kept) {
    stored += ((kept ? 1 : 0) - stored) * BLOCK_WEIGHT;
    evicted += ((kept ? 0 : 1) - evicted) * BLOCK_WEIGHT;
  }

  void removeHolder(String holder) {
    workByReplica.remove(holder);
  }

  /** Returns the load as included in an answer now. */
  public Lookup.FleetLoad snapshot(long nowMs) {
    workByReplica.values().removeIf(work -> work.expire(nowMs));
    List<Lookup.Load> loads = new ArrayList<>(workByReplica.size());
    workByReplica.forEach((holder, work) -> loads.add(work.toLoad(holder, nowMs)));
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
