package gladelug.common;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests, used for stored API keys, documents sent by operators and prompt block IDs. */
public final class Digest {
  private Digest() {}

  /** Returns a new SHA-256 digest. */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the SHA-256 digest of the bytes in hexadecimal. */
  public static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(sha256().digest(bytes));
  }

  /** Returns the SHA-256 digest of the text in UTF-8, in hexadecimal. */
  public static String hex(String text) {
    return hex(text.getBytes(StandardCharsets.UTF_8));
  }
}
