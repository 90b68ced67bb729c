package gladelug.common.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import java.util.concurrent.Semaphore;

/**
 * Bounds the bytes that the kernel holds for connections that are not read yet: each begins with a
 * small receive buffer, and a limited number of those that send a long body get a large one.
 * Thread-safe.
 */
final class ReceiveBuffers {
  /** The size of a connection's buffer at first, and while it sends a long body. */
  static final int SMALL_BYTES = 4 << 10, LARGE_BYTES = 64 << 10;

  private final Semaphore large;

  ReceiveBuffers(int maxLarge) {
    large = new Semaphore(maxLarge);
  }

  /** Gives a connection a large buffer; returns false if too many have one. */
  boolean tryEnlarge(Channel channel) {
    if (!large.tryAcquire()) return false;
    try {
      if (channel.config().setOption(ChannelOption.SO_RCVBUF, LARGE_BYTES)) return true;
    } catch (ChannelException closed) {
      // a connection that is closed already has no use for it
    }
    large.release();
    return false;
  }

  /**
   * Records that a connection with a large buffer was closed. Until then it keeps the buffer, as
   * bytes in a window that its peer was offered would be dropped by a smaller one.
   */
  void onClosed() {
    large.release();
  }
}
