package gladelug.control.core;

/**
 * The right to command in a key's name: under which fence, and until when on this process's
 * monotonic clock.
 *
 * @param fence the epoch of the key's owner
 * @param untilMs the first moment at which nothing commanded may arrive any more
 */
public record CommandLease(long fence, long untilMs) {
  /** No right at all. */
  public static final CommandLease NONE = new CommandLease(-1, Long.MIN_VALUE);

  /** Whether a command that leaves now and arrives within so many ms arrives under the right. */
  public boolean covers(long now, long ms) {
    return !equals(NONE) && now + ms <= untilMs;
  }
}
