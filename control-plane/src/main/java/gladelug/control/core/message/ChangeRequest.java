package gladelug.control.core.message;

import gladelug.common.Digest;
import gladelug.control.core.register.AppliedChanges;

/**
 * A request to change the value of one key.
 *
 * @param key the key to change
 * @param requiredNumber the number that the newest value must have; ANY_NUMBER to replace whatever
 *     value is there
 * @param base the state that the change builds on, as counted by its sender, by which a repeated
 *     change is recognized; {@link AppliedChanges#NO_BASE} if it need not be
 * @param body the new value
 * @param sentDigest the SHA-256 of what the sender sent, in hex, if that is not the value itself,
 *     as with a change of some of its items; otherwise empty
 */
public record ChangeRequest(
    String key, long requiredNumber, long base, byte[] body, String sentDigest) {
  /** The required number of a change that replaces whatever value is there. */
  public static final long ANY_NUMBER = -1;

  /**
   * After a change was applied, the newest value never has this number, so a request that requires
   * it writes nothing.
   */
  private static final long UNMATCHABLE_NUMBER = 0;

  /** Creates a change whose sender sent the value itself. */
  public ChangeRequest(String key, long requiredNumber, long base, byte[] body) {
    this(key, requiredNumber, base, body, "");
  }

  /**
   * Returns a request to acknowledge again a change known to be applied; it writes nothing if the
   * change turns out not to be applied.
   */
  public static ChangeRequest repeatOf(String key, long base, String sentDigest) {
    return new ChangeRequest(key, UNMATCHABLE_NUMBER, base, new byte[0], sentDigest);
  }

  /**
   * Returns a change that is not remembered: a repetition is compared with the newest value alone.
   */
  public static ChangeRequest withoutBase(String key, long requiredNumber, byte[] body) {
    return new ChangeRequest(key, requiredNumber, AppliedChanges.NO_BASE, body);
  }

  /**
   * Returns a change by a sender that counts states as the core does, so that the required number
   * is also the base.
   */
  public static ChangeRequest basedOnNumber(String key, long requiredNumber, byte[] body) {
    return new ChangeRequest(key, requiredNumber, requiredNumber, body);
  }

  /**
   * Returns the number that the change gets if it is applied next, for a sender to query; -1 if
   * that is open.
   */
  public long resultingNumber() {
    return requiredNumber == ANY_NUMBER ? -1 : requiredNumber + 1;
  }

  /** Returns the SHA-256 of the body, in hex. */
  public String digest() {
    return Digest.hex(body);
  }
}
