package gladelug.control.core.register;

import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/** Which value of a key a member has; epoch and number together mean one value. */
public record RegisterVersion(String key, long epoch, long number) {
  /** Writes versions as a message between members carries them. */
  public static void writeList(DataOutputStream out, List<RegisterVersion> versions)
      throws IOException {
    WireRecord.writeList(
        out,
        versions,
        (target, version) -> {
          target.writeUTF(version.key);
          target.writeLong(version.epoch);
          target.writeLong(version.number);
        });
  }

  /** Reads what {@link #writeList} wrote. */
  public static List<RegisterVersion> readList(DataInputStream in) throws IOException {
    return WireRecord.readList(in, RegisterVersion::read);
  }

  private static RegisterVersion read(DataInputStream in) throws IOException {
    return new RegisterVersion(in.readUTF(), in.readLong(), in.readLong());
  }
}
