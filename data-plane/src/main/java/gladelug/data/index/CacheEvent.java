package gladelug.data.index;

/**
 * Reports how many units (tokens) of a block a holder keeps now. Made by whatever reads the
 * holder's protocol. Several events may concern one block, and an eviction may leave a part of it.
 *
 * @param incarnation the run of the holder; sequence numbers count within a run, and an incarnation
 *     never recurs
 * @param sequence sequence number of the event, rising by one
 * @param block id of the block
 * @param units units kept now; 0 = none
 * @param partial whether less than the whole block is kept, as far as the source knows: fewer units
 *     than the size of the block, or units left by an eviction
 * @param eventsLost whether the holder reports that earlier events were lost
 */
public record CacheEvent(
    String incarnation, long sequence, long block, int units, boolean partial, boolean eventsLost) {
  /**
   * Returns an event for a block that is stored or has grown. The block counts as whole unless an
   * earlier event reported it as partial and this one has no more units.
   */
  public static CacheEvent store(String incarnation, long sequence, long block, int units) {
    return new CacheEvent(incarnation, sequence, block, units, false, false);
  }

  /** Returns an event for an eviction that leaves the remaining units; 0 if the block is gone. */
  public static CacheEvent evict(String incarnation, long sequence, long block, int remaining) {
    return new CacheEvent(incarnation, sequence, block, remaining, remaining > 0, false);
  }

  /** Returns this event with the mark that earlier events were lost. */
  public CacheEvent afterLoss() {
    return new CacheEvent(incarnation, sequence, block, units, partial, true);
  }
}
