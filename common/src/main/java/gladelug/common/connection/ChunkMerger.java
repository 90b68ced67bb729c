package gladelug.common.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Passes on the small chunks of a body that were read at once as one content, so that a body in
 * chunks of a byte costs its receiver no more than any other. Sits after the decoder, and tells
 * {@link RequestPhase} what the decoder produced. Confined to the connection's event loop.
 */
final class ChunkMerger extends ChannelInboundHandlerAdapter {
  /** Larger contents are passed on as they are. */
  private static final int SMALL_BYTES = 1024;

  private final RequestPhase phase;
  private ByteBuf merged;

  ChunkMerger(RequestPhase phase) {
    this.phase = phase;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof DecoderResultProvider decoded && decoded.decoderResult().isFailure())
      phase.onFailure();
    if (message instanceof HttpRequest request) phase.onHead(request);
    if (message instanceof HttpContent) phase.onContent();
    if (message instanceof HttpContent content
        && !(message instanceof LastHttpContent)
        && content.decoderResult().isSuccess()
        && content.content().readableBytes() <= SMALL_BYTES) {
      if (merged == null) merged = Unpooled.buffer(SMALL_BYTES);
      merged.writeBytes(content.content());
      content.release();
      return;
    }
    passOn(context);
    if (message instanceof LastHttpContent) phase.onRequestEnd();
    context.fireChannelRead(message);
  }

  private void passOn(ChannelHandlerContext context) {
    if (merged == null) return;
    HttpContent content = new DefaultHttpContent(merged);
    merged = null;
    context.fireChannelRead(content);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    passOn(context);
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    passOn(context);
    context.fireChannelInactive();
  }
}
