package gladelug.emulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The content that stand-ins on both ends derive independently: the tag at the end of a prompt, the
 * pieces of its answer, and the ids of prefix blocks.
 */
public final class StandInContent {
  /** The number of prompt bytes in one prefix block. */
  public static final int BLOCK_BYTES = 256;

  private static final String NO_TAG = "untagged";
  private static final int MIN_PIECES = 4;
  private static final int PIECE_COUNT_RANGE = 13;

  private StandInContent() {}

  /** Returns the tag at the end of a prompt. */
  public static String tagOf(String prompt) {
    int mark = prompt.lastIndexOf('#');
    return mark < 0 ? NO_TAG : prompt.substring(mark + 1);
  }

  /** Returns the number of pieces in the answer to a request with a tag. */
  public static int piecesOf(String tag, int most) {
    return Math.min(most, MIN_PIECES + Math.floorMod(tag.hashCode(), PIECE_COUNT_RANGE));
  }

  /** Returns the text of one piece. */
  public static String textOf(String tag, int piece) {
    return tag + "/" + piece + " ";
  }

  /** Returns the ids of a prompt's blocks of the default size. */
  public static long[] blockIds(String service, String weights, String wall, String prompt) {
    return blockIds(service, weights, wall, prompt, BLOCK_BYTES);
  }

  /**
   * Returns the ids of a prompt's complete blocks, implemented from the protocol's specification
   * and independent of production code; the last byte of a prompt never belongs to a block.
   */
  public static long[] blockIds(
      String service, String weights, String wall, String prompt, int blockBytes) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    MessageDigest digest = sha256();
    String origin = service + "\n" + weights + "\n" + wall;
    byte[] link = digest.digest(origin.getBytes(StandardCharsets.UTF_8));
    long[] ids = new long[Math.max(0, bytes.length - 1) / blockBytes];
    for (int i = 0; i < ids.length; i++) {
      ByteBuffer linked = ByteBuffer.allocate(link.length + blockBytes);
      linked.put(link).put(bytes, i * blockBytes, blockBytes);
      link = digest.digest(linked.array());
      ids[i] = ByteBuffer.wrap(link).getLong();
    }
    return ids;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
