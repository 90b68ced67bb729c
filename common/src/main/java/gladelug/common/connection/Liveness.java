package gladelug.common.connection;

/**
 * How a persistent connection detects that its peer is gone, and how it reconnects. A TCP
 * connection whose packets were dropped for a while stays silent for as long again, since TCP backs
 * its retransmission off; a new connection works at once. So a read time-out closes the connection.
 *
 * <p>A heartbeat costs no wake-up of its own: a record that is sent anyway asks for an answer where
 * nothing was received for askAfter ms, and the other side answers with an empty record. A
 * connection on which nothing is sent needs no heartbeat, since nothing of it can be held up.
 *
 * <p>The bound. With a record sent at least every p ms, a dead connection is closed at most
 * askAfter + p + patience + p + GRACE ms after the last byte was received (each p at most, since
 * both the question and the check wait for the next use; a caller that checks more often puts that
 * period in place of the second p), plus 1 ms for each BYTES_PER_MS bytes the question waits
 * behind. The next attempt to connect begins pause ms later and is given up after connectTimeout
 * ms, so once packets pass again a connection stands within connectTimeout + pause ms and a round
 * trip.
 *
 * <p>Slow machines. Patience is at least twice the slowest answer lately seen, up to SLOWEST times
 * the usual, so a machine that is slow but answers keeps its connection; and it doubles with each
 * connection in turn that was accepted and never answered, so a frozen process isn't handed a new
 * connection each second, to be read when it wakes.
 *
 * <p>Times in ms.
 *
 * @param probeAfterMs how long nothing was received before a record asks for an answer
 * @param answerTimeoutMs how long that answer may take
 * @param connectTimeoutMs how long an attempt to connect may take
 * @param reconnectDelayMs between the end of a connection, or of an attempt, and the next attempt
 */
public record Liveness(
    long probeAfterMs, long answerTimeoutMs, int connectTimeoutMs, long reconnectDelayMs) {
  /** Time for what has arrived meanwhile to be read, where this process itself was late. */
  public static final long GRACE_MS = 50;

  /** The slowest link that is allowed for. */
  static final long MIN_LINK_BYTES_PER_MS = 1000;

  /** How many times the usual patience a slow or silent peer may be given. */
  static final long MAX_TIMEOUT_FACTOR = 4;

  /**
   * For connections of the data plane. Relays ask every 800 ms at the most and have leases of
   * seconds, so an unanswered question is found out when the next is asked, 1.65 s after the last
   * byte; the connect timeout is above the round trip between far regions.
   */
  public static final Liveness DATA_PLANE = new Liveness(700, 700, 500, 200);

  public Liveness {
    if (probeAfterMs <= 0 || answerTimeoutMs <= 0 || connectTimeoutMs <= 0 || reconnectDelayMs <= 0)
      throw new IllegalArgumentException("every time must be above 0");
  }

  /**
   * For connections between members that send a sign of life every alive ms and count as dead after
   * dead ms of silence. The dead connection is closed alive + dead / 2 + GRACE ms and a check after
   * its last byte and begun anew within dead / 2 + alive / 2 ms, so one machine's short cut is over
   * before the member counts as dead, or soon after the cut ends.
   */
  public static Liveness forMembers(int alive, int dead) {
    return new Liveness(
        Math.max(1, alive / 2), dead / 2, Math.max(1, dead / 2), Math.max(1, alive / 2));
  }
}
