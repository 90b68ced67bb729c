package gladelug.common.connection;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of OrderlyCloseDetector without a network: which ends of a connection count as orderly. */
final class OrderlyCloseDetectorTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();

  @BeforeEach
  void install() {
    OrderlyCloseDetector.install(channel);
  }

  private static ChannelHandler ignoringFailures() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // the test expects the failure
      }
    };
  }

  private void receiveFin() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
  }

  @Test
  void aFinFromThePeerIsAnOrderlyCloseAndClosesTheConnection() {
    Assertions.assertFalse(OrderlyCloseDetector.isClosedInOrder(channel));
    receiveFin();
    Assertions.assertTrue(OrderlyCloseDetector.isClosedInOrder(channel));
    Assertions.assertFalse(channel.isOpen());
  }

  // after a failed read the transport reports the end of the input as well
  @Test
  void anEndAfterAFailureIsNotAnOrderlyClose() {
    channel.pipeline().addLast(ignoringFailures());
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    receiveFin();
    Assertions.assertFalse(OrderlyCloseDetector.isClosedInOrder(channel));
  }

  @Test
  void aCloseByThisProcessIsNotAnOrderlyClose() {
    channel.close();
    Assertions.assertFalse(OrderlyCloseDetector.isClosedInOrder(channel));
  }

  @Test
  void aConnectionWithoutADetectorDidNotCloseInOrder() {
    Assertions.assertFalse(OrderlyCloseDetector.isClosedInOrder(new EmbeddedChannel()));
  }
}
