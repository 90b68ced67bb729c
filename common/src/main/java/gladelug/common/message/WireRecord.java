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
 * A record between processes: a type number and fields written with DataOutputStream. Readers throw
 * IOException on anything that isn't exactly a record; the connection it came on is then closed.
 */
public interface WireRecord {
  int MAX_RECORD_BYTES = 32 << 20;

  int type();

  void write(DataOutputStream out) throws IOException;

  interface Reader<T> {
    T read(int type, DataInputStream in) throws IOException;
  }

  interface ItemReader<T> {
    T read(DataInputStream in) throws IOException;
  }

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
    if (in.available() > 0) throw new IOException("bytes after the end of a record");
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
      throw new IOException("list of impossible length " + length);
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
      throw new IOException("blob of impossible length " + length);
    return in.readNBytes(length);
  }

  /** A text of any length; writeUTF stops at 65535 bytes. */
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
