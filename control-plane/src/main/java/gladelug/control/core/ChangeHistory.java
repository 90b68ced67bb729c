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
 * Records when each version number of a key was acknowledged and when each data-plane process first
 * reported it. It is shown to operators only and influences no decision. It is kept in memory and
 * is lost on a restart. Called on the core's thread only; times are wall-clock times in ms since
 * the Unix epoch.
 */
final class ChangeHistory {
  /** How many version numbers are remembered for each key; the oldest are dropped first. */
  private static final int MAX_NUMBERS_PER_KEY = 32;

  /**
   * Entry that holds the time of the acknowledgement among the process names; no process has an
   * empty name.
   */
  private static final String ACKNOWLEDGED = "";

  private final CoreHost host;

  /** By key, version number and process name: when the process first reported the number. */
  private final Map<String, TreeMap<Long, Map<String, Long>>> firstSeenAtMs = new HashMap<>();

  ChangeHistory(CoreHost host) {
    this.host = host;
  }

  /** Records that the change was acknowledged to its sender. */
  void onAcknowledged(String key, long number) {
    onSeen(key, number, ACKNOWLEDGED);
  }

  /** Records that a process reported a version number; only its first report counts. */
  void onSeen(String key, long number, String subscriber) {
    TreeMap<Long, Map<String, Long>> numbers =
        firstSeenAtMs.computeIfAbsent(key, newKey -> new TreeMap<>());
    numbers
        .computeIfAbsent(number, newNumber -> new LinkedHashMap<>())
        .putIfAbsent(subscriber, host.wallClockMs());
    if (numbers.size() > MAX_NUMBERS_PER_KEY) numbers.pollFirstEntry();
  }

  /**
   * Returns the changes in the value's history, with the times recorded for them at this member.
   */
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
