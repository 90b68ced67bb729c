package gladelug.common.connection;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A whole answer. Its body's bytes stay reserved until it is closed, by whoever has read them.
 *
 * @param body never null
 */
public record BufferedHttpResponse(int status, MultiMap headers, Buffer body, Runnable release)
    implements AutoCloseable {
  /** A header's value, or null. */
  public String header(String name) {
    return headers.get(name);
  }

  @Override
  public void close() {
    release.run();
  }
}
