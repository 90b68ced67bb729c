package gladelug.control.core;

/**
 * A lease that entitles the owner of a key to send commands, with its fencing token and its end.
 *
 * @param fence the epoch of the key's owner
 * @param untilMs when the lease ends, on this process's monotonic clock, in ms; a command must
 *     arrive by then
 */
public record CommandLease(long fence, long untilMs) {
  /** No lease; it covers no command. */
  public static final CommandLease NONE = new CommandLease(-1, Long.MIN_VALUE);

  /**
   * Returns whether a command that is sent now and arrives within {@code transitMs} arrives before
   * the lease ends.
   */
  public boolean covers(long nowMs, long transitMs) {
    return !equals(NONE) && nowMs + transitMs <= untilMs;
  }
}
