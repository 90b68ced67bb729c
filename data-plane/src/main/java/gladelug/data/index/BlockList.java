package gladelug.data.index;

import java.util.Arrays;
import java.util.BitSet;

/**
 * All that a holder keeps at one moment, as its list gives it.
 *
 * @param incarnation the holder's life
 * @param lastSequence sequence number of the last event that the list includes
 * @param blocks ids of the blocks kept, each once
 * @param units units kept of each, as long as blocks; 0 = not kept
 * @param partial which of them are kept in part only
 */
public record BlockList(
    String incarnation, long lastSequence, long[] blocks, int[] units, BitSet partial) {
  public BlockList {
    if (blocks.length != units.length)
      throw new IllegalArgumentException(blocks.length + " blocks, " + units.length + " units");
  }

  /** A list of whole blocks. */
  public static BlockList whole(String incarnation, long number, long[] blocks) {
    int[] units = new int[blocks.length];
    Arrays.fill(units, 1);
    return new BlockList(incarnation, number, blocks, units, new BitSet());
  }
}
