package gladelug.common.connection;

import gladelug.common.Log;
import gladelug.common.MemoryBudget;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Counts the head of a request before the decoder keeps it, with the objects that the decoder makes
 * of each line, and closes the connection if the head is too large or the budget for heads is
 * spent. Bytes before a head, such as empty lines, count as part of it. Also paces bodies in tiny
 * chunks. Sits before the decoder; confined to the connection's event loop.
 */
final class RequestHeadLimiter extends ChannelInboundHandlerAdapter {
  /**
   * Largest head with what precedes it, in bytes; twice what any listener lets its decoder read.
   */
  private static final int MAX_HEAD_BYTES = 1 << 18;

  /** Memory of a header beyond its bytes: its names, values and entry in the map of headers. */
  private static final int LINE_BYTES = 256;

  /** With more contents in one read, their number decides what the read costs. */
  private static final int TINY_CONTENTS = 256;

  private final MemoryBudget budget;
  private final RequestPhase phase;
  private long headBytes;
  private long reservedBytes;

  /** Whether the line being received has a character other than its end. */
  private boolean lineHasText;

  /** Whether a line with text was received since the last head. */
  private boolean headHasText;

  RequestHeadLimiter(MemoryBudget budget, RequestPhase phase) {
    this.budget = budget;
    this.phase = phase;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      context.fireChannelRead(message);
      return;
    }
    if (!phase.isInBody() && !countHead(bytes)) {
      ReferenceCountUtil.release(message);
      Log.fine("head-refused", "peer", context.channel().remoteAddress(), "bytes", headBytes);
      context.close();
      return;
    }
    long startedAtNs = System.nanoTime();
    phase.takeContents();
    context.fireChannelRead(message);
    if (phase.takeContents() > TINY_CONTENTS)
      ReadPacer.current().onExpensiveRead(context.channel(), System.nanoTime() - startedAtNs);
  }

  /** Counts the part of the bytes that belongs to the head; returns false if it may not be kept. */
  private boolean countHead(ByteBuf bytes) {
    long lines = 0;
    int end = bytes.readerIndex();
    boolean complete = false;
    while (end < bytes.writerIndex() && !complete) {
      byte next = bytes.getByte(end++);
      if (next == '\n') {
        if (lineHasText) lines++;
        complete = !lineHasText && headHasText;
        headHasText |= lineHasText;
        lineHasText = false;
      } else if (next != '\r') lineHasText = true;
    }
    int counted = end - bytes.readerIndex();
    long cost = counted + lines * LINE_BYTES;
    headBytes += counted;
    if (headBytes > MAX_HEAD_BYTES || !budget.reserve(cost)) return false;
    reservedBytes += cost;
    if (complete) {
      // from here on the request is counted by its receiver
      release();
      headHasText = false;
    }
    return true;
  }

  private void release() {
    budget.release(reservedBytes);
    reservedBytes = 0;
    headBytes = 0;
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    release();
    context.fireChannelInactive();
  }
}
