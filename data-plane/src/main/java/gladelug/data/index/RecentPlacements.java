package gladelug.data.index;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where prompts were sent a moment ago: their blocks will be kept there though no event told of
 * them yet. A relay remembers its own, an index those it is told of. Bounded, and a hint like the
 * table's own. Lives on one thread.
 */
public final class RecentPlacements {
  static final int MAX_ENTRIES = 4096;
  static final long LIFETIME_MS = 4000;

  private record Key(long block, String instance) {}

  private final Map<Key, Long> expiryMs =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Long> e) {
          return size() > MAX_ENTRIES;
        }
      };

  /** A prompt of these blocks goes to an instance. */
  public void recordPlacement(long[] blocks, String instance, long now) {
    for (long b : blocks) {
      Key k = new Key(b, instance);
      expiryMs.remove(k);
      expiryMs.put(k, now + LIFETIME_MS);
    }
  }

  /** How many of the first blocks an instance should have by what was sent there. */
  public int leadingBlocks(long[] blocks, String instance, long now) {
    int n = 0;
    while (n < blocks.length
        && expiryMs.getOrDefault(new Key(blocks[n], instance), Long.MIN_VALUE) > now) n++;
    return n;
  }
}
