package gladelug.common.connection;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A complete response in memory. The body's bytes stay reserved in the memory budget until the
 * response is closed.
 *
 * @param body never null
 */
public record BufferedHttpResponse(int status, MultiMap headers, Buffer body, Runnable release)
    implements AutoCloseable {
  /** Returns a header's value, or null if it is absent. */
  public String header(String name) {
    return headers.get(name);
  }

  @Override
  public void close() {
    release.run();
  }
}
