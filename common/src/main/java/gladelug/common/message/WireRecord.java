package gladelug.common.message;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A record sent between processes: a type number, then fields in the format of DataOutputStream.
 * Decoding throws IOException for any bytes that aren't exactly one record; the connection is then
 * closed.
 */
public interface WireRecord {
  int MAX_RECORD_BYTES = 32 << 20;

  /** Returns the type number, which is unique within the record's protocol. */
  int type();

  /** Writes the fields. */
  void write(DataOutputStream out) throws IOException;

  /** Reads a protocol's records by type number. */
  interface Reader<T> {
    T read(int type, DataInputStream in) throws IOException;
  }

  /** Reads an item of a list. */
  interface ItemReader<T> {
    T read(DataInputStream in) throws IOException;
  }

  /** Writes an item of a list. */
  interface ItemWriter<T> {
    void write(DataOutputStream out, T record) throws IOException;
  }

  static byte[] encode(WireRecord record) {
    ByteArrayOutputStream buffer = new ByteArrayOutputStream(128);
    try (DataOutputStream out = new DataOutputStream(buffer)) {
      out.writeByte(record.type());
      record.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return buffer.toByteArray();
  }

  static <T> T decode(byte[] bytes, Reader<T> reader) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    T record;
    try {
      record = reader.read(in.readUnsignedByte(), in);
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed record", e);
    }
    if (in.available() > 0) throw new IOException("unexpected bytes after the end of a record");
    return record;
  }

  static <T> void writeList(DataOutputStream out, List<T> items, ItemWriter<T> writer)
      throws IOException {
    out.writeInt(items.size());
    for (T item : items) writer.write(out, item);
  }

  static <T> List<T> readList(DataInputStream in, ItemReader<T> reader) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > in.available())
      throw new IOException("invalid list length " + length);
    List<T> items = new ArrayList<>(length);
    for (int i = 0; i < length; i++) items.add(reader.read(in));
    return List.copyOf(items);
  }

  static void writeBlob(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  static byte[] readBlob(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > in.available())
      throw new IOException("invalid blob length " + length);
    return in.readNBytes(length);
  }

  /** Writes a text of any length; writeUTF is limited to 65535 bytes. */
  static void writeText(DataOutputStream out, String text) throws IOException {
    writeBlob(out, text.getBytes(StandardCharsets.UTF_8));
  }

  static String readText(DataInputStream in) throws IOException {
    return new String(readBlob(in), StandardCharsets.UTF_8);
  }

  static IOException unknownType(int type) {
    return new IOException("unknown record type " + type);
  }
}
