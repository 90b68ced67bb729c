package gladelug.common.connection;

import gladelug.common.Clock;
import gladelug.common.Log;
import io.netty.channel.Channel;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections that clients, operators and peers opened. When there are as many as may be,
 * those that have gone longest without a complete request give way to a new one. Thread-safe.
 */
final class InboundConnections {
  /** One in so many connections gives way at once, so that the oldest are seldom searched for. */
  private static final int YIELDING_DIVISOR = 64;

  private final Clock clock;
  private final Set<InboundConnection> open = ConcurrentHashMap.newKeySet();
  private volatile int maxOpen;

  InboundConnections(int maxOpen, Clock clock) {
    this.maxOpen = maxOpen;
    this.clock = clock;
  }

  /** Lowers the number of connections that may be open. */
  void lowerMaxOpen(int limit) {
    maxOpen = Math.min(maxOpen, limit);
  }

  /**
   * Adds a connection until it is closed. Returns null, and closes it, if there are too many and
   * all of them have a request in progress.
   */
  InboundConnection add(Channel channel) {
    if (open.size() >= maxOpen && !closeLongestWaiting()) {
      Log.fine("connection-refused", "open", open.size());
      channel.close();
      return null;
    }
    InboundConnection connection = new InboundConnection(channel, clock);
    open.add(connection);
    channel.closeFuture().addListener(closed -> open.remove(connection));
    return connection;
  }

  private synchronized boolean closeLongestWaiting() {
    List<InboundConnection> longest =
        open.stream()
            .filter(connection -> connection.waitingSinceMs() != InboundConnection.IN_PROGRESS)
            .sorted(Comparator.comparingLong(InboundConnection::waitingSinceMs))
            .limit(Math.max(1, maxOpen / YIELDING_DIVISOR))
            .toList();
    for (InboundConnection connection : longest) {
      open.remove(connection);
      connection.close();
    }
    Log.fine("connections-closed", "waiting", longest.size());
    return !longest.isEmpty();
  }
}
