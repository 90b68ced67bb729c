package gladelug.control.core;

import gladelug.control.core.message.ReadResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Tracks reads that this member forwarded to the owner at another member until the owner answers,
 * is no longer alive or exceeds the time-out. A read changes nothing, so a lost one can simply be
 * retried. Called on the core's thread only; times are of the host's monotonic clock, in ms.
 */
final class ForwardedReads {
  /**
   * How long a forwarded read may take; below the second after which callers close a silent
   * connection.
   */
  static final long READ_TIMEOUT_MS = 700;

  private record PendingRead(String owner, long sentAtMs, Consumer<ReadResult> onResult) {}

  private final Map<Long, PendingRead> pendingReads = new HashMap<>();

  void onForwarded(long requestId, String owner, long nowMs, Consumer<ReadResult> onResult) {
    pendingReads.put(requestId, new PendingRead(owner, nowMs, onResult));
  }

  void onResponse(long requestId, ReadResult result) {
    PendingRead read = pendingReads.remove(requestId);
    if (read != null) read.onResult.accept(result);
  }

  /**
   * Answers reads whose owner is not alive or exceeded the time-out with {@link
   * ReadResult#NO_OWNER}.
   */
  void tick(long nowMs, Predicate<String> isAlive) {
    List<Long> expired = new ArrayList<>();
    pendingReads.forEach(
        (requestId, read) -> {
          if (nowMs - read.sentAtMs >= READ_TIMEOUT_MS || !isAlive.test(read.owner))
            expired.add(requestId);
        });
    for (long requestId : expired) onResponse(requestId, ReadResult.NO_OWNER);
  }
}
