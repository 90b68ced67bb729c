package gladelug.data.request;

/** The result of a filter: continue, choose a replica again, ended here, or refuse. */
public sealed interface FilterResult {
  /** Passes the request to the next filter. */
  record Continue() implements FilterResult {}

  /**
   * Sends the request back to the choice of a replica; the reason is added to the decision record.
   */
  record ChooseAgain(String reason) implements FilterResult {}

  /** The filter has ended the request. */
  record Ended() implements FilterResult {}

  /**
   * Refuses the request. The outcome is "not-run" or "unknown"; retryAfterMs is when the caller
   * should retry, 0 for no advice.
   */
  record Refuse(int status, String outcome, String reason, long retryAfterMs)
      implements FilterResult {
    private static final String UNKNOWN = "unknown";

    /** Returns this refusal, with outcome "unknown" if an earlier try may have run the request. */
    public Refuse adjustedForTriesOf(Request request) {
      if (!request.mayHaveRun || outcome.equals(UNKNOWN)) return this;
      return new Refuse(
          502, UNKNOWN, reason + "; an earlier try may have run the request", retryAfterMs);
    }
  }

  /**
   * The advice to retry almost at once, in ms: what the request lacked is now available, here or at
   * another relay.
   */
  long RETRY_AT_ONCE_MS = 10;

  FilterResult CONTINUE = new Continue(), ENDED = new Ended();

  static FilterResult notRun(int status, String reason, long retryAfterMs) {
    return new Refuse(status, "not-run", reason, retryAfterMs);
  }

  static FilterResult unknown(int status, String reason, long retryAfterMs) {
    return new Refuse(status, "unknown", reason, retryAfterMs);
  }
}
