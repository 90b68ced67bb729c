package gladelug.common.connection;

import gladelug.common.Clock;

/**
 * Decides for one persistent connection, and its successors, which records ask for an answer and
 * when a missing answer means that the connection is dead. No I/O; called by those who send and by
 * the event loop that receives.
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

  /** Connections in turn that were accepted and then never answered. */
  private int unansweredConnections;

  public ReadTimeoutDetector(Liveness bounds, Clock clock) {
    this.bounds = bounds;
    this.clock = clock;
  }

  /** A new connection stands; nothing was received on it yet. */
  public synchronized void onConnected() {
    if (probedAtMs != NEVER && lastReceivedAtMs == NEVER)
      unansweredConnections = Math.min(unansweredConnections + 1, MAX_DOUBLINGS);
    lastReceivedAtMs = NEVER;
    probedAtMs = NEVER;
    bytesSinceReceived = 0;
  }

  /** A record of this length is being sent: whether it should ask for an answer. */
  public synchronized boolean onSending(int bytes) {
    bytesSinceReceived += bytes;
    long now = clock.now();
    if (probedAtMs != NEVER || now - lastReceivedAtMs < bounds.probeAfterMs()) return false;
    probedAtMs = now;
    allowedMs = answerTimeoutMs() + bytesSinceReceived / Liveness.MIN_LINK_BYTES_PER_MS;
    return true;
  }

  private long answerTimeoutMs() {
    long slow =
        Math.min(2 * slowestAnswerMs, Liveness.MAX_TIMEOUT_FACTOR * bounds.answerTimeoutMs());
    return Math.max(bounds.answerTimeoutMs() << unansweredConnections, slow);
  }

  /** Bytes have arrived, whatever they are. */
  public synchronized void onReceived() {
    lastReceivedAtMs = clock.now();
    bytesSinceReceived = 0;
    unansweredConnections = 0;
    if (probedAtMs == NEVER) return;
    slowestAnswerMs =
        Math.max(lastReceivedAtMs - probedAtMs, slowestAnswerMs - slowestAnswerMs / 8);
    probedAtMs = NEVER;
  }

  /** Whether an answer is overdue. */
  public synchronized boolean isSilent() {
    return probedAtMs != NEVER && clock.now() - probedAtMs >= allowedMs;
  }
}
