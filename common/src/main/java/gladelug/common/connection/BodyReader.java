package gladelug.common.connection;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Reads the body of one request under a listener's {@link InboundBodies}, and reports exactly one
 * end to its receiver. Once the body is refused nothing of it is held any more; what the client
 * still sends is discarded, up to as much as a body may have.
 */
public final class BodyReader {
  /**
   * What becomes of a body. The bytes of a complete one stay reserved until the receiver releases
   * them; those of any other are released after the receiver was told.
   */
  public interface Receiver {
    /** The body arrived completely. */
    void onBody(HttpServerRequest request, Buffer body);

    /** The body is larger than the limit. */
    void onTooLarge(HttpServerRequest request);

    /** There is no memory for the body. */
    void onNoMemory(HttpServerRequest request);
  }

  private final HttpServerRequest request;
  private final InboundBodies bodies;
  private final long maxBytes;
  private final Receiver receiver;

  /** What was received; null once the body has ended or is refused. */
  private BodyCollector collector;

  private boolean declared;
  private long discardableBytes;

  private BodyReader(
      HttpServerRequest request, InboundBodies bodies, long maxBytes, Receiver receiver) {
    this.request = request;
    this.bodies = bodies;
    this.maxBytes = maxBytes;
    this.receiver = receiver;
  }

  /** Reads the body of a request whose head was just received. */
  public static void read(
      HttpServerRequest request, InboundBodies bodies, long maxBytes, Receiver receiver) {
    new BodyReader(request, bodies, maxBytes, receiver).start();
  }

  private void start() {
    long declaredLength = declaredLength(request);
    if (declaredLength > maxBytes) {
      receiver.onTooLarge(request);
      return;
    }
    declared = declaredLength >= 0;
    request.handler(this::onPart);
    request.endHandler(end -> onEnd());
    request.exceptionHandler(failure -> onBroken());
    if (bodies.reserve(request, Math.max(0, declaredLength)))
      collector = new BodyCollector(declaredLength);
    else refuse();
  }

  /** Returns the length in the head, or a negative number if it is missing or malformed. */
  private static long declaredLength(HttpServerRequest request) {
    String length = request.getHeader("Content-Length");
    try {
      return length == null ? -1 : Long.parseLong(length.trim());
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void onPart(Buffer part) {
    if (collector == null) {
      discard(part);
      return;
    }
    if (collector.length() + part.length() > maxBytes) {
      collector = null;
      discardableBytes = maxBytes;
      receiver.onTooLarge(request);
      bodies.release(request);
    } else if (!declared && !bodies.reserve(request, part.length())) refuse();
    else collector.add(part);
  }

  private void refuse() {
    discardableBytes = maxBytes - (collector == null ? 0 : collector.length());
    collector = null;
    receiver.onNoMemory(request);
    bodies.release(request);
  }

  /** Drops a part of a refused body, so that the client can read the answer. */
  private void discard(Buffer part) {
    discardableBytes -= part.length();
    if (discardableBytes < 0) request.connection().close();
  }

  private void onEnd() {
    if (collector == null) return;
    Buffer body = collector.body();
    collector = null;
    bodies.onComplete(request);
    receiver.onBody(request, body);
  }

  private void onBroken() {
    collector = null;
    bodies.release(request);
  }
}
