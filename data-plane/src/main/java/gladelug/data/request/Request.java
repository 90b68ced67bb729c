package gladelug.data.request;

import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.relay.Backend;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.function.Consumer;

/**
 * A request in progress: what the caller sent, what the filters found, and the caller that receives
 * the answer. Confined to the request thread except for its state.
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

  /** The leaf of the quota tree that the request counts against; set with the route. */
  public String leaf = "";

  /** The deadline on the relay's clock. */
  public long deadlineMs;

  /** The time on the relay's clock at which the request was last forwarded to a replica. */
  public long forwardedAtMs;

  /** Whether the request may be run again after an earlier try may have run it. */
  public boolean repeatable;

  /** Whether the caller declared the request repeatable; null if it did not say. */
  public Boolean declaredRepeatable;

  /** The host that the caller named; empty if it named none. */
  public String host = "";

  public ReceivedRequest received = ReceivedRequest.NONE;
  public Prompt prompt = Prompt.NONE;

  /** The model that the caller named, otherwise the service; selects the weights. */
  public String model = "";

  /** The maximum number of pieces of the answer. */
  public int maxPieces;

  /** The maximum number of output tokens that the caller set; 0 if it set none. */
  public int maxTokensOut;

  /**
   * The estimated time of prefill and reply in ms, set before the request is admitted to a replica.
   */
  public double ownWorkMs;

  /**
   * The expected time in ms from forwarding to the end of the answer, derived from ownWorkMs and
   * the measured durations of earlier requests.
   */
  public double expectedMs;

  /** The total time in ms that the caller waits for the answer; 0 if it did not say. */
  public long patienceMs;

  /**
   * The id of the event after which the caller wants the answer resumed; empty if the answer cannot
   * be resumed.
   */
  public String lastEventId = "";

  /**
   * Whether the last piece sent is the event named by lastEventId, so that the answer can resume
   * after it.
   */
  public boolean canResumeAfterLastEvent;

  public ResponseHead responseHead;

  /** The reason why the request was refused or cut off, for the log. */
  public String failureReason = "";

  /** The only replica that may be chosen now, or null for any. */
  public Backend requiredBackend;

  /**
   * A draw from 0 to 1 that selects a branch of a split route; the same for every try at the same
   * replicas.
   */
  public double splitDraw;

  /** The version of the weights that the request runs on. */
  public String weights = "";

  /** The scope in which the request shares cached prefixes; see {@link CacheScope}. */
  public String cacheScope = "";

  /** The keys of the prefix blocks of the prompt. */
  public long[] blockKeys = new long[0];

  public List<Lookup.Match> matches = List.of();

  /**
   * The outcome of the index lookup: answered, warming, late, no-index or no-block; "-" if the
   * index was not queried.
   */
  public String lookupOutcome = "-";

  /** The time waited for the index's answer, in ms. */
  public long lookupMs;

  /**
   * The maximum over all holders of the units of the prompt's first blocks that a holder keeps,
   * according to the index.
   */
  public int maxHeldUnits;

  /** The time from arrival to the first piece of the answer in ms; -1 before that. */
  public long firstPieceMs = -1;

  /** The time of the last piece of the answer on the relay's clock; valid after the first piece. */
  private long lastPieceAtMs;

  /** The longest pause between two pieces of the answer, in ms. */
  private long longestPauseMs;

  /** The time on the relay's clock at which the longest pause ended. */
  private long longestPauseEndedAtMs;

  public Backend backend;

  /** The number of first blocks that the chosen replica already keeps. */
  public int matchedBlocks;

  /** The holder from which the replica fetches blocks; empty for none. */
  public String fetchFrom = "";

  public int fetchBlocks;

  /** The store to which the replica saves the prompt; empty for none. */
  public String saveTo = "";

  /** The units that the chosen replica must compute, as estimated by the choice. */
  public int computeUnits;

  /** The estimated time in ms to compute and to fetch from other holders. */
  public double workMs;

  /** The estimated time in ms in the chosen replica's queue. */
  public double queueMs;

  /**
   * The number of requests at the chosen replica at that time, as far as the relay and the index
   * knew.
   */
  public int runningOnBackend;

  /** The number of times the request was forwarded to a replica. */
  public int tryCount;

  /** The replica that was tried last, or null. */
  public Backend lastTriedBackend;

  /**
   * Whether a replica received the request and did not report it as not run; the outcome can then
   * no longer be "not-run".
   */
  public boolean mayHaveRun;

  /** The number of times the request was sent back to the choice of a replica. */
  public int choiceCount;

  public boolean admitted;

  /** The number of pieces of the answer that arrived so far. */
  public int piecesOut;

  /** Whether the caller closed the connection. */
  public boolean callerGone;

  /** Cancels the exchange with the replica. */
  public Runnable cancel = () -> {};

  /**
   * Called with the reason when the replica is found to be silent; nothing more that it sends is
   * used.
   */
  public Consumer<String> onReplicaLost = reason -> {};

  /** Called with the result when the request leaves the queue of waiting requests. */
  public Consumer<FilterResult> onLeaveQueue;

  /** The connection to the caller of a request. */
  public interface Caller {
    /** Sends a refusal instead of an answer. */
    void refuse(Request request, FilterResult.Refuse refusal);

    /**
     * Sends a piece of the answer. Returns false if the caller cannot take more for now; ready is
     * then called once.
     */
    boolean sendPiece(Request request, Buffer piece, Runnable ready);

    /** Sends the head of the answer; called once, before the first piece. */
    default void sendHead(Request request, ResponseHead head) {}

    /** Ends the answer after its last piece. */
    void complete(Request request, int pieces);

    /** Breaks off an answer that cannot be completed. */
    void cutOff(Request request, String reason);
  }

  /**
   * Moves the request to another cache scope: discards the matches found in the former scope, since
   * the request may not use them.
   */
  public void changeCacheScope(String newScope, int blockBytes) {
    cacheScope = newScope;
    matches = List.of();
    blockKeys = prompt.blockKeys(model, weights, cacheScope, blockBytes);
    matchedBlocks = 0;
    fetchFrom = "";
    fetchBlocks = 0;
  }

  public Request(
      Decision decision, long receivedAtMs, String apiKeyHash, String path, Caller caller) {
    this.decision = decision;
    this.receivedAtMs = receivedAtMs;
    this.apiKeyHash = apiKeyHash;
    this.path = path;
    this.caller = caller;
  }

  /** Records that a piece of the answer arrived. */
  public void recordPiece(long nowMs) {
    if (piecesOut > 0 && nowMs - lastPieceAtMs > longestPauseMs) {
      longestPauseMs = nowMs - lastPieceAtMs;
      longestPauseEndedAtMs = nowMs;
    }
    lastPieceAtMs = nowMs;
    piecesOut++;
  }

  /**
   * Returns the longest pause between two pieces of the answer so far in ms; 0 before the second
   * piece.
   */
  public long longestPauseMs() {
    return longestPauseMs;
  }

  /** Returns the time from arrival to the end of the longest pause in ms; -1 if there was none. */
  public long longestPauseEndedMs() {
    return longestPauseMs == 0 ? -1 : longestPauseEndedAtMs - receivedAtMs;
  }

  /** Returns whether a pause between two pieces was longer than the route allows. */
  public boolean pausedTooLong() {
    return route != null
        && route.eventGapTargetMs() > 0
        && longestPauseMs > route.eventGapTargetMs();
  }

  /**
   * Returns the latest start time at which the request is still expected to end before its
   * deadline.
   */
  public long latestStartMs() {
    return deadlineMs - Math.round(expectedMs);
  }

  /** Returns the bound on the output, in tokens if the caller set one, otherwise in pieces. */
  public int outputLimit() {
    return maxTokensOut > 0 ? maxTokensOut : maxPieces;
  }

  /**
   * Returns the memory that the request takes at a replica, in units: its prompt and its maximum
   * output.
   */
  public int units() {
    return promptUnits() + maxTokensOut;
  }

  /** Returns the size of the prompt in units. */
  public int promptUnits() {
    return promptUnits(blockKeys.length);
  }

  /** Returns the size of the first blocks of the prompt in units. */
  public int promptUnits(int blockCount) {
    int units = 0;
    for (int i = 0; i < blockCount; i++) units += prompt.blockUnits(i);
    return units;
  }

  public String id() {
    return decision.id;
  }
}
