package gladelug.control.operator;

import gladelug.common.Finding;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The precondition of a change, from the header If-Match: the number that the change is based on.
 *
 * @param kind the form of the header
 * @param number the number for {@link Kind#NUMBER}; otherwise {@link #ANY_NUMBER}
 */
record IfMatch(Kind kind, long number) {
  /** The form of the header. */
  enum Kind {
    /** A number, with or without quotes. */
    NUMBER,
    /** {@code *}, which matches any number. */
    ANY,
    /** The header is absent. */
    ABSENT,
    /** The header is neither a number nor {@code *}. */
    INVALID
  }

  /** Matches any number. */
  static final long ANY_NUMBER = -1;

  /** The finding reported for an invalid header. */
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

  /** Returns whether the header requires a specific number. */
  boolean hasNumber() {
    return kind == Kind.NUMBER;
  }
}
