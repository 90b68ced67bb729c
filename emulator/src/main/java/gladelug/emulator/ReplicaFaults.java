package gladelug.emulator;

/** The faults of a stand-in replica, which can be set while it runs. Initially all are off. */
public final class ReplicaFaults {
  /** Accepts connections and answers nothing. */
  public volatile boolean hang;

  /** Resets a stream after two pieces. */
  public volatile boolean cutStreams;

  /** Sends a piece after the end of the answer. */
  public volatile boolean pieceAfterEnd;

  /** Ends the answer in the middle of the third piece. */
  public volatile boolean truncatePiece;

  /** Skips the number of the third piece. */
  public volatile boolean skipPiece;

  /** Reports weights in its answers that it does not run. */
  public volatile boolean reportWrongWeights;

  /** Reports another service in its identity. */
  public volatile boolean reportWrongService;

  /** Reports an impossible load. */
  public volatile boolean reportInvalidLoad;

  /** The fraction of its cache events that it never sends. */
  public volatile double eventLossRate;

  /** The fraction of its cache events that it sends late. */
  public volatile double eventDelayRate;

  /** The fraction of requests that it refuses without running them. */
  public volatile double refusalRate;

  /** The fraction of requests whose connection it closes before the first piece. */
  public volatile double earlyCloseRate;

  /** The factor by which its links to other replicas are slowed down. */
  public volatile double linkFactor = 1;

  /** Additional milliseconds between two pieces. */
  public volatile long extraPieceDelayMs;

  /** Clears all faults. */
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
