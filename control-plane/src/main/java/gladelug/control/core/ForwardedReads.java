package gladelug.control.core;

import gladelug.control.core.message.ReadResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Reads of a key's newest value that were handed on to the key's owner at another member, until it
 * answers, dies or takes too long. A read changes nothing, so what is lost is only asked again.
 */
final class ForwardedReads {
  /** Below the second after which a caller gives a silent door up, ms. */
  static final long READ_TIMEOUT_MS = 700;

  private record PendingRead(String owner, long sentAtMs, Consumer<ReadResult> onResult) {}

  private final Map<Long, PendingRead> pending = new HashMap<>();

  void onForwarded(long requestId, String owner, long nowMs, Consumer<ReadResult> onResult) {
    pending.put(requestId, new PendingRead(owner, nowMs, onResult));
  }

  void onResponse(long requestId, ReadResult result) {
    PendingRead read = pending.remove(requestId);
    if (read != null) read.onResult.accept(result);
  }

  /** Whose owner is dead, or silent for too long, hears that there is none. */
  void tick(long nowMs, Predicate<String> isAlive) {
    List<Long> expired = new ArrayList<>();
    pending.forEach(
        (requestId, read) -> {
          if (nowMs - read.sentAtMs >= READ_TIMEOUT_MS || !isAlive.test(read.owner))
            expired.add(requestId);
        });
    for (long requestId : expired) onResponse(requestId, ReadResult.NO_OWNER);
  }
}
