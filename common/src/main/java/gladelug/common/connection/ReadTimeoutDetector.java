package gladelug.common.connection;

import gladelug.common.Clock;

/**
 * Decides, for a persistent connection and its successors, which records request an answer and when
 * a missing answer means that the connection is dead. Does no I/O. Thread-safe: called by senders
 * and by the receiving event loop.
 */
public final class ReadTimeoutDetector {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final int MAX_DOUBLINGS = 2;

  private final Liveness bounds;
  private final Clock clock;
  private long lastReceivedAtMs = NEVER;
  private long probedAtMs = NEVER;
  private long allowedMs;
  private long bytesSinceReceived;
  private long slowestAnswerMs;

  /** Number of consecutive connections that were accepted but never answered. */
  private int unansweredConnections;

  public ReadTimeoutDetector(Liveness bounds, Clock clock) {
    this.bounds = bounds;
    this.clock = clock;
  }

  /** Records that a new connection was established. */
  public synchronized void onConnected() {
    if (probedAtMs != NEVER && lastReceivedAtMs == NEVER)
      unansweredConnections = Math.min(unansweredConnections + 1, MAX_DOUBLINGS);
    lastReceivedAtMs = NEVER;
    probedAtMs = NEVER;
    bytesSinceReceived = 0;
  }

  /** Records that a record is sent; returns whether it must request an answer. */
  public synchronized boolean onSending(int bytes) {
    bytesSinceReceived += bytes;
    long nowMs = clock.now();
    if (probedAtMs != NEVER || nowMs - lastReceivedAtMs < bounds.probeAfterMs()) return false;
    probedAtMs = nowMs;
    allowedMs = answerTimeoutMs() + bytesSinceReceived / Liveness.MIN_LINK_BYTES_PER_MS;
    return true;
  }

  private long answerTimeoutMs() {
    long slowPeerMs =
        Math.min(2 * slowestAnswerMs, Liveness.MAX_TIMEOUT_FACTOR * bounds.answerTimeoutMs());
    return Math.max(bounds.answerTimeoutMs() << unansweredConnections, slowPeerMs);
  }

  /** Records that bytes were received; any bytes count as an answer. */
  public synchronized void onReceived() {
    lastReceivedAtMs = clock.now();
    bytesSinceReceived = 0;
    unansweredConnections = 0;
    if (probedAtMs == NEVER) return;
    slowestAnswerMs =
        Math.max(lastReceivedAtMs - probedAtMs, slowestAnswerMs - slowestAnswerMs / 8);
    probedAtMs = NEVER;
  }

  /** Returns whether an answer is overdue. */
  public synchronized boolean isSilent() {
    return probedAtMs != NEVER && clock.now() - probedAtMs >= allowedMs;
  }
}
