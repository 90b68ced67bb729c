package gladelug.common.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.vertx.core.VertxOptions;
import io.vertx.core.impl.VertxBuilder;
import io.vertx.core.impl.transports.JDKTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.mutiny.core.Vertx;

/**
 * Sets a server's receive buffer size at its listening socket, from which connections inherit it: a
 * small one unless the server's options name a size. Set at a connection, it would come after the
 * kernel has offered the peer a larger window, and bytes beyond the buffer would be dropped.
 */
public final class InboundTransport extends JDKTransport {
  private InboundTransport() {}

  /** Creates a Vert.x instance whose servers use this transport. */
  public static Vertx createVertx(VertxOptions options) {
    VertxBuilder builder = new VertxBuilder(options).findTransport(new InboundTransport());
    return Vertx.newInstance(builder.init().vertx());
  }

  @Override
  public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
    super.configure(options, domainSocket, bootstrap);
    int bytes = options.getReceiveBufferSize();
    bootstrap.option(ChannelOption.SO_RCVBUF, bytes > 0 ? bytes : ReceiveBuffers.SMALL_BYTES);
  }
}
