package gladelug.common.connection;

import gladelug.common.Log;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Counts the bytes of answers that a client has not taken yet. Sits before the decoder; confined to
 * the connection's event loop, but for {@link #giveWay}.
 */
final class UnsentAnswers extends ChannelDuplexHandler implements YieldingBudget.Holder {
  /** Interval at which the bytes of a client that reads slowly are counted again. */
  private static final long RECOUNT_INTERVAL_MS = 100;

  private final YieldingBudget answers;
  private Channel channel;
  private long countedBytes;
  private boolean recountScheduled;

  UnsentAnswers(YieldingBudget answers) {
    this.answers = answers;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void flush(ChannelHandlerContext context) {
    context.flush();
    count();
  }

  private void count() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    long bytes = unsent == null ? 0 : unsent.totalPendingWriteBytes();
    if (bytes != countedBytes) {
      countedBytes = bytes;
      if (!answers.hold(this, bytes)) giveWay();
    }
    if (bytes > 0 && !recountScheduled) scheduleRecount();
  }

  private void scheduleRecount() {
    recountScheduled = true;
    channel
        .eventLoop()
        .schedule(
            () -> {
              recountScheduled = false;
              count();
            },
            RECOUNT_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void giveWay() {
    Log.fine("unread-answer-gives-way", "peer", channel.remoteAddress());
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    countedBytes = 0;
    answers.hold(this, 0);
    context.fireChannelInactive();
  }
}
