package gladelug.common;

/**
 * Limits the bytes received from others that a process holds for one purpose. The receiver reserves
 * bytes before it keeps them and releases them once they are unreferenced; if the budget is
 * exhausted, the sender is refused at once. Thread-safe.
 */
public final class MemoryBudget {
  /**
   * Peak heap use of a change of the control state per byte of the value: the text, its parsed
   * tree, the configurations before and after, the bytes written to disk, and an encoding for each
   * member.
   */
  private static final int HEAP_BYTES_PER_VALUE_BYTE = 44;

  /** Ten thousand routes must fit whatever the heap size. */
  private static final long MIN_VALUE_LIMIT_BYTES = 2 << 20;

  private static final long MAX_VALUE_LIMIT_BYTES = 6 << 20;

  /** Buffered responses may use one eighth of the heap, and each of them one twentieth. */
  private static final int RESPONSES_HEAP_DIVISOR = 8, PAGE_HEAP_DIVISOR = 20;

  private static final MemoryBudget RESPONSES =
      new MemoryBudget(Runtime.getRuntime().maxMemory() / RESPONSES_HEAP_DIVISOR);

  private final long capacityBytes;
  private long reservedBytes;
  private long peakBytes;
  private long refusedCount;

  /** Creates a budget with the given capacity. */
  public MemoryBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Returns the process-wide budget for buffered responses to outgoing calls: event pages, lists
   * and reports.
   */
  public static MemoryBudget forResponses() {
    return RESPONSES;
  }

  /** Returns the maximum size of an event page or list in bytes: 7 MB with a heap of 144 MB. */
  public static long maxPageBytes() {
    return Runtime.getRuntime().maxMemory() / PAGE_HEAP_DIVISOR;
  }

  /** Returns the maximum size in bytes of a control-state value that this process can handle. */
  public static int maxValueBytes() {
    return maxValueBytes(Runtime.getRuntime().maxMemory());
  }

  /** Returns the maximum size of a control-state value for the given heap size, in bytes. */
  static int maxValueBytes(long heapBytes) {
    return (int)
        Math.max(
            MIN_VALUE_LIMIT_BYTES,
            Math.min(MAX_VALUE_LIMIT_BYTES, heapBytes / HEAP_BYTES_PER_VALUE_BYTE));
  }

  /** Reserves bytes; returns false and reserves nothing if the budget has too few left. */
  public synchronized boolean reserve(long bytes) {
    if (reservedBytes + bytes > capacityBytes) {
      refusedCount++;
      return false;
    }
    reservedBytes += bytes;
    peakBytes = Math.max(peakBytes, reservedBytes);
    return true;
  }

  /** Releases bytes that were reserved. */
  public synchronized void release(long bytes) {
    reservedBytes = Math.max(0, reservedBytes - bytes);
  }

  /** Returns the number of bytes reserved now. */
  public synchronized long reservedBytes() {
    return reservedBytes;
  }

  /** Returns the maximum number of bytes that were ever reserved at once. */
  public synchronized long peakBytes() {
    return peakBytes;
  }

  /** Returns how many reservations were refused. */
  public synchronized long refusedCount() {
    return refusedCount;
  }
}
