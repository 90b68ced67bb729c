package gladelug.data.index;

/**
 * What a holder tells of one block: how many units (tokens) of it it keeps now. Whoever reads a
 * holder's protocol makes these; several may come for one block, and a removal may leave part.
 *
 * @param incarnation the holder's life, as text; numbers count within it and no incarnation comes
 *     back
 * @param sequence sequence number of the event, rising by one
 * @param block the block's id
 * @param units units kept now, 0 = not at all
 * @param partial whether less than the whole block is kept, as far as the source knows: units below
 *     the block's size, or units left by a removal
 * @param eventsLost the holder says that events before this one were lost
 */
public record CacheEvent(
    String incarnation, long sequence, long block, int units, boolean partial, boolean eventsLost) {
  /**
   * The block, or more of it, is kept; counts as whole unless part was told before and this is no
   * more.
   */
  public static CacheEvent store(String incarnation, long number, long block, int units) {
    return new CacheEvent(incarnation, number, block, units, false, false);
  }

  /** Units are left of the block; 0 where it is gone. */
  public static CacheEvent evict(String incarnation, long number, long block, int left) {
    return new CacheEvent(incarnation, number, block, left, left > 0, false);
  }

  /** This event from a holder that says it lost some before. */
  public CacheEvent afterLoss() {
    return new CacheEvent(incarnation, sequence, block, units, partial, true);
  }
}
