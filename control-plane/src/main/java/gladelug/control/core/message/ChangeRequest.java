package gladelug.control.core.message;

import gladelug.common.Digest;
import gladelug.control.core.register.AppliedChanges;

/**
 * A change of one key as its sender asks for it.
 *
 * <p>key: what is changed. match: the number it must follow, ANY_NUMBER for whichever is there.
 * base: what its sender says it builds on, in the sender's own count, by which the same change is
 * recognised when it is sent again; TakenChanges.NO_BASE where that isn't wanted. body: the value.
 * sentDigest: the SHA-256 of what the sender sent, in hex, where that isn't the value itself, as
 * with a change of some items of it; empty where it is.
 */
public record ChangeRequest(
    String key, long requiredNumber, long base, byte[] body, String sentDigest) {
  public static final long ANY_NUMBER = -1;

  /** No newest value has this number once a change was applied, so nothing is written by it. */
  private static final long UNMATCHABLE_NUMBER = 0;

  /** A change whose sender sent the value itself. */
  public ChangeRequest(String key, long match, long base, byte[] body) {
    this(key, match, base, body, "");
  }

  /**
   * Asks that a change known to be applied be acknowledged again; nothing is written where it turns
   * out not to be.
   */
  public static ChangeRequest repeatOf(String key, long base, String sentDigest) {
    return new ChangeRequest(key, UNMATCHABLE_NUMBER, base, new byte[0], sentDigest);
  }

  /** A change that isn't remembered: sent again, it is compared with the newest value alone. */
  public static ChangeRequest withoutBase(String key, long match, byte[] body) {
    return new ChangeRequest(key, match, AppliedChanges.NO_BASE, body);
  }

  /** A change by a sender who counts as the core does, so that the number is the base too. */
  public static ChangeRequest basedOnNumber(String key, long match, byte[] body) {
    return new ChangeRequest(key, match, match, body);
  }

  /** The number it gets if it is taken next, for a sender to ask about; -1 where that is open. */
  public long resultingNumber() {
    return requiredNumber == ANY_NUMBER ? -1 : requiredNumber + 1;
  }

  /** The SHA-256 of the body, in hex. */
  public String digest() {
    return Digest.hex(body);
  }
}
