package gladelug.common.connection;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.List;

/**
 * How the end of a response's body is marked, and whether it was reached. Every reader of responses
 * from other machines decides here whether a body is complete.
 *
 * @param length length of the body in bytes for {@link Kind#LENGTH}, else 0
 */
public record BodyFraming(Kind kind, long length) {
  /** The ways in which a body is delimited. */
  public enum Kind {
    /** By a number of bytes. */
    LENGTH,
    /** By the last chunk. */
    CHUNKED,
    /** By the orderly close of the connection. */
    UNTIL_CLOSED,
    /** By headers that contradict the protocol, so that no end is reliable. */
    MALFORMED
  }

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final String CHUNKED_CODING = "chunked";
  private static final String IDENTITY_CODING = "identity";

  private static final BodyFraming CHUNKED = new BodyFraming(Kind.CHUNKED, 0);
  private static final BodyFraming UNTIL_CLOSED = new BodyFraming(Kind.UNTIL_CLOSED, 0);
  private static final BodyFraming MALFORMED = new BodyFraming(Kind.MALFORMED, 0);

  /** Returns how the body of a response is delimited. */
  public static BodyFraming of(HttpClientResponse response) {
    int status = response.statusCode();
    if (response.request().getMethod().equals(HttpMethod.HEAD)
        || status == NO_CONTENT
        || status == NOT_MODIFIED) return new BodyFraming(Kind.LENGTH, 0);
    List<String> codings = response.headers().getAll("Transfer-Encoding");
    if (codings.isEmpty()) return ofLength(response);
    if (codings.size() > 1) return MALFORMED;
    String coding = codings.get(0).trim();
    if (coding.equalsIgnoreCase(IDENTITY_CODING)) return ofLength(response);
    return coding.equalsIgnoreCase(CHUNKED_CODING) ? CHUNKED : MALFORMED;
  }

  private static BodyFraming ofLength(HttpClientResponse response) {
    List<String> lengths = response.headers().getAll("Content-Length");
    if (lengths.isEmpty()) return UNTIL_CLOSED;
    if (lengths.size() > 1) return MALFORMED;
    try {
      long length = Long.parseLong(lengths.get(0).trim());
      return length < 0 ? MALFORMED : new BodyFraming(Kind.LENGTH, length);
    } catch (NumberFormatException e) {
      return MALFORMED;
    }
  }

  /**
   * Returns why a body whose end the HTTP client reported is nevertheless incomplete, or an empty
   * string if it is complete. The client reports the end of a body with a length or chunks only
   * once it has all of it, but that of a body without either whenever the connection ends. Requires
   * that an {@link OrderlyCloseDetector} is installed on the connection.
   */
  public String incompleteReason(HttpClientResponse response) {
    return switch (kind) {
      case LENGTH, CHUNKED -> "";
      case UNTIL_CLOSED ->
          OrderlyCloseDetector.isClosedInOrder(response.request().connection())
              ? ""
              : "the connection did not end in order before a body without a declared length did";
      case MALFORMED -> "the end of the body is not marked as the protocol requires";
    };
  }

  /** Reads a whole body; fails if it is incomplete. */
  public static Future<Buffer> readBody(HttpClientResponse response) {
    BodyFraming framing = of(response);
    return response
        .body()
        .compose(
            body -> {
              String reason = framing.incompleteReason(response);
              return reason.isEmpty() ? Future.succeededFuture(body) : Future.failedFuture(reason);
            });
  }
}
