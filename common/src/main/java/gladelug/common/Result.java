package gladelug.common;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The outcome of something that may not work out: Good with a value, or Bad with the findings that
 * say why. Sealed, so that a caller has to look at both.
 */
public sealed interface Result<T> {
  record Good<T>(T value) implements Result<T> {}

  record Bad<T>(List<Finding> findings) implements Result<T> {
    @Override
    public String toString() {
      StringBuilder builder = new StringBuilder();
      for (Finding f : findings) builder.append(f).append('\n');
      return builder.toString();
    }
  }

  static <T> Result<T> good(T v) {
    return new Good<>(v);
  }

  static <T> Result<T> bad(String place, String what) {
    return new Bad<>(List.of(new Finding(place, what)));
  }

  static <T> Result<T> of(Findings findings, Supplier<T> supplier) {
    return findings.isEmpty() ? new Good<>(supplier.get()) : new Bad<>(findings.list());
  }

  default <U> Result<U> flatMap(Function<T, Result<U>> f) {
    if (this instanceof Good<T> g) return f.apply(g.value());
    return new Bad<>(((Bad<T>) this).findings());
  }
}
