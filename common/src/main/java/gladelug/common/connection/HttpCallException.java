package gladelug.common.connection;

/** A call that got no whole answer. */
public final class HttpCallException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Why it got none. */
  public enum Reason {
    /** The connection could not be made, or ended before the answer did. */
    BROKEN,
    /** The answer was not whole in time. */
    TIMED_OUT,
    /** The answer was larger than the caller takes. */
    TOO_LARGE,
    /** Other answers take the memory that there is for them. */
    NO_MEMORY
  }

  private final Reason reason;

  HttpCallException(Reason reason, String what) {
    super(what);
    this.reason = reason;
  }

  /** Why there is no answer. */
  public Reason reason() {
    return reason;
  }
}
