package gladelug.control.core.config;

import gladelug.common.message.WireRecord;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;

/** Parses records of the control state's disk, which hold exactly one record each. */
public final class StoredRecord {
  private StoredRecord() {}

  /**
   * Parses a record that may be malformed.
   *
   * @throws IOException if the bytes are not exactly one valid record
   */
  public static <T> T parse(byte[] bytes, WireRecord.ItemReader<T> reader) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    try {
      T record = reader.read(in);
      if (in.available() > 0)
        throw new IOException(
            in.available() + " bytes after its end, perhaps written by a newer release");
      return record;
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
