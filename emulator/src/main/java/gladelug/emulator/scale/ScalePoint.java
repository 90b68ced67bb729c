package gladelug.emulator.scale;

import java.util.EnumMap;
import java.util.Map;

/**
 * One point of a scale run: a value for every size, and an estimate of the memory that it needs.
 *
 * @param sizes a value of every size
 */
public record ScalePoint(Map<ScaleSize, Long> sizes) {
  static final int CONTROL_HEAP_MB = 256,
      MIN_INDEX_HEAP_MB = 512,
      RELAY_HEAP_MB = 256,
      EMULATOR_MB = 300;
  private static final long BYTES_PER_TENANT = 140, BYTES_PER_ROUTE = 100, OUTSIDE_HEAP_MB = 90;

  public ScalePoint {
    sizes = Map.copyOf(sizes);
  }

  public static ScalePoint base() {
    Map<ScaleSize, Long> values = new EnumMap<>(ScaleSize.class);
    for (ScaleSize size : ScaleSize.values()) values.put(size, size.base());
    return new ScalePoint(values);
  }

  public ScalePoint with(ScaleSize size, long value) {
    Map<ScaleSize, Long> values = new EnumMap<>(sizes);
    values.put(size, value);
    return new ScalePoint(values);
  }

  public long get(ScaleSize size) {
    return sizes.get(size);
  }

  /** Returns the number of processes in addition to this one. */
  public long processCount() {
    return get(ScaleSize.CONTROLS) + 2;
  }

  /** Returns the approximate size of the configuration in bytes. */
  public long configurationBytes() {
    return 300
        + BYTES_PER_TENANT * get(ScaleSize.TENANTS)
        + BYTES_PER_ROUTE * get(ScaleSize.ROUTES);
  }

  /** Returns the MB that all processes of this point may use together, counting full heaps. */
  public long memoryMb() {
    long heaps =
        get(ScaleSize.CONTROLS) * CONTROL_HEAP_MB
            + indexHeapMb()
            + RELAY_HEAP_MB
            + processCount() * OUTSIDE_HEAP_MB;
    // a hollow node keeps one configuration and receives the next
    return heaps + EMULATOR_MB + (get(ScaleSize.NODES) * 3 * configurationBytes() >> 20);
  }

  /**
   * Returns the heap of the index in MB: a table of four bytes per slot, a second one while it
   * grows, and the block lists that it loads.
   */
  int indexHeapMb() {
    return (int) Math.min(1 << 20, MIN_INDEX_HEAP_MB + get(ScaleSize.BLOCKS) * 400 / (1 << 20));
  }
}
