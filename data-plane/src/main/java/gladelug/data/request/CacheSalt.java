package gladelug.data.request;

import gladelug.common.Digest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Computes the salt under which replicas cache parts of prompts: a digest of model, weights and
 * {@link CacheScope}. Replicas and stores find a part only under the salt with which it was stored
 * and check neither tenant nor weights, so the salt alone provides isolation: what was cached under
 * other weights or in another scope is never found, wherever it is stored.
 */
public final class CacheSalt {
  private static final int DIGEST_BYTES = 10;

  private CacheSalt() {}

  /** Returns the salt as 20 hex digits. */
  public static String of(String model, String weights, String scope) {
    byte[] digest =
        Digest.sha256()
            .digest((model + "\n" + weights + "\n" + scope).getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
  }

  /** Returns the index key of a part that is cached under a salt. */
  public static long partKey(String salt, String part) {
    return ByteBuffer.wrap(
            Digest.sha256().digest((salt + "/" + part).getBytes(StandardCharsets.UTF_8)))
        .getLong();
  }
}
