package gladelug.control.core;

import gladelug.control.core.register.HistoryEntry;
import gladelug.control.core.register.VersionedValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * When numbers of keys were acknowledged, and when each data-plane process was first seen to hold
 * them: for operators to read, nothing is decided by it. Kept in memory alone. Only the core's
 * thread calls it; times are of the wall clock, in ms since the epoch of Unix.
 */
final class ChangeHistory {
  /** Numbers of a key that are remembered, the newest. */
  private static final int MAX_NUMBERS_PER_KEY = 32;

  /** Stands among the processes' names for the acknowledgement; no process is named so. */
  private static final String ACKNOWLEDGED = "";

  private final CoreHost host;

  /** By key and number: when each process first held it. */
  private final Map<String, TreeMap<Long, Map<String, Long>>> firstSeenAtMs = new HashMap<>();

  ChangeHistory(CoreHost host) {
    this.host = host;
  }

  /** The change was acknowledged to whoever made it. */
  void onAcknowledged(String key, long number) {
    onSeen(key, number, ACKNOWLEDGED);
  }

  /** A process says that it holds a number; only the first time counts. */
  void onSeen(String key, long number, String subscriber) {
    TreeMap<Long, Map<String, Long>> numbers =
        firstSeenAtMs.computeIfAbsent(key, newKey -> new TreeMap<>());
    numbers
        .computeIfAbsent(number, newNumber -> new LinkedHashMap<>())
        .putIfAbsent(subscriber, host.wallClockMs());
    if (numbers.size() > MAX_NUMBERS_PER_KEY) numbers.pollFirstEntry();
  }

  /** The changes that a value's own history tells of, with what was seen of them here. */
  List<ChangeRecord> records(String key, VersionedValue value) {
    List<ChangeRecord> records = new ArrayList<>();
    for (HistoryEntry entry : value.history()) {
      Map<String, Long> firstSeen =
          new LinkedHashMap<>(
              firstSeenAtMs
                  .getOrDefault(key, new TreeMap<>())
                  .getOrDefault(entry.number(), Map.of()));
      Long acknowledgedAt = firstSeen.remove(ACKNOWLEDGED);
      records.add(
          new ChangeRecord(
              entry.number(),
              entry.digest(),
              entry.appliedAtMs(),
              entry.appliedBy(),
              entry.summary(),
              acknowledgedAt == null ? 0 : acknowledgedAt,
              firstSeen));
    }
    return records;
  }
}
