package gladelug.data.request;

import gladelug.common.Digest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * The text under which replicas cache parts of prompts: a digest of the model, its weights and the
 * {@link CacheScope}. Replicas and stores look a part up only under the text it was stored with and
 * check neither tenant nor weights, so this text is what isolates: what was cached under other
 * weights or in another scope is never found, wherever it lies.
 */
public final class CacheSalt {
  private static final int DIGEST_BYTES = 10;

  private CacheSalt() {}

  /** 20 hex digits. */
  public static String of(String model, String weights, String scope) {
    byte[] d =
        Digest.sha256()
            .digest((model + "\n" + weights + "\n" + scope).getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(d, 0, DIGEST_BYTES);
  }

  /** The index's key of a part kept under a salt. */
  public static long partKey(String salt, String part) {
    return ByteBuffer.wrap(
            Digest.sha256().digest((salt + "/" + part).getBytes(StandardCharsets.UTF_8)))
        .getLong();
  }
}
