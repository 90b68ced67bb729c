package gladelug.data.request;

import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.relay.Backend;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.function.Consumer;

/**
 * One request under way: what the caller sent, what the filters found, and the caller that gets its
 * answer. Confined to the request thread but for its state.
 */
public final class Request {
  public final RequestState state = new RequestState();
  public final Decision decision;
  public final long receivedAtMs;
  public final String apiKeyHash;
  public final String path;
  public final Caller caller;
  public Configuration.Tenant tenant;
  public Configuration.Route route;
  public Configuration.Service service;
  public String leaf = "";
  public long deadlineMs;
  public long forwardedAtMs;
  public boolean repeatable;

  /** What the caller said of it, or null. */
  public Boolean declaredRepeatable;

  /** Of the path's host, empty where the caller names none. */
  public String host = "";

  public ReceivedRequest received = ReceivedRequest.NONE;
  public Prompt prompt = Prompt.NONE;

  /** Whose weights it runs on: the model it names, or its service. */
  public String model = "";

  public int maxPieces;

  /** Tokens put out at most, as the caller said; 0 where it didn't. */
  public int maxTokensOut;

  /** Estimated before it is given a place, in ms: its prompt and reply; and those with all else. */
  public double ownWorkMs;

  public double expectedMs;

  /** How long the caller waits in all, in ms; 0 where it didn't say. */
  public long patienceMs;

  /** Told by the caller that what it sends may be taken up in the middle, after this event. */
  public String lastEventId = "";

  /**
   * Whether the last piece that went out is the event named by lastEvent, so that the answer can be
   * taken up after it.
   */
  public boolean canResumeAfterLastEvent;

  public ResponseHead responseHead;

  /** Why it was refused or cut off, for the log. */
  public String failureReason = "";

  /** The only replica that may be chosen now, or null. */
  public Backend requiredBackend;

  /**
   * From 0 to 1, the same for every try at the same replicas: which part of a split route it takes.
   */
  public double splitDraw;

  public String weights = "";

  /** Among whom it shares cached prefixes. */
  public String cacheScope = "";

  public long[] blockKeys = new long[0];
  public List<Lookup.Match> matches = List.of();

  /** How the index answered: answered, warming, late, no-index or no-block; - where not asked. */
  public String lookupOutcome = "-";

  /** How long the index's answer was waited for, in ms. */
  public long lookupMs;

  /** The most units of its prompt's first blocks that any one holder keeps, as the index told. */
  public int maxHeldUnits;

  /** From its arrival to the first piece of the answer, in ms; -1 before that. */
  public long firstPieceMs = -1;

  /** When the last piece of the answer came, on the relay's clock; counts from the first one on. */
  private long lastPieceAtMs;

  /** The longest time between two pieces of the answer, in ms, and when it ended. */
  private long longestPauseMs;

  private long longestPauseEndedAtMs;

  public Backend backend;
  public int matchedBlocks;
  public String fetchFrom = "";
  public int fetchBlocks;

  /** The store to which its replica is to save the prompt; empty for none. */
  public String saveTo = "";

  /**
   * What the choice reckoned with: units to compute, ms of that and of pulling, ms in the replica's
   * queue.
   */
  public int computeUnits;

  public double workMs;
  public double queueMs;

  /** Requests that the chosen replica had by then, as far as the relay and the index knew. */
  public int runningOnBackend;

  public int tryCount;

  /** The replica it went to last, or null. */
  public Backend lastTriedBackend;

  /**
   * A replica had it and didn't say that it did not run it, so nothing may be called not-run any
   * more.
   */
  public boolean mayHaveRun;

  public int choiceCount;
  public boolean admitted;
  public int piecesOut;
  public boolean callerGone;
  public Runnable cancel = () -> {};

  /** Told why, where its replica is known to be silent; nothing more of it counts then. */
  public Consumer<String> onReplicaLost = why -> {};

  public Consumer<FilterResult> onLeaveQueue;

  /** The caller's side of a request. */
  public interface Caller {
    void refuse(Request request, FilterResult.Refuse v);

    /** False where the caller can't take more for now; ready is then called once. */
    boolean sendPiece(Request request, Buffer piece, Runnable ready);

    /** Before the first piece, once. */
    default void sendHead(Request request, ResponseHead h) {}

    void complete(Request request, int pieces);

    void cutOff(Request request, String why);
  }

  /**
   * Cached prefixes are shared among others from now on: none is known that it may use, and what
   * was found in the former scope is forgotten.
   */
  public void changeCacheScope(String otherScope, int blockBytes) {
    cacheScope = otherScope;
    matches = List.of();
    blockKeys = prompt.blockKeys(model, weights, cacheScope, blockBytes);
    matchedBlocks = 0;
    fetchFrom = "";
    fetchBlocks = 0;
  }

  public Request(Decision decision, long came, String keyHash, String path, Caller caller) {
    this.decision = decision;
    this.receivedAtMs = came;
    this.apiKeyHash = keyHash;
    this.path = path;
    this.caller = caller;
  }

  /** A piece of the answer came, the first or a later one. */
  public void recordPiece(long nowMs) {
    if (piecesOut > 0 && nowMs - lastPieceAtMs > longestPauseMs) {
      longestPauseMs = nowMs - lastPieceAtMs;
      longestPauseEndedAtMs = nowMs;
    }
    lastPieceAtMs = nowMs;
    piecesOut++;
  }

  /** The longest time between two pieces of the answer so far, in ms; 0 before the second. */
  public long longestPauseMs() {
    return longestPauseMs;
  }

  /** From its arrival to the end of that pause, in ms; -1 where there is none. */
  public long longestPauseEndedMs() {
    return longestPauseMs == 0 ? -1 : longestPauseEndedAtMs - receivedAtMs;
  }

  /** Whether a pause was longer than its route allows. */
  public boolean pausedTooLong() {
    return route != null
        && route.eventGapTargetMs() > 0
        && longestPauseMs > route.eventGapTargetMs();
  }

  /** The last moment at which it may begin and is still likely to end before its deadline. */
  public long latestStartMs() {
    return deadlineMs - Math.round(expectedMs);
  }

  /** The most that is put out for it, in tokens or, where those aren't told, in pieces. */
  public int outputLimit() {
    return maxTokensOut > 0 ? maxTokensOut : maxPieces;
  }

  /** What it takes of a replica's memory, in units: its prompt and what is put out at most. */
  public int units() {
    return promptUnits() + maxTokensOut;
  }

  /** The size of its prompt, in units. */
  public int promptUnits() {
    return promptUnits(blockKeys.length);
  }

  /** The size of the first so many blocks of its prompt, in units. */
  public int promptUnits(int firstBlocks) {
    int units = 0;
    for (int i = 0; i < firstBlocks; i++) units += prompt.blockUnits(i);
    return units;
  }

  public String id() {
    return decision.id;
  }
}
