package gladelug.data.request;

import java.util.List;
import java.util.Map;

/**
 * The status and headers of a replica's answer as sent to the caller, without hop-by-hop headers.
 */
public record ResponseHead(int status, List<Map.Entry<String, String>> headers) {
  public static final ResponseHead EMPTY_OK = new ResponseHead(200, List.of());
}
