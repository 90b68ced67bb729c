package gladelug.data.index;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers where prompts were sent recently: their blocks will be kept there although no event has
 * reported them yet. A relay remembers its own placements, an index those that relays report.
 * Bounded, and a hint like the summary. Confined to one thread.
 */
public final class RecentPlacements {
  /** The maximum number of block and instance pairs; the oldest are evicted. */
  static final int MAX_ENTRIES = 4096;

  /** The time for which a placement counts; events report the blocks by then. */
  static final long LIFETIME_MS = 4000;

  private record Key(long block, String instance) {}

  private final Map<Key, Long> expiryMs =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Records that a prompt with these blocks was sent to an instance. */
  public void recordPlacement(long[] blocks, String instance, long nowMs) {
    for (long block : blocks) {
      Key key = new Key(block, instance);
      expiryMs.remove(key);
      expiryMs.put(key, nowMs + LIFETIME_MS);
    }
  }

  /**
   * Returns how many of the first blocks an instance should have, according to recent placements.
   */
  public int leadingBlocks(long[] blocks, String instance, long nowMs) {
    int count = 0;
    while (count < blocks.length
        && expiryMs.getOrDefault(new Key(blocks[count], instance), Long.MIN_VALUE) > nowMs) count++;
    return count;
  }
}
