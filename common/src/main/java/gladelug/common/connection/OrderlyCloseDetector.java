package gladelug.common.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.AttributeKey;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Determines how a client connection ended. Only a FIN from the peer, after which every byte that
 * it sent has been read, is an orderly close. A reset, a failed read or write, a time-out and a
 * close by this process are not, although the HTTP decoder reports the end of a body without a
 * declared length in all of these cases.
 *
 * <p>Half-closure is allowed on the channel because only then the transport reports a FIN by an
 * event of its own; the detector closes the connection as soon as it arrives. Confined to the
 * connection's event loop.
 */
public final class OrderlyCloseDetector extends ChannelInboundHandlerAdapter {
  /** Outlives the pipeline: a paused response may be read after its connection was closed. */
  private static final AttributeKey<OrderlyCloseDetector> DETECTOR =
      AttributeKey.valueOf(OrderlyCloseDetector.class, "detector");

  private boolean failed;
  private boolean closedByPeer;

  private OrderlyCloseDetector() {}

  /** Installs a detector on a newly opened connection of a client. */
  public static void install(HttpConnection connection) {
    install(channel(connection));
  }

  static void install(Channel channel) {
    OrderlyCloseDetector detector = new OrderlyCloseDetector();
    channel.attr(DETECTOR).set(detector);
    channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    channel.pipeline().addFirst(detector);
  }

  /**
   * Returns whether the peer closed this connection in order; false if it is open, ended in any
   * other way, or has no detector.
   */
  public static boolean isClosedInOrder(HttpConnection connection) {
    return isClosedInOrder(channel(connection));
  }

  static boolean isClosedInOrder(Channel channel) {
    OrderlyCloseDetector detector = channel.attr(DETECTOR).get();
    return detector != null && detector.closedByPeer;
  }

  private static Channel channel(HttpConnection connection) {
    return ((ConnectionBase) connection).channelHandlerContext().channel();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failed = true;
    context.fireExceptionCaught(cause);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (!(event instanceof ChannelInputShutdownEvent)) {
      context.fireUserEventTriggered(event);
      return;
    }
    closedByPeer = !failed;
    context.close();
  }
}
