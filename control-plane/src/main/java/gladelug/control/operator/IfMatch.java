package gladelug.control.operator;

import gladelug.common.Finding;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The precondition of a change: the number it is based on, from the header If-Match.
 *
 * @param kind what the header holds
 * @param number the number, for {@link Kind#NUMBER}; else {@link #ANY_NUMBER}
 */
record IfMatch(Kind kind, long number) {
  /** What the header holds. */
  enum Kind {
    /** A number, with quotes or without. */
    NUMBER,
    /** `*`: whatever is there. */
    ANY,
    /** There is no such header. */
    ABSENT,
    /** Anything else. */
    INVALID
  }

  /** Stands for whatever number is there. */
  static final long ANY_NUMBER = -1;

  /** What is said of an invalid header. */
  static final Finding INVALID_FINDING = new Finding("If-Match", "must be a number or *");

  private static final Pattern NUMBER = Pattern.compile("\"(\\d{1,18})\"|(\\d{1,18})");

  static IfMatch parse(RoutingContext context) {
    String header = context.request().getHeader("If-Match");
    if (header == null) return new IfMatch(Kind.ABSENT, ANY_NUMBER);
    if (header.trim().equals("*")) return new IfMatch(Kind.ANY, ANY_NUMBER);
    Matcher matcher = NUMBER.matcher(header.trim());
    if (!matcher.matches()) return new IfMatch(Kind.INVALID, ANY_NUMBER);
    String digits = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
    return new IfMatch(Kind.NUMBER, Long.parseLong(digits));
  }

  /** Whether a certain number is asked for. */
  boolean hasNumber() {
    return kind == Kind.NUMBER;
  }
}
