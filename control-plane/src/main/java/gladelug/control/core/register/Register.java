package gladelug.control.core.register;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * What a member keeps on disk for one key: the highest epoch it promised, and the value it last
 * accepted with the epoch and number it came under. The value's history lets the fate of an earlier
 * number be told. Numbers only rise; a number whose write reached a majority never means anything
 * else.
 */
public record Register(long promisedEpoch, long acceptedEpoch, VersionedValue value) {
  public static final Register EMPTY = new Register(0, 0, VersionedValue.NONE);

  /** Whether a write under this epoch and number is at least as new as what is kept. */
  public boolean isReplacedBy(long otherEpoch, long otherNumber) {
    return otherEpoch > acceptedEpoch
        || otherEpoch == acceptedEpoch && otherNumber >= value.number();
  }

  /** The newer value and the higher promise of two members' cells for one key. */
  public static Register merge(Register own, Register other) {
    Register newer = own.isReplacedBy(other.acceptedEpoch, other.value.number()) ? other : own;
    return new Register(
        Math.max(own.promisedEpoch, other.promisedEpoch), newer.acceptedEpoch, newer.value);
  }

  /** The register as it is on disk and in messages. */
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

  /** A cell that was checked before. */
  public static Register of(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A cell from anywhere; what is more or less than one is an IOException. */
  public static Register parse(byte[] bytes) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    Register cell = new Register(in.readLong(), in.readLong(), VersionedValue.read(in));
    if (in.available() > 0)
      throw new IOException(in.available() + " bytes after its end, as of a newer release");
    return cell;
  }
}
