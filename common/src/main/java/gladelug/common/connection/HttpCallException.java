package gladelug.common.connection;

/** Thrown when an HTTP call got no complete response. */
public final class HttpCallException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Why there is no complete response. */
  public enum Reason {
    /** The connection failed, or ended before the response was complete. */
    BROKEN,
    /** The response was not complete in time. */
    TIMED_OUT,
    /** The response was larger than the caller accepts. */
    TOO_LARGE,
    /** The memory budget for responses is exhausted. */
    NO_MEMORY
  }

  private final Reason reason;

  HttpCallException(Reason reason, String what) {
    super(what);
    this.reason = reason;
  }

  /** Returns why there is no complete response. */
  public Reason reason() {
    return reason;
  }
}
