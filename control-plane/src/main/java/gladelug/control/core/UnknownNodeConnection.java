package gladelug.control.core;

import gladelug.common.connection.PersistentConnection;
import gladelug.control.core.message.CoreMessage.Envelope;

/**
 * A connection to a node that is no member of this generation, closed once nothing has been sent on
 * it for a while. Used on the core's thread only.
 */
final class UnknownNodeConnection {
  private static final long IDLE_TIMEOUT_MS = 30_000;

  private final PersistentConnection connection;
  private long lastSentAtMs;

  UnknownNodeConnection(PersistentConnection connection) {
    this.connection = connection;
  }

  /** Sends a message; may be lost. */
  void send(Envelope message, long nowMs) {
    lastSentAtMs = nowMs;
    connection.send(message);
  }

  /** Closes the connection if it is idle; whether it did. */
  boolean closeIfIdle(long nowMs) {
    if (nowMs - lastSentAtMs < IDLE_TIMEOUT_MS) return false;
    connection.close();
    return true;
  }
}
