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
    void write(DataOutputStream out, T t) throws IOException;
  }

  static byte[] encode(WireRecord message) {
    ByteArrayOutputStream b = new ByteArrayOutputStream(128);
    try (DataOutputStream out = new DataOutputStream(b)) {
      out.writeByte(message.type());
      message.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return b.toByteArray();
  }

  static <T> T decode(byte[] bytes, Reader<T> r) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    T t;
    try {
      t = r.read(in.readUnsignedByte(), in);
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed record", e);
    }
    if (in.available() > 0) throw new IOException("bytes after the end of a record");
    return t;
  }

  static <T> void writeList(DataOutputStream out, List<T> l, ItemWriter<T> w) throws IOException {
    out.writeInt(l.size());
    for (T t : l) w.write(out, t);
  }

  static <T> List<T> readList(DataInputStream in, ItemReader<T> r) throws IOException {
    int n = in.readInt();
    if (n < 0 || n > in.available()) throw new IOException("list of impossible length " + n);
    List<T> l = new ArrayList<>(n);
    for (int i = 0; i < n; i++) l.add(r.read(in));
    return List.copyOf(l);
  }

  static void writeBlob(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  static byte[] readBlob(DataInputStream in) throws IOException {
    int n = in.readInt();
    if (n < 0 || n > in.available()) throw new IOException("blob of impossible length " + n);
    return in.readNBytes(n);
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
