package gladelug.emulator;

/**
 * What may be wrong with a stand-in replica; set from outside while it runs.
 *
 * <p>The faults of one stand-in replica. All are off at first.
 */
public final class ReplicaFaults {
  /** It accepts connections and answers nothing. */
  public volatile boolean hang;

  /** It resets a stream after two pieces. */
  public volatile boolean cutStreams;

  /** It sends a piece after the end of the answer. */
  public volatile boolean pieceAfterEnd;

  /** It ends the answer in the middle of the third piece. */
  public volatile boolean truncatePiece;

  /** It leaves out the number of the third piece. */
  public volatile boolean skipPiece;

  /** It names weights in its answers that it does not run. */
  public volatile boolean reportWrongWeights;

  /** It names another service when it is asked who it is. */
  public volatile boolean reportWrongService;

  /** It reports a load that can't be. */
  public volatile boolean reportInvalidLoad;

  /** The part of its cache events that it never sends. */
  public volatile double eventLossRate;

  /** The part of its cache events that it sends late. */
  public volatile double eventDelayRate;

  /** The part of requests that it refuses without running them. */
  public volatile double refusalRate;

  /** The part of requests whose connection it closes before the first piece. */
  public volatile double earlyCloseRate;

  /** How many times slower than usual its links to other replicas are. */
  public volatile double linkFactor = 1;

  /** Further milliseconds between two pieces. */
  public volatile long extraPieceDelayMs;

  /** Takes all faults away. */
  public void clear() {
    hang = false;
    cutStreams = false;
    pieceAfterEnd = false;
    truncatePiece = false;
    skipPiece = false;
    reportWrongWeights = false;
    reportWrongService = false;
    reportInvalidLoad = false;
    eventLossRate = 0;
    eventDelayRate = 0;
    refusalRate = 0;
    earlyCloseRate = 0;
    linkFactor = 1;
    extraPieceDelayMs = 0;
  }
}
