package gladelug.data.request;

import gladelug.common.Digest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The ids of a prompt's prefix blocks, as the back ends' protocol defines them: a chain of SHA-256,
 * begun from service, weights and scope of sharing, over blocks of so many bytes; an id is the
 * first 8 bytes of its link. So equal text under other weights or in another scope has unrelated
 * ids. Only complete blocks count, and the last byte of a prompt is never part of a reusable block.
 */
public final class PrefixBlocks {
  private PrefixBlocks() {}

  public static long[] computeIds(
      String service, String weights, String scope, byte[] prompt, int blockBytes) {
    int n = Math.max(0, prompt.length - 1) / blockBytes;
    long[] out = new long[n];
    MessageDigest d = Digest.sha256();
    byte[] link =
        d.digest((service + "\n" + weights + "\n" + scope).getBytes(StandardCharsets.UTF_8));
    for (int i = 0; i < n; i++) {
      d.update(link);
      d.update(prompt, i * blockBytes, blockBytes);
      link = d.digest();
      out[i] = ByteBuffer.wrap(link).getLong();
    }
    return out;
  }
}
