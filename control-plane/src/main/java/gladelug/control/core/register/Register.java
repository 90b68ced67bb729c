package gladelug.control.core.register;

import gladelug.control.core.config.StoredRecord;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The state that a member stores for one key: the highest epoch it promised, and the value it last
 * accepted with the epoch of that acceptance. The value's history tells what became of earlier
 * numbers. Numbers only rise; once a write has reached a majority, its number never stands for
 * another value.
 */
public record Register(long promisedEpoch, long acceptedEpoch, VersionedValue value) {
  /** The register of a key for which nothing was ever promised or accepted. */
  public static final Register EMPTY = new Register(0, 0, VersionedValue.NONE);

  /** Returns whether a write under this epoch and number is at least as new as the stored value. */
  public boolean isReplacedBy(long otherEpoch, long otherNumber) {
    return otherEpoch > acceptedEpoch
        || otherEpoch == acceptedEpoch && otherNumber >= value.number();
  }

  /** Merges two members' registers of one key: the newer value and the higher promise. */
  public static Register merge(Register own, Register other) {
    Register newer = own.isReplacedBy(other.acceptedEpoch, other.value.number()) ? other : own;
    return new Register(
        Math.max(own.promisedEpoch, other.promisedEpoch), newer.acceptedEpoch, newer.value);
  }

  /** Returns the register in the format used on disk and in messages. */
  public byte[] toBytes() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeLong(promisedEpoch);
      out.writeLong(acceptedEpoch);
      value.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Parses a register that was validated before.
   *
   * @throws UncheckedIOException if it is malformed nevertheless
   */
  public static Register of(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a register that may be malformed.
   *
   * @throws IOException if the bytes are not exactly one register
   */
  public static Register parse(byte[] bytes) throws IOException {
    return StoredRecord.parse(bytes, Register::read);
  }

  private static Register read(DataInputStream in) throws IOException {
    return new Register(in.readLong(), in.readLong(), VersionedValue.read(in));
  }
}
