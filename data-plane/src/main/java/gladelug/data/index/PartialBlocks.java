package gladelug.data.index;

import java.util.Arrays;

/**
 * Units of one holder's blocks that are kept in part: a bounded open-addressing map from a 32-bit
 * tag of the block to units, 8 bytes a slot, at most 3/4 full. It begins with no slots and grows by
 * doubling to 65536 slots, 512 KiB a holder; what doesn't go in any more counts as whole. Two
 * blocks of one tag share a value (a chance of one in 2^32 a pair). All of it is a hint: a wrong
 * value costs the recompute of less than a block.
 */
final class PartialBlocks {
  static final int MAX_SLOTS = 1 << 16;
  private int[] tags = {};

  /** 0 = the slot is free. */
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

  /** Units of a block that is kept in part, else 0. */
  int get(long block) {
    return size == 0 ? 0 : units[slotOf(tag(block))];
  }

  /** False where there is no more room and the block goes on counting as whole. */
  boolean put(long block, int n) {
    if (n <= 0) throw new IllegalArgumentException(n + " units");
    int tag = tag(block);
    if (size > 0) {
      int i = slotOf(tag);
      if (units[i] != 0) {
        units[i] = n;
        return true;
      }
    }
    if (size + 1 > tags.length / 4 * 3 && !grow()) {
      refusedCount++;
      return false;
    }
    int i = slotOf(tag);
    tags[i] = tag;
    units[i] = n;
    size++;
    return true;
  }

  private boolean grow() {
    if (tags.length >= MAX_SLOTS) return false;
    int[] ts = tags, us = units;
    tags = new int[Math.max(16, ts.length * 2)];
    units = new int[tags.length];
    for (int j = 0; j < ts.length; j++)
      if (us[j] != 0) {
        int i = slotOf(ts[j]);
        tags[i] = ts[j];
        units[i] = us[j];
      }
    return true;
  }

  /** Closes the gap by moving up what stood after it, so that no search ends too early. */
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
