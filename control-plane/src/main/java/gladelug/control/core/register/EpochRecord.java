package gladelug.control.core.register;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The epochs of a cell whose value is in the whole record; number and digest say which value. */
public record EpochRecord(long promisedEpoch, long acceptedEpoch, long number, String digest) {
  /** The epochs of a register, for one whose value is on disk already. */
  public static EpochRecord of(Register cell) {
    return new EpochRecord(
        cell.promisedEpoch(), cell.acceptedEpoch(), cell.value().number(), cell.value().digest());
  }

  /** Epochs only rise, so the higher ones are the later; a whole record may be the later one. */
  public Register applyTo(Register whole) {
    boolean sameValue = whole.value().number() == number && whole.value().digest().equals(digest);
    return new Register(
        Math.max(whole.promisedEpoch(), promisedEpoch),
        sameValue ? Math.max(whole.acceptedEpoch(), acceptedEpoch) : whole.acceptedEpoch(),
        whole.value());
  }

  /** The entry as it is on disk. */
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

  /** An entry from anywhere; what is more or less than one is an IOException. */
  public static EpochRecord parse(byte[] bytes) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    EpochRecord epochs = new EpochRecord(in.readLong(), in.readLong(), in.readLong(), in.readUTF());
    if (in.available() > 0)
      throw new IOException(in.available() + " bytes after its end, as of a newer release");
    return epochs;
  }

  /** An entry that was checked before; an UncheckedIOException where it cannot be read. */
  public static EpochRecord of(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
