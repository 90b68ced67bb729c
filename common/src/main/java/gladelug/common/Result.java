package gladelug.common;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The outcome of an operation that may fail: {@link Good} with a value, or {@link Bad} with the
 * findings that explain the failure. Sealed, so that callers handle both cases.
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

  static <T> Result<T> good(T value) {
    return new Good<>(value);
  }

  static <T> Result<T> bad(String place, String what) {
    return new Bad<>(List.of(new Finding(place, what)));
  }

  static <T> Result<T> of(Findings findings, Supplier<T> valueSupplier) {
    return findings.isEmpty() ? new Good<>(valueSupplier.get()) : new Bad<>(findings.list());
  }

  default <U> Result<U> flatMap(Function<T, Result<U>> mapper) {
    if (this instanceof Good<T> g) return mapper.apply(g.value());
    return new Bad<>(((Bad<T>) this).findings());
  }
}
