package gladelug.emulator.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the records that hollow nodes send and receive, by kind; bytes include length prefixes.
 */
public final class Traffic {
  /** The kinds of records. POLICY is a push of the configuration, PUSH a push of another key. */
  public enum Kind {
    ASK,
    GRANTS,
    POLICY,
    PUSH,
    ALLOT,
    SHUFFLE,
    QUESTION,
    ANSWER
  }

  /** The messages and bytes of each kind up to a time. */
  public record Count(Map<Kind, Long> messages, Map<Kind, Long> bytes) {
    Count since(Count old) {
      Map<Kind, Long> m = new EnumMap<>(messages), b = new EnumMap<>(bytes);
      old.messages.forEach((kind, n) -> m.merge(kind, -n, Long::sum));
      old.bytes.forEach((kind, n) -> b.merge(kind, -n, Long::sum));
      return new Count(m, b);
    }
  }

  private final Map<Kind, LongAdder> messages = new EnumMap<>(Kind.class),
      bytes = new EnumMap<>(Kind.class);

  Traffic() {
    for (Kind kind : Kind.values()) {
      messages.put(kind, new LongAdder());
      bytes.put(kind, new LongAdder());
    }
  }

  void count(Kind kind, int length) {
    messages.get(kind).increment();
    bytes.get(kind).add(length + 4L);
  }

  Count count() {
    Map<Kind, Long> m = new EnumMap<>(Kind.class), b = new EnumMap<>(Kind.class);
    messages.forEach((kind, n) -> m.put(kind, n.sum()));
    bytes.forEach((kind, n) -> b.put(kind, n.sum()));
    return new Count(m, b);
  }
}
