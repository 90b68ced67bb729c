package gladelug.data.request;

/**
 * What a filter decides on a request: go on, go back to the choice, it has ended here, or refuse
 * it.
 */
public sealed interface FilterResult {
  record Continue() implements FilterResult {}

  /** To the choice of a replica once more; why goes into the decision. */
  record ChooseAgain(String reason) implements FilterResult {}

  record Ended() implements FilterResult {}

  /** outcome is not-run or unknown; retryMs 0 is no advice. */
  record Refuse(int status, String outcome, String reason, long retryAfterMs)
      implements FilterResult {
    private static final String UNKNOWN = "unknown";

    /** The same, but for a request that an earlier try may have run: that is of unknown fate. */
    public Refuse adjustedForTriesOf(Request request) {
      if (!request.mayHaveRun || outcome.equals(UNKNOWN)) return this;
      return new Refuse(502, UNKNOWN, reason + ", and an earlier try may have run", retryAfterMs);
    }
  }

  /**
   * The advice, in ms, to come back at once: what the request lacked is there now, here or at
   * another relay.
   */
  long RETRY_AT_ONCE_MS = 10;

  FilterResult CONTINUE = new Continue(), ENDED = new Ended();

  static FilterResult notRun(int status, String reason, long retryMs) {
    return new Refuse(status, "not-run", reason, retryMs);
  }

  static FilterResult unknown(int status, String reason, long retryMs) {
    return new Refuse(status, "unknown", reason, retryMs);
  }
}
