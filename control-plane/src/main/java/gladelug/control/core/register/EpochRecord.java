package gladelug.control.core.register;

import gladelug.control.core.config.StoredRecord;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The epochs of a register whose value is already on disk in the key's complete register entry.
 * Written instead of the complete register when only the epochs have risen.
 *
 * @param promisedEpoch the highest promised epoch
 * @param acceptedEpoch the epoch under which the value was accepted
 * @param number the number of that value
 * @param digest the SHA-256 of that value's body, in hex
 */
public record EpochRecord(long promisedEpoch, long acceptedEpoch, long number, String digest) {
  /** Returns the epochs of a register. */
  public static EpochRecord of(Register register) {
    return new EpochRecord(
        register.promisedEpoch(),
        register.acceptedEpoch(),
        register.value().number(),
        register.value().digest());
  }

  /**
   * Returns the register with the later of both records' epochs. Epochs only rise, so the higher
   * ones are the later ones; the complete register may have been written after this record.
   */
  public Register applyTo(Register register) {
    boolean sameValue =
        register.value().number() == number && register.value().digest().equals(digest);
    return new Register(
        Math.max(register.promisedEpoch(), promisedEpoch),
        sameValue ? Math.max(register.acceptedEpoch(), acceptedEpoch) : register.acceptedEpoch(),
        register.value());
  }

  /** Returns the entry as stored on disk. */
  public byte[] toBytes() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeLong(promisedEpoch);
      out.writeLong(acceptedEpoch);
      out.writeLong(number);
      out.writeUTF(digest);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Parses an entry that may be malformed.
   *
   * @throws IOException if the bytes are not exactly one entry
   */
  public static EpochRecord parse(byte[] bytes) throws IOException {
    return StoredRecord.parse(bytes, EpochRecord::read);
  }

  private static EpochRecord read(DataInputStream in) throws IOException {
    return new EpochRecord(in.readLong(), in.readLong(), in.readLong(), in.readUTF());
  }

  /**
   * Parses an entry that was validated before.
   *
   * @throws UncheckedIOException if it is malformed nevertheless
   */
  public static EpochRecord of(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
