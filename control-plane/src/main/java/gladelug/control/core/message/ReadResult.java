package gladelug.control.core.message;

import gladelug.control.core.register.ChangeStatus;
import gladelug.control.core.register.NumberStatus;
import gladelug.control.core.register.VersionedValue;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * The result of reading a key at its owner: the value committed last with its history, or that no
 * member owns the key at the moment, in which case there is no value.
 */
public final class ReadResult {
  /** No member owns the key at the moment. */
  public static final ReadResult NO_OWNER = new ReadResult(false, VersionedValue.NONE);

  private final boolean hasOwner;
  private final VersionedValue value;

  private ReadResult(boolean hasOwner, VersionedValue value) {
    this.hasOwner = hasOwner;
    this.value = value;
  }

  /**
   * Returns the result of a read by the owner.
   *
   * @param value the value committed last
   */
  public static ReadResult of(VersionedValue value) {
    return new ReadResult(true, value);
  }

  /** Returns whether a member owns the key, so that the value is known. */
  public boolean hasOwner() {
    return hasOwner;
  }

  /** Returns the number of the value; 0 if the key was never written. */
  public long number() {
    return value.number();
  }

  /** Returns the SHA-256 of the body, in hex. */
  public String digest() {
    return value.digest();
  }

  /** Returns the body of the value. */
  public byte[] body() {
    return value.body();
  }

  /** Returns what is known of a change with this digest, sent on this base. */
  public ChangeStatus statusOf(String digest, long base) {
    return value.statusOf(digest, base);
  }

  /** Returns what became of a number, for the sender of a change with this digest. */
  public NumberStatus statusOfNumber(long number, String digest) {
    return value.statusOfNumber(number, digest);
  }

  /** Writes the result in the format of messages between members. */
  public void write(DataOutputStream out) throws IOException {
    out.writeBoolean(hasOwner);
    value.write(out);
  }

  /**
   * Reads what {@link #write} wrote.
   *
   * @throws IOException if the bytes are malformed
   */
  public static ReadResult read(DataInputStream in) throws IOException {
    return new ReadResult(in.readBoolean(), VersionedValue.read(in));
  }
}
