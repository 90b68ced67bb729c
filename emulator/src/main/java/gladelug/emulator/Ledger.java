package gladelug.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Records what the stand-ins observed, by the tag that each caller puts at the end of its prompt,
 * so that nothing depends on gladelug's own ids or counters. The checks read only this ledger.
 */
public final class Ledger {
  /** One delivery of a request to a replica. */
  public static final class Run {
    public final String tag;
    public final String order;
    public final String service;
    public final String instance;
    public final String weights;
    public final String wall;
    public final int attempt;
    public final long atMs;
    public volatile boolean ran;
    public volatile int pieces;
    public volatile boolean ended;

    /** Whether its connection was closed before the end of the answer. */
    public volatile boolean closedEarly;

    public int blocks;
    public int reused;
    public int fetched;
    public int computed;
    public int wrongHints;

    public Run(
        String tag,
        String order,
        String service,
        String instance,
        String weights,
        String wall,
        int attempt,
        long at) {
      this.tag = tag;
      this.order = order;
      this.service = service;
      this.instance = instance;
      this.weights = weights;
      this.wall = wall;
      this.attempt = attempt;
      this.atMs = at;
    }
  }

  /** What a caller observed of one of its requests. */
  public static final class Call {
    public final String tag;
    public final String kind;
    public final String tenant;
    public final String relay;
    public final boolean repeatable;
    public final long sentMs;
    public volatile String outcome = "none";
    public volatile String order = "";
    public volatile String reason = "";
    public volatile int status;
    public volatile int pieces;
    public volatile int foreign;
    public volatile int misordered;
    public volatile boolean explicitEnd;
    public volatile boolean bodyTerminated;
    public volatile long firstPieceMs = -1;
    public volatile long doneMs = -1;

    public Call(
        String tag, String kind, String tenant, String relay, boolean repeatable, long sent) {
      this.tag = tag;
      this.kind = kind;
      this.tenant = tenant;
      this.relay = relay;
      this.repeatable = repeatable;
      this.sentMs = sent;
    }
  }

  public record Note(long at, String what) {}

  public final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
  public final Map<String, Call> calls = new ConcurrentHashMap<>();
  public final ConcurrentLinkedQueue<Note> notes = new ConcurrentLinkedQueue<>();

  /** Reuses of a block that was computed under other weights or in another isolation domain. */
  public final ConcurrentLinkedQueue<String> invalidReuses = new ConcurrentLinkedQueue<>();

  /**
   * A use of a cached block that another tenant's request had computed.
   *
   * @param tag of the request that used it
   * @param maker of the request that made it
   * @param instance the replica that used it
   * @param at when the request that used it was handed to the replica
   */
  public record ForeignUse(String tag, String maker, String instance, long at) {}

  /** Uses of other tenants' blocks, which are allowed if neither tenant is isolated. */
  public final ConcurrentLinkedQueue<ForeignUse> foreignUses = new ConcurrentLinkedQueue<>();

  /** Calls that reached a server which nobody was ever allowed to call. */
  public final ConcurrentLinkedQueue<String> forbiddenCalls = new ConcurrentLinkedQueue<>();

  public final ConcurrentLinkedQueue<String> commanderConflicts = new ConcurrentLinkedQueue<>();

  public void addRun(Run r) {
    runs.computeIfAbsent(r.tag, t -> Collections.synchronizedList(new ArrayList<>())).add(r);
  }

  /** Records that a run used a cached block which the request tagged {@code maker} had computed. */
  public void recordReuse(Run run, String maker) {
    Call user = calls.get(run.tag);
    Call other = calls.get(maker);
    if (user == null || other == null || user.tenant.equals(other.tenant)) return;
    foreignUses.add(new ForeignUse(run.tag, maker, run.instance, run.atMs));
  }

  public void addNote(String what) {
    notes.add(new Note(System.nanoTime() / 1_000_000, what));
  }
}
