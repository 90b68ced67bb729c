package gladelug.data.request;

import java.util.List;
import java.util.Map;

/**
 * The head of a replica's answer as it goes to the caller: status and headers, without those of one
 * connection.
 */
public record ResponseHead(int status, List<Map.Entry<String, String>> headers) {
  public static final ResponseHead EMPTY_OK = new ResponseHead(200, List.of());
}
