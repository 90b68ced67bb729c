package gladelug.common.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** Ends connections with a reset, so that a body delimited by the close does not look complete. */
public final class AbortiveClose {
  private AbortiveClose() {}

  /** Resets a connection; data that was not sent yet is discarded. */
  public static void abort(HttpConnection connection) {
    Channel channel = ((ConnectionBase) connection).channelHandlerContext().channel();
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }
}
