package gladelug.common.connection;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * A limit for bytes that many connections make a process hold. When it is reached, the connection
 * that holds most gives way, so that callers who hold little are served whatever came before them.
 * Thread-safe.
 */
final class YieldingBudget {
  /** A connection that holds bytes. Compared by identity. */
  interface Holder {
    /** Ends the connection. Its bytes no longer count; may be called on any thread. */
    void giveWay();
  }

  private final long capacityBytes;
  private final Map<Holder, Long> bytesByHolder = new IdentityHashMap<>();
  private long heldBytes;

  YieldingBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Sets how many bytes a holder holds. If that exceeds the limit, holders of more than that give
   * way, the largest first. Returns false, and counts nothing for the holder, if there are too few
   * such holders.
   */
  boolean hold(Holder holder, long bytes) {
    List<Holder> yielding = new ArrayList<>();
    boolean held = replace(holder, bytes, yielding);
    yielding.forEach(Holder::giveWay);
    return held;
  }

  private synchronized boolean replace(Holder holder, long bytes, List<Holder> yielding) {
    remove(holder);
    if (bytes == 0) return true;
    while (heldBytes + bytes > capacityBytes) {
      Holder largest = largestAbove(bytes);
      if (largest == null) return false;
      remove(largest);
      yielding.add(largest);
    }
    bytesByHolder.put(holder, bytes);
    heldBytes += bytes;
    return true;
  }

  private void remove(Holder holder) {
    Long bytes = bytesByHolder.remove(holder);
    if (bytes != null) heldBytes -= bytes;
  }

  private Holder largestAbove(long bytes) {
    Holder largest = null;
    long most = bytes;
    for (Map.Entry<Holder, Long> entry : bytesByHolder.entrySet())
      if (entry.getValue() > most) {
        most = entry.getValue();
        largest = entry.getKey();
      }
    return largest;
  }

  /** Returns the number of bytes held now. */
  synchronized long heldBytes() {
    return heldBytes;
  }
}
