package gladelug.control.core.register;

import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/** One key as a member keeps it: its name and the bytes of its register. */
public record RegisterRecord(String key, byte[] register) {
  /** Writes records as a message between members carries them. */
  public static void writeList(DataOutputStream out, List<RegisterRecord> records)
      throws IOException {
    WireRecord.writeList(
        out,
        records,
        (target, record) -> {
          target.writeUTF(record.key);
          WireRecord.writeBlob(target, record.register);
        });
  }

  /** Reads what {@link #writeList} wrote. */
  public static List<RegisterRecord> readList(DataInputStream in) throws IOException {
    return WireRecord.readList(in, RegisterRecord::read);
  }

  /** A register that can't be read is no record: it never gets as far as a disk. */
  private static RegisterRecord read(DataInputStream in) throws IOException {
    RegisterRecord record = new RegisterRecord(in.readUTF(), WireRecord.readBlob(in));
    Register.parse(record.register);
    return record;
  }
}
