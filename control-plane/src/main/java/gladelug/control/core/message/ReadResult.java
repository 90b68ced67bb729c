package gladelug.control.core.message;

import gladelug.control.core.register.ChangeStatus;
import gladelug.control.core.register.NumberStatus;
import gladelug.control.core.register.VersionedValue;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * What a reader of a key is told by the key's owner: the number, digest and value committed last,
 * or that nobody owns the key at the moment, and then nothing else.
 *
 * <p>What was committed last, with its history; nothing where nobody owns the key.
 */
public final class ReadResult {
  /** Nobody owns the key at the moment. */
  public static final ReadResult NO_OWNER = new ReadResult(false, VersionedValue.NONE);

  private final boolean hasOwner;
  private final VersionedValue value;

  private ReadResult(boolean owned, VersionedValue value) {
    this.hasOwner = owned;
    this.value = value;
  }

  /** The result of a read by the owner: the value committed last. */
  public static ReadResult of(VersionedValue value) {
    return new ReadResult(true, value);
  }

  /** Whether a member owns the key, so that the value is known. */
  public boolean hasOwner() {
    return hasOwner;
  }

  /** 0 is "never written". */
  public long number() {
    return value.number();
  }

  /** The SHA-256 of the body, in hex. */
  public String digest() {
    return value.digest();
  }

  /** The value as it was sent. */
  public byte[] body() {
    return value.body();
  }

  /** What is known of a change with this digest, sent on this base. */
  public ChangeStatus statusOf(String digest, long base) {
    return value.statusOf(digest, base);
  }

  /** What became of a number, for the sender of a change with this digest. */
  public NumberStatus statusOfNumber(long number, String digest) {
    return value.statusOfNumber(number, digest);
  }

  /** Writes it as messages and entries on disk hold it. */
  public void write(DataOutputStream out) throws IOException {
    out.writeBoolean(hasOwner);
    value.write(out);
  }

  /** Reads what write wrote; an IOException where that is no such thing. */
  public static ReadResult read(DataInputStream in) throws IOException {
    return new ReadResult(in.readBoolean(), VersionedValue.read(in));
  }
}
