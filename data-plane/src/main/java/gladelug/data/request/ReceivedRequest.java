package gladelug.data.request;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;

/**
 * A request as it was received, to be passed on byte for byte: method, target (path and query),
 * headers without those of one connection, and body. id is the caller's own. Immutable.
 */
public record ReceivedRequest(
    String id,
    String method,
    String target,
    List<Map.Entry<String, String>> headers,
    Buffer body,
    String lastEventId) {
  public static final ReceivedRequest NONE =
      new ReceivedRequest("", "POST", "/", List.of(), Buffer.buffer(), "");

  public ReceivedRequest {
    headers = List.copyOf(headers);
  }
}
