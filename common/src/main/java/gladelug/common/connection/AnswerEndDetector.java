package gladelug.common.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Tells {@link RequestPhase} when the listener has written the end of an answer. */
final class AnswerEndDetector extends ChannelOutboundHandlerAdapter {
  private final RequestPhase phase;

  AnswerEndDetector(RequestPhase phase) {
    this.phase = phase;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean last = message instanceof LastHttpContent && !isInterim(message);
    context.write(message, promise);
    if (last) phase.onAnswerEnd();
  }

  /** Returns whether this is a response before the final one, such as 100 (Continue). */
  private static boolean isInterim(Object message) {
    return message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }
}
