package gladelug.data.index;

import java.util.Arrays;

/**
 * The units of the blocks that a holder keeps in part: a bounded open-addressing map from a 32-bit
 * tag of the block to units, 8 bytes per slot, at most 3/4 full. Starts with no slots and doubles
 * up to 65536 slots, 512 KiB per holder; blocks that no longer fit count as whole. Two blocks with
 * the same tag share a value (probability 2^-32 per pair). All values are hints: a wrong one costs
 * recomputing less than a block.
 */
final class PartialBlocks {
  static final int MAX_SLOTS = 1 << 16;
  private int[] tags = {};

  /** Units by slot; 0 marks a free slot. */
  private int[] units = {};

  private int size;
  private long refusedCount;

  private static int tag(long block) {
    return (int) (CuckooSummary.mix(block ^ 0xd1b54a32d192ed03L) >>> 32);
  }

  private int slotOf(int tag) {
    int mask = tags.length - 1, i = tag & mask;
    while (units[i] != 0 && tags[i] != tag) i = i + 1 & mask;
    return i;
  }

  /** Returns the units of a block that is kept in part, otherwise 0. */
  int get(long block) {
    return size == 0 ? 0 : units[slotOf(tag(block))];
  }

  /**
   * Sets the units of a block; returns false if the map is full and the block continues to count as
   * whole.
   */
  boolean put(long block, int blockUnits) {
    if (blockUnits <= 0)
      throw new IllegalArgumentException(blockUnits + " units; must be positive");
    int tag = tag(block);
    if (size > 0) {
      int i = slotOf(tag);
      if (units[i] != 0) {
        units[i] = blockUnits;
        return true;
      }
    }
    if (size + 1 > tags.length / 4 * 3 && !grow()) {
      refusedCount++;
      return false;
    }
    int i = slotOf(tag);
    tags[i] = tag;
    units[i] = blockUnits;
    size++;
    return true;
  }

  private boolean grow() {
    if (tags.length >= MAX_SLOTS) return false;
    int[] oldTags = tags, oldUnits = units;
    tags = new int[Math.max(16, oldTags.length * 2)];
    units = new int[tags.length];
    for (int j = 0; j < oldTags.length; j++)
      if (oldUnits[j] != 0) {
        int i = slotOf(oldTags[j]);
        tags[i] = oldTags[j];
        units[i] = oldUnits[j];
      }
    return true;
  }

  /** Removes a block and moves up the entries after it, so that no search ends too early. */
  void remove(long block) {
    if (size == 0) return;
    int mask = tags.length - 1, gap = slotOf(tag(block));
    if (units[gap] == 0) return;
    size--;
    for (int i = gap + 1 & mask; units[i] != 0; i = i + 1 & mask)
      if ((i - (tags[i] & mask) & mask) >= (i - gap & mask)) {
        tags[gap] = tags[i];
        units[gap] = units[i];
        gap = i;
      }
    units[gap] = 0;
  }

  void clear() {
    Arrays.fill(units, 0);
    size = 0;
  }

  int size() {
    return size;
  }

  long refusedCount() {
    return refusedCount;
  }

  long bytes() {
    return 8L * tags.length;
  }
}
