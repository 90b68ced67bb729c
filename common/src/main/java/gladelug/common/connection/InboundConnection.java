package gladelug.common.connection;

import gladelug.common.Clock;
import io.netty.channel.Channel;

/** A connection that another process opened, and since when it owes a complete request. */
final class InboundConnection {
  /** The value of {@link #waitingSinceMs} while a complete request is being answered. */
  static final long IN_PROGRESS = Long.MAX_VALUE;

  private final Channel channel;
  private final Clock clock;
  private volatile long waitingSinceMs;

  InboundConnection(Channel channel, Clock clock) {
    this.channel = channel;
    this.clock = clock;
    waitingSinceMs = clock.now();
  }

  /** Records that a request was received completely. */
  void onRequestComplete() {
    waitingSinceMs = IN_PROGRESS;
  }

  /** Records that the request was answered. */
  void onAnswered() {
    waitingSinceMs = clock.now();
  }

  /**
   * Records that a peer sent a complete record.
   *
   * @param silenceMs how long a peer may be silent
   */
  void onRecord(long silenceMs) {
    waitingSinceMs = clock.now() + silenceMs;
  }

  long waitingSinceMs() {
    return waitingSinceMs;
  }

  void close() {
    channel.close();
  }
}
