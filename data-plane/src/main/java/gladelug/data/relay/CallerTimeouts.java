package gladelug.data.relay;

import gladelug.common.Clock;
import gladelug.common.configuration.Configuration;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Closes caller connections that exceed the configured time-outs for sending a request head or
 * staying idle. A connection with an active request is closed only if an expected body makes no
 * progress. Confined to the request thread.
 */
public final class CallerTimeouts {
  /**
   * A tick delayed by this much means that the process was stalled, so received data may not have
   * been read yet.
   */
  private static final long STALL_THRESHOLD_MS = 1000;

  private final Clock clock;
  private final Supplier<Configuration.Limits> limits;
  private final Map<HttpConnection, ConnectionState> connections = new HashMap<>();
  private long lastTickMs;

  public CallerTimeouts(Clock clock, Supplier<Configuration.Limits> limits) {
    this.lastTickMs = clock.now();
    this.clock = clock;
    this.limits = limits;
  }

  /** State of one connection. headSinceMs is -1 while no request head is being received. */
  private final class ConnectionState extends ChannelInboundHandlerAdapter {
    int activeRequests;
    boolean awaitingBody;
    long lastReadMs = clock.now();
    long idleSinceMs = clock.now();
    long headSinceMs = -1;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      lastReadMs = clock.now();
      if (activeRequests == 0 && headSinceMs < 0) headSinceMs = lastReadMs;
      context.fireChannelRead(message);
    }
  }

  /** Starts to watch a new connection. */
  public void connectionOpened(HttpConnection connection) {
    ConnectionState state = new ConnectionState();
    connections.put(connection, state);
    if (connection instanceof ConnectionBase base)
      base.channelHandlerContext().pipeline().addFirst(state);
    connection.closeHandler(closed -> connections.remove(connection));
  }

  /** Records that the head of a request was received. */
  public void headReceived(HttpServerRequest request) {
    ConnectionState state = connections.get(request.connection());
    if (state == null) return;
    state.activeRequests++;
    state.headSinceMs = -1;
  }

  /** Records that the body of a request is expected. */
  public void bodyExpected(HttpServerRequest request) {
    ConnectionState state = connections.get(request.connection());
    if (state != null) state.awaitingBody = true;
  }

  /** Records that the body of a request was received completely. */
  public void bodyReceived(HttpServerRequest request) {
    ConnectionState state = connections.get(request.connection());
    if (state != null) state.awaitingBody = false;
  }

  /** Records that the response was sent completely. */
  public void responseEnded(HttpServerRequest request) {
    ConnectionState state = connections.get(request.connection());
    if (state == null) return;
    state.activeRequests = Math.max(0, state.activeRequests - 1);
    state.awaitingBody = false;
    state.idleSinceMs = clock.now();
  }

  /** Closes connections that exceeded a time-out. Called several times a second. */
  public void tick() {
    long nowMs = clock.now();
    boolean stalled = nowMs - lastTickMs > STALL_THRESHOLD_MS;
    lastTickMs = nowMs;
    Configuration.Limits timeouts = limits.get();
    for (Map.Entry<HttpConnection, ConnectionState> entry : Map.copyOf(connections).entrySet()) {
      ConnectionState state = entry.getValue();
      if (state.activeRequests > 0) {
        if (stalled) state.lastReadMs = nowMs;
        if (state.awaitingBody && nowMs - state.lastReadMs > timeouts.idleTimeoutMs())
          entry.getKey().close();
      } else if (state.headSinceMs >= 0
          ? nowMs - state.headSinceMs > timeouts.headerTimeoutMs()
          : nowMs - state.idleSinceMs > timeouts.idleTimeoutMs()) entry.getKey().close();
    }
  }
}
