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
public final class CallerLimits {
  /**
   * A look that comes so late says that this process stood still: what came may not be read yet.
   */
  private static final long STOOD_STILL_MS = 1000;

  private final Clock clock;
  private final Supplier<Configuration.Limits> limits;
  private final Map<HttpConnection, One> all = new HashMap<>();
  private long tickedAt;

  public CallerLimits(Clock clock, Supplier<Configuration.Limits> limits) {
    this.tickedAt = clock.now();
    this.clock = clock;
    this.limits = limits;
  }

  /**
   * One connection: since when it is idle, and since when a head is on its way; -1 where none is.
   */
  private final class One extends ChannelInboundHandlerAdapter {
    int underWay;
    boolean bodyAwaited;
    long readAt = clock.now();
    long idleSince = clock.now();
    long headSince = -1;

    @Override
    public void channelRead(ChannelHandlerContext c, Object m) {
      readAt = clock.now();
      if (underWay == 0 && headSince < 0) headSince = readAt;
      c.fireChannelRead(m);
    }
  }

  public void opened(HttpConnection c) {
    One one = new One();
    all.put(c, one);
    if (c instanceof ConnectionBase b) b.channelHandlerContext().pipeline().addFirst(one);
    c.closeHandler(v -> all.remove(c));
  }

  /** The head of a request is here. */
  public void begun(HttpServerRequest request) {
    One one = all.get(request.connection());
    if (one == null) return;
    one.underWay++;
    one.headSince = -1;
  }

  /** The rest of a request is awaited. */
  public void bodyAwaited(HttpServerRequest request) {
    One one = all.get(request.connection());
    if (one != null) one.bodyAwaited = true;
  }

  /** The request is here to its end. */
  public void bodyRead(HttpServerRequest request) {
    One one = all.get(request.connection());
    if (one != null) one.bodyAwaited = false;
  }

  /** Its answer is out. */
  public void ended(HttpServerRequest request) {
    One one = all.get(request.connection());
    if (one == null) return;
    one.underWay = Math.max(0, one.underWay - 1);
    one.bodyAwaited = false;
    one.idleSince = clock.now();
  }

  /** Called a few times a second. */
  public void tick() {
    long now = clock.now();
    boolean stoodStill = now - tickedAt > STOOD_STILL_MS;
    tickedAt = now;
    Configuration.Limits l = limits.get();
    for (Map.Entry<HttpConnection, One> e : Map.copyOf(all).entrySet()) {
      One o = e.getValue();
      if (o.underWay > 0) {
        if (stoodStill) o.readAt = now;
        if (o.bodyAwaited && now - o.readAt > l.idleTimeoutMs()) e.getKey().close();
      } else if (o.headSince >= 0
          ? now - o.headSince > l.headerTimeoutMs()
          : now - o.idleSince > l.idleTimeoutMs()) e.getKey().close();
    }
  }
}
