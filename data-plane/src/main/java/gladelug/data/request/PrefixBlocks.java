package gladelug.data.request;

import gladelug.common.Digest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Computes the ids of a prompt's prefix blocks as the replicas' protocol defines them: a SHA-256
 * chain seeded with service, weights and cache scope, over blocks of fixed size in bytes. An id is
 * the first 8 bytes of its link, so equal text under other weights or in another scope has
 * unrelated ids. Only complete blocks have an id, and the last byte of a prompt never belongs to a
 * reusable block.
 */
public final class PrefixBlocks {
  private PrefixBlocks() {}

  /** Returns the ids of all complete blocks of the prompt, in order. */
  public static long[] computeIds(
      String service, String weights, String scope, byte[] prompt, int blockBytes) {
    int count = Math.max(0, prompt.length - 1) / blockBytes;
    long[] ids = new long[count];
    MessageDigest sha256 = Digest.sha256();
    byte[] link =
        sha256.digest((service + "\n" + weights + "\n" + scope).getBytes(StandardCharsets.UTF_8));
    for (int i = 0; i < count; i++) {
      sha256.update(link);
      sha256.update(prompt, i * blockBytes, blockBytes);
      link = sha256.digest();
      ids[i] = ByteBuffer.wrap(link).getLong();
    }
    return ids;
  }
}
