package gladelug.common.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Finds where the head and the body of an HTTP/1.1 request end in the bytes of a connection, before
 * a decoder sees them, and counts what the decoder keeps of them: the lines of the head, the
 * trailers, and an unfinished chunk size line. It does not validate; the decoder says what a
 * request is. Confined to the connection's event loop.
 */
final class RequestFraming {
  /** Memory of a header beyond its bytes: its name, value and entry in the map of headers. */
  private static final int LINE_BYTES = 256;

  /** Chunk sizes beyond this are refused by the decoder. */
  private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

  private enum Part {
    HEAD,
    FIXED_BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILERS,
    COMPLETE
  }

  private Part part = Part.HEAD;

  /** Bytes of the head, or of the trailers, with what precedes them. */
  private long linesBytes;

  private long keptBytes;

  /** Whether the line being received has a character other than its end. */
  private boolean lineHasText;

  /** Whether a line with text was received since the last head. */
  private boolean headHasText;

  /** Whether the bytes scanned last end a head. */
  private boolean headEnded;

  /** Bytes of the body, or of the chunk, that are still to come. */
  private long remainingBytes;

  private long chunkBytes;
  private long sizeLineBytes;

  /** Whether the rest of the chunk size line is not a part of the number. */
  private boolean sizeEnded;

  /** Returns whether nothing of a request was received yet. */
  boolean isAtStart() {
    return part == Part.HEAD && linesBytes == 0;
  }

  /** Returns whether a head, or what precedes it, is received and has not ended. */
  boolean isWithinHead() {
    return part == Part.HEAD && !headEnded;
  }

  boolean isComplete() {
    return part == Part.COMPLETE;
  }

  /** Returns the memory that the decoder holds for the request, without its body. */
  long keptBytes() {
    return keptBytes + sizeLineBytes;
  }

  /** Returns how many bytes the head, or the trailers, have so far. */
  long linesBytes() {
    return linesBytes;
  }

  /** Begins with the next request. */
  void reset() {
    part = Part.HEAD;
    linesBytes = 0;
    keptBytes = 0;
    sizeLineBytes = 0;
    headHasText = false;
    lineHasText = false;
  }

  /**
   * Returns how many of the bytes belong to the head, or to the body, whichever is being received.
   * After a head, {@link #onHead} has to be called before the next scan.
   */
  int scan(ByteBuf bytes) {
    int start = bytes.readerIndex();
    int end =
        switch (part) {
          case HEAD -> scanLines(bytes, start);
          case FIXED_BODY -> skip(bytes, start, Part.COMPLETE);
          default -> scanChunks(bytes, start);
        };
    return end - start;
  }

  /** Records the head that the decoder made of the bytes scanned so far. */
  void onHead(HttpRequest head) {
    linesBytes = 0;
    if (HttpUtil.isTransferEncodingChunked(head)) startChunk();
    else {
      remainingBytes = HttpUtil.getContentLength(head, 0L);
      part = remainingBytes > 0 ? Part.FIXED_BODY : Part.COMPLETE;
    }
  }

  private void startChunk() {
    part = Part.CHUNK_SIZE;
    chunkBytes = 0;
    sizeLineBytes = 0;
    sizeEnded = false;
  }

  private int scanLines(ByteBuf bytes, int start) {
    long lines = 0;
    int index = start;
    boolean ended = false;
    while (index < bytes.writerIndex() && !ended) {
      byte next = bytes.getByte(index++);
      if (next == '\n') {
        if (lineHasText) lines++;
        ended = !lineHasText && (headHasText || part == Part.TRAILERS);
        headHasText |= lineHasText;
        lineHasText = false;
      } else if (headHasText ? next != '\r' : next > ' ') lineHasText = true;
    }
    linesBytes += index - start;
    keptBytes += index - start + lines * LINE_BYTES;
    headEnded = ended && part == Part.HEAD;
    if (ended && part == Part.TRAILERS) part = Part.COMPLETE;
    return index;
  }

  private int skip(ByteBuf bytes, int start, Part next) {
    int skipped = (int) Math.min(remainingBytes, bytes.writerIndex() - start);
    remainingBytes -= skipped;
    if (remainingBytes == 0) part = next;
    return start + skipped;
  }

  private int scanChunks(ByteBuf bytes, int start) {
    int index = start;
    while (index < bytes.writerIndex() && part != Part.COMPLETE)
      switch (part) {
        case CHUNK_SIZE -> onSizeByte(bytes.getByte(index++));
        case CHUNK_DATA -> index = skip(bytes, index, Part.CHUNK_END);
        case CHUNK_END -> {
          if (bytes.getByte(index++) == '\n') startChunk();
        }
        default -> index = scanLines(bytes, index);
      }
    return index;
  }

  private void onSizeByte(byte next) {
    sizeLineBytes++;
    if (next == '\n') {
      sizeLineBytes = 0;
      lineHasText = false;
      remainingBytes = chunkBytes;
      part = chunkBytes == 0 ? Part.TRAILERS : Part.CHUNK_DATA;
      return;
    }
    int digit = sizeEnded ? -1 : Character.digit(next, 16);
    if (digit >= 0) chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * 16 + digit);
    else if (next != ' ' && next != '\t' || chunkBytes > 0) sizeEnded = true;
  }
}
