package gladelug.common.connection;

/**
 * Time-outs with which a persistent connection detects a dead peer and reconnects. After packets
 * were dropped for a while, a TCP connection stays silent for about as long again, because TCP
 * backs off its retransmissions, whereas a new connection works at once. Hence a read time-out
 * closes the connection.
 *
 * <p>Heartbeats need no timer: a record that is sent anyway requests an answer if nothing was
 * received for probeAfterMs, and the peer answers with an empty record. A connection on which
 * nothing is sent needs no heartbeat, because nothing can be delayed on it.
 *
 * <p>Bound: if a record is sent at least every p ms, a dead connection is closed at most
 * probeAfterMs + p + answerTimeoutMs + p + GRACE_MS after the last byte was received, plus 1 ms for
 * each MIN_LINK_BYTES_PER_MS bytes queued before the probe. Both the probe and the check wait for
 * the next use of the connection, hence p twice; for a caller that checks more often, its check
 * interval replaces the second p. The next connection attempt starts reconnectDelayMs later and is
 * abandoned after connectTimeoutMs, so once packets pass again a connection is established within
 * connectTimeoutMs + reconnectDelayMs and a round trip.
 *
 * <p>Slow peers: the answer time-out is at least twice the slowest recent answer, up to
 * MAX_TIMEOUT_FACTOR times answerTimeoutMs, so a slow peer that answers keeps its connection. It
 * doubles with each consecutive connection that was accepted and never answered, so that a frozen
 * process doesn't accumulate a new connection each second, all of which it would read once it
 * resumes.
 *
 * @param probeAfterMs time without received bytes after which a record requests an answer
 * @param answerTimeoutMs time within which that answer must arrive
 * @param connectTimeoutMs time within which a connection must be established
 * @param reconnectDelayMs time between the end of a connection or attempt and the next attempt
 */
public record Liveness(
    long probeAfterMs, long answerTimeoutMs, int connectTimeoutMs, long reconnectDelayMs) {
  /** Time to read bytes that arrived while this process itself was delayed. */
  public static final long GRACE_MS = 50;

  /** The slowest link speed that the time-outs allow for. */
  static final long MIN_LINK_BYTES_PER_MS = 1000;

  /** The answer time-out of a slow or silent peer grows to at most this multiple. */
  static final long MAX_TIMEOUT_FACTOR = 4;

  /**
   * For connections of the data plane. Relays send at least every 800 ms and hold leases of
   * seconds, so an unanswered probe is detected with the next record, 1.65 s after the last byte.
   * The connect time-out exceeds the round trip between distant regions.
   */
  public static final Liveness DATA_PLANE = new Liveness(700, 700, 500, 200);

  public Liveness {
    if (probeAfterMs <= 0 || answerTimeoutMs <= 0 || connectTimeoutMs <= 0 || reconnectDelayMs <= 0)
      throw new IllegalArgumentException("all time-outs must be positive");
  }

  /**
   * For connections between members that send a heartbeat every heartbeatMs and are considered dead
   * after deadAfterMs of silence. A dead connection is closed heartbeatMs + deadAfterMs / 2 +
   * GRACE_MS, plus one check interval, after its last byte and reopened within deadAfterMs / 2 +
   * heartbeatMs / 2. So a member recovers from a short network failure before it is considered
   * dead, or soon after the failure ends.
   */
  public static Liveness forMembers(int heartbeatMs, int deadAfterMs) {
    return new Liveness(
        Math.max(1, heartbeatMs / 2),
        deadAfterMs / 2,
        Math.max(1, deadAfterMs / 2),
        Math.max(1, heartbeatMs / 2));
  }
}
