package gladelug.common.message;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The difference between two versions of a value: the lengths of the common prefix and suffix, and
 * the new bytes between them. The delta is small if the value changes in one place, however large
 * the value is. The caller of {@link #apply} must check the digest of the result.
 */
public final class BinaryDelta {
  private BinaryDelta() {}

  /** Returns the delta, or null if it would save less than about half of the full value. */
  public static byte[] between(byte[] old, byte[] updated) {
    int shorter = Math.min(old.length, updated.length), prefixLength = 0, suffixLength = 0;
    while (prefixLength < shorter && old[prefixLength] == updated[prefixLength]) prefixLength++;
    while (suffixLength < shorter - prefixLength
        && old[old.length - 1 - suffixLength] == updated[updated.length - 1 - suffixLength])
      suffixLength++;
    int middleLength = updated.length - prefixLength - suffixLength;
    if (middleLength + 64 > updated.length / 2) return null;
    return ByteBuffer.allocate(8 + middleLength)
        .putInt(prefixLength)
        .putInt(suffixLength)
        .put(updated, prefixLength, middleLength)
        .array();
  }

  /** Returns the updated value, or null if the delta doesn't fit the old value. */
  public static byte[] apply(byte[] old, byte[] delta) {
    if (delta.length < 8) return null;
    ByteBuffer buffer = ByteBuffer.wrap(delta);
    int prefixLength = buffer.getInt(),
        suffixLength = buffer.getInt(),
        middleLength = delta.length - 8;
    if (prefixLength < 0 || suffixLength < 0 || (long) prefixLength + suffixLength > old.length)
      return null;
    byte[] result = Arrays.copyOf(old, prefixLength + middleLength + suffixLength);
    System.arraycopy(delta, 8, result, prefixLength, middleLength);
    System.arraycopy(
        old, old.length - suffixLength, result, prefixLength + middleLength, suffixLength);
    return result;
  }
}
