package gladelug.common.connection;

import gladelug.common.Log;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Hands the bytes of one request after the other to the decoder: the next request waits until the
 * one before is answered and the client has taken the answer; of those behind it little is read.
 * The bytes that the decoder keeps for a request's head, trailers and chunk sizes count from their
 * arrival to the end of the answer, and so do bytes of a waiting request. Bytes before a head, such
 * as empty lines, count as part of it. Also paces bodies in tiny chunks. Sits before the decoder;
 * confined to the connection's event loop, but for {@link #giveWay}.
 */
final class RequestGate extends ChannelInboundHandlerAdapter implements YieldingBudget.Holder {
  /**
   * Largest head, or trailers, with what precedes it, in bytes; twice what any listener lets its
   * decoder read.
   */
  private static final int MAX_LINES_BYTES = 1 << 18;

  /** A head is decoded once it is complete, or larger than any listener lets its decoder read. */
  private static final int MAX_DECODED_BYTES = 1 << 17;

  /** With so many bytes of further requests waiting, their connection is not read. */
  private static final int MAX_WAITING_BYTES = 16 << 10;

  /** A body of which so much has come is a long one. */
  private static final int LONG_BODY_BYTES = 8 << 10;

  /** With more contents in one read, their number decides what the read costs. */
  private static final int TINY_CONTENTS = 256;

  private final YieldingBudget heads;
  private final ReceiveBuffers receiveBuffers;
  private final RequestPhase phase;
  private final RequestFraming framing = new RequestFraming();
  private Channel channel;

  /** The received bytes of an incomplete head; null if there are none. */
  private ByteBuf incompleteHead;

  /** Bytes of the next request; null if there are none. */
  private ByteBuf waiting;

  /** Whether a request and its answer ended since this was last reset. */
  private boolean exchangeEnded;

  private long requestBytes;
  private long discardedBytes;
  private boolean hasLargeBuffer;

  RequestGate(YieldingBudget heads, ReceiveBuffers receiveBuffers, RequestPhase phase) {
    this.heads = heads;
    this.receiveBuffers = receiveBuffers;
    this.phase = phase;
    phase.setExchangeEndListener(this::onExchangeEnd);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      context.fireChannelRead(message);
      return;
    }
    if (waiting != null) {
      keepWaiting(Unpooled.copiedBuffer(waiting, bytes));
      bytes.release();
      return;
    }
    long startedAtNs = System.nanoTime();
    phase.takeContents();
    passOn(context, bytes);
    if (phase.takeContents() > TINY_CONTENTS)
      ReadPacer.current().onExpensiveRead(channel, System.nanoTime() - startedAtNs);
  }

  /** Passes on what belongs to the current request, and releases the bytes. */
  private void passOn(ChannelHandlerContext context, ByteBuf bytes) {
    try {
      while (bytes.isReadable() && channel.isActive())
        if (phase.hasFailed()) discard(context, bytes);
        else if (mayContinue()) passOnPart(context, bytes);
        else {
          keepWaiting(Unpooled.copiedBuffer(bytes));
          return;
        }
    } finally {
      bytes.release();
    }
  }

  /** Passes on bytes that the decoder discards, up to as many as a head may have. */
  private void discard(ChannelHandlerContext context, ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    if (discardedBytes > MAX_LINES_BYTES) refuse();
    else context.fireChannelRead(bytes.readRetainedSlice(bytes.readableBytes()));
  }

  /** Returns whether the next bytes may be decoded, of this request or of another one. */
  private boolean mayContinue() {
    return !phase.isAwaitingAnswer() && (!framing.isAtStart() || channel.isWritable());
  }

  private void passOnPart(ChannelHandlerContext context, ByteBuf bytes) {
    int length = framing.scan(bytes);
    if (framing.isWithinHead() && framing.linesBytes() <= MAX_DECODED_BYTES) {
      keepIncompleteHead(bytes.readSlice(length));
      return;
    }
    if (framing.linesBytes() > MAX_LINES_BYTES || !heads.hold(this, framing.keptBytes())) {
      refuse();
      return;
    }
    requestBytes += length;
    if (requestBytes > LONG_BODY_BYTES && !hasLargeBuffer)
      hasLargeBuffer = receiveBuffers.tryEnlarge(channel);
    exchangeEnded = false;
    context.fireChannelRead(withIncompleteHead(bytes.readRetainedSlice(length)));
    HttpRequest head = phase.takeHead();
    if (exchangeEnded || phase.hasFailed()) return;
    if (head != null) framing.onHead(head);
    else if (framing.isComplete() && !phase.isAwaitingAnswer()) refuse();
  }

  /** Keeps bytes as they are, since a decoder's objects for the lines would take far more. */
  private void keepIncompleteHead(ByteBuf bytes) {
    if (incompleteHead == null) incompleteHead = Unpooled.buffer(bytes.readableBytes());
    incompleteHead.writeBytes(bytes);
    if (!heads.hold(this, incompleteHead.capacity())) refuse();
  }

  private ByteBuf withIncompleteHead(ByteBuf rest) {
    if (incompleteHead == null) return rest;
    ByteBuf head = Unpooled.wrappedBuffer(incompleteHead, rest);
    incompleteHead = null;
    return head;
  }

  private void refuse() {
    Log.fine("request-refused", "peer", channel.remoteAddress(), "bytes", framing.keptBytes());
    channel.close();
  }

  private void keepWaiting(ByteBuf bytes) {
    if (waiting != null) waiting.release();
    waiting = bytes;
    // until then the connection is read, so that the end of its client is noticed
    if (waiting.readableBytes() >= MAX_WAITING_BYTES) channel.config().setAutoRead(false);
    if (!heads.hold(this, framing.keptBytes() + waiting.readableBytes())) refuse();
  }

  private void onExchangeEnd() {
    exchangeEnded = true;
    framing.reset();
    requestBytes = 0;
    heads.hold(this, waiting == null ? 0 : waiting.readableBytes());
    // the listener first ends its own work with the answer
    if (waiting != null) channel.eventLoop().execute(this::continueWithWaiting);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    context.fireChannelWritabilityChanged();
    continueWithWaiting();
  }

  private void continueWithWaiting() {
    if (waiting == null || !channel.isActive() || !mayContinue()) return;
    ByteBuf bytes = waiting;
    waiting = null;
    channel.config().setAutoRead(true);
    ChannelHandlerContext context = channel.pipeline().context(this);
    passOn(context, bytes);
    context.fireChannelReadComplete();
  }

  @Override
  public void giveWay() {
    Log.fine("request-gives-way", "peer", channel.remoteAddress());
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    heads.hold(this, 0);
    if (hasLargeBuffer) receiveBuffers.onClosed();
    hasLargeBuffer = false;
    ReferenceCountUtil.release(waiting);
    ReferenceCountUtil.release(incompleteHead);
    waiting = null;
    incompleteHead = null;
    context.fireChannelInactive();
  }
}
