package gladelug.data.index;

import java.util.Arrays;
import java.util.BitSet;

/**
 * All blocks that a holder keeps at one moment, as the holder lists them.
 *
 * @param incarnation the run of the holder that made the list
 * @param lastSequence sequence number of the last event that the list includes
 * @param blocks ids of the kept blocks, without duplicates
 * @param units units kept of each block, parallel to blocks; 0 = not kept
 * @param partial indexes of the blocks that are kept only in part
 */
public record BlockList(
    String incarnation, long lastSequence, long[] blocks, int[] units, BitSet partial) {
  public BlockList {
    if (blocks.length != units.length)
      throw new IllegalArgumentException(
          blocks.length + " blocks but " + units.length + " unit counts");
  }

  /** Returns a list of blocks that are all kept whole. */
  public static BlockList whole(String incarnation, long lastSequence, long[] blocks) {
    int[] units = new int[blocks.length];
    Arrays.fill(units, 1);
    return new BlockList(incarnation, lastSequence, blocks, units, new BitSet());
  }
}
