package gladelug.common;

/**
 * How many bytes a process may hold for one purpose of what others send it. Whoever takes in bytes
 * reserves them before, and gives them back once nothing holds them any more; where none are left,
 * the sender is refused at once. Thread-safe.
 */
public final class MemoryBudget {
  /**
   * What a change of the control state needs of the heap for each byte of the value, where it needs
   * most: the text, its tree, the configurations before and after, what is written to disk, and an
   * encoding for each member.
   */
  private static final int HEAP_BYTES_PER_VALUE_BYTE = 44;

  /** Ten thousand routes have to fit, whatever the heap. */
  private static final long MIN_VALUE_LIMIT_BYTES = 2 << 20;

  private static final long MAX_VALUE_LIMIT_BYTES = 6 << 20;

  /** Of the heap, what callers' bodies may take. */
  private static final int REQUEST_BODIES_HEAP_DIVISOR = 4;

  /** Of the heap, what whole answers to this process's calls may take, and the largest of them. */
  private static final int RESPONSES_HEAP_DIVISOR = 8, PAGE_HEAP_DIVISOR = 20;

  private static final MemoryBudget RESPONSES =
      new MemoryBudget(Runtime.getRuntime().maxMemory() / RESPONSES_HEAP_DIVISOR);

  private final long capacityBytes;
  private long reservedBytes;
  private long peakBytes;
  private long refusedCount;

  /** A budget of so many bytes. */
  public MemoryBudget(long bytes) {
    this.capacityBytes = bytes;
  }

  /** The budget of callers' bodies in this process. */
  public static MemoryBudget forRequestBodies() {
    return new MemoryBudget(Runtime.getRuntime().maxMemory() / REQUEST_BODIES_HEAP_DIVISOR);
  }

  /**
   * The one budget of whole answers to this process's calls, whoever makes them: pages of events,
   * lists, reports.
   */
  public static MemoryBudget forResponses() {
    return RESPONSES;
  }

  /** The largest page of events or list that is taken in, in bytes: 8 MB with 160 MB of heap. */
  public static long maxPageBytes() {
    return Runtime.getRuntime().maxMemory() / PAGE_HEAP_DIVISOR;
  }

  /** The largest value of a key of the control state that this process can work with, in bytes. */
  public static int maxValueBytes() {
    return maxValueBytes(Runtime.getRuntime().maxMemory());
  }

  /** The same with so large a heap, in bytes. */
  static int maxValueBytes(long heap) {
    return (int)
        Math.max(
            MIN_VALUE_LIMIT_BYTES,
            Math.min(MAX_VALUE_LIMIT_BYTES, heap / HEAP_BYTES_PER_VALUE_BYTE));
  }

  /** Takes so many bytes; false, and nothing is taken, where they aren't left. */
  public synchronized boolean reserve(long wanted) {
    if (reservedBytes + wanted > capacityBytes) {
      refusedCount++;
      return false;
    }
    reservedBytes += wanted;
    peakBytes = Math.max(peakBytes, reservedBytes);
    return true;
  }

  /** Gives back what was reserved. */
  public synchronized void release(long given) {
    reservedBytes = Math.max(0, reservedBytes - given);
  }

  /** Bytes that are held now. */
  public synchronized long reservedBytes() {
    return reservedBytes;
  }

  /** The most bytes that were ever held at once. */
  public synchronized long peakBytes() {
    return peakBytes;
  }

  /** How often bytes were refused. */
  public synchronized long refusedCount() {
    return refusedCount;
  }
}
