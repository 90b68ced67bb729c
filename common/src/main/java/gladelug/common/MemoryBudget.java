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
  private static final int HEAP_PER_VALUE_BYTE = 44;

  /** Ten thousand routes have to fit, whatever the heap. */
  private static final long SMALLEST_LIMIT = 2 << 20;

  private static final long LARGEST_LIMIT = 6 << 20;

  /** Of the heap, what callers' bodies may take. */
  private static final int BODIES_SHARE = 4;

  /** Of the heap, what whole answers to this process's calls may take, and the largest of them. */
  private static final int ANSWERS_SHARE = 8, ANSWER_SHARE = 20;

  private static final MemoryBudget ANSWERS =
      new MemoryBudget(Runtime.getRuntime().maxMemory() / ANSWERS_SHARE);

  private final long bytes;
  private long reserved;
  private long peak;
  private long refused;

  /** A budget of so many bytes. */
  public MemoryBudget(long bytes) {
    this.bytes = bytes;
  }

  /** The budget of callers' bodies in this process. */
  public static MemoryBudget ofBodies() {
    return new MemoryBudget(Runtime.getRuntime().maxMemory() / BODIES_SHARE);
  }

  /**
   * The one budget of whole answers to this process's calls, whoever makes them: pages of events,
   * lists, reports.
   */
  public static MemoryBudget ofAnswers() {
    return ANSWERS;
  }

  /** The largest page of events or list that is taken in, in bytes: 8 MB with 160 MB of heap. */
  public static long largestPageBytes() {
    return Runtime.getRuntime().maxMemory() / ANSWER_SHARE;
  }

  /** The largest value of a key of the control state that this process can work with, in bytes. */
  public static int largestValueBytes() {
    return largestValueBytes(Runtime.getRuntime().maxMemory());
  }

  /** The same with so large a heap, in bytes. */
  static int largestValueBytes(long heap) {
    return (int) Math.max(SMALLEST_LIMIT, Math.min(LARGEST_LIMIT, heap / HEAP_PER_VALUE_BYTE));
  }

  /** Takes so many bytes; false, and nothing is taken, where they aren't left. */
  public synchronized boolean reserve(long wanted) {
    if (reserved + wanted > bytes) {
      refused++;
      return false;
    }
    reserved += wanted;
    peak = Math.max(peak, reserved);
    return true;
  }

  /** Gives back what was reserved. */
  public synchronized void release(long given) {
    reserved = Math.max(0, reserved - given);
  }

  /** Bytes that are held now. */
  public synchronized long reserved() {
    return reserved;
  }

  /** The most bytes that were ever held at once. */
  public synchronized long peak() {
    return peak;
  }

  /** How often bytes were refused. */
  public synchronized long refused() {
    return refused;
  }
}
