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
 * How long callers may take over the head of a request and stay idle: connections beyond the
 * configuration's time-outs are closed, those with a request under way only where nothing comes of
 * a body that is awaited. Confined to the request thread.
 */
public final class CallerTimeouts {
  /**
   * A look that comes so late says that this process stood still: what came may not be read yet.
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

  /**
   * One connection: since when it is idle, and since when a head is on its way; -1 where none is.
   */
  private final class ConnectionState extends ChannelInboundHandlerAdapter {
    int activeRequests;
    boolean awaitingBody;
    long lastReadMs = clock.now();
    long idleSinceMs = clock.now();
    long headSinceMs = -1;

    @Override
    public void channelRead(ChannelHandlerContext c, Object m) {
      lastReadMs = clock.now();
      if (activeRequests == 0 && headSinceMs < 0) headSinceMs = lastReadMs;
      c.fireChannelRead(m);
    }
  }

  public void connectionOpened(HttpConnection c) {
    ConnectionState one = new ConnectionState();
    connections.put(c, one);
    if (c instanceof ConnectionBase b) b.channelHandlerContext().pipeline().addFirst(one);
    c.closeHandler(v -> connections.remove(c));
  }

  /** The head of a request is here. */
  public void headReceived(HttpServerRequest request) {
    ConnectionState one = connections.get(request.connection());
    if (one == null) return;
    one.activeRequests++;
    one.headSinceMs = -1;
  }

  /** The rest of a request is awaited. */
  public void bodyExpected(HttpServerRequest request) {
    ConnectionState one = connections.get(request.connection());
    if (one != null) one.awaitingBody = true;
  }

  /** The request is here to its end. */
  public void bodyReceived(HttpServerRequest request) {
    ConnectionState one = connections.get(request.connection());
    if (one != null) one.awaitingBody = false;
  }

  /** Its answer is out. */
  public void responseEnded(HttpServerRequest request) {
    ConnectionState one = connections.get(request.connection());
    if (one == null) return;
    one.activeRequests = Math.max(0, one.activeRequests - 1);
    one.awaitingBody = false;
    one.idleSinceMs = clock.now();
  }

  /** Called a few times a second. */
  public void tick() {
    long now = clock.now();
    boolean stoodStill = now - lastTickMs > STALL_THRESHOLD_MS;
    lastTickMs = now;
    Configuration.Limits l = limits.get();
    for (Map.Entry<HttpConnection, ConnectionState> e : Map.copyOf(connections).entrySet()) {
      ConnectionState o = e.getValue();
      if (o.activeRequests > 0) {
        if (stoodStill) o.lastReadMs = now;
        if (o.awaitingBody && now - o.lastReadMs > l.idleTimeoutMs()) e.getKey().close();
      } else if (o.headSinceMs >= 0
          ? now - o.headSinceMs > l.headerTimeoutMs()
          : now - o.idleSinceMs > l.idleTimeoutMs()) e.getKey().close();
    }
  }
}
