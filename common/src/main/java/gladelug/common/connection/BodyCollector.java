package gladelug.common.connection;

import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects a body without ever holding more than its bytes: a body of known length in one buffer of
 * that length, any other in the parts in which it arrived, of which small ones are joined.
 */
final class BodyCollector {
  /** Parts below this size are joined. */
  private static final int SMALL_BYTES = 4096;

  private final Buffer whole;
  private final List<byte[]> parts = new ArrayList<>();
  private Buffer small = Buffer.buffer();
  private long length;

  /**
   * Creates a collector.
   *
   * @param declaredLength the length of the body in bytes; negative if it is not known
   */
  BodyCollector(long declaredLength) {
    whole = declaredLength < 0 ? null : Buffer.buffer((int) declaredLength);
  }

  /** Returns how many bytes were added. */
  long length() {
    return length;
  }

  void add(Buffer part) {
    length += part.length();
    if (whole != null) {
      whole.appendBuffer(part);
      return;
    }
    small.appendBuffer(part);
    if (small.length() >= SMALL_BYTES) joinSmall();
  }

  private void joinSmall() {
    parts.add(small.getBytes());
    small = Buffer.buffer();
  }

  /** Returns the body; nothing may be added afterwards. */
  Buffer body() {
    if (whole != null) return whole;
    if (small.length() > 0) joinSmall();
    return Buffer.buffer(Unpooled.wrappedBuffer(parts.toArray(new byte[0][])));
  }
}
