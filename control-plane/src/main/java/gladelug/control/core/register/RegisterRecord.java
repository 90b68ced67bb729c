package gladelug.control.core.register;

import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/** A key and its serialized register. */
public record RegisterRecord(String key, byte[] register) {
  /** Writes records in the format of messages between members. */
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

  /**
   * Reads one record and validates its register, so that a malformed register never reaches a disk.
   */
  private static RegisterRecord read(DataInputStream in) throws IOException {
    RegisterRecord record = new RegisterRecord(in.readUTF(), WireRecord.readBlob(in));
    Register.parse(record.register);
    return record;
  }
}
