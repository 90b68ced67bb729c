import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A head and a body of HTTP/1.1, read from and written to plain sockets. */
final class Http {
  /** A message; line is its first line, and the names of headers are in lower case. */
  record Message(String line, Map<String, String> headers, byte[] body, boolean whole) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  static BufferedInputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 1 << 16);
  }

  /** The next message; null where the connection ended before it. */
  static Message read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) return null;
    Map<String, String> headers = new LinkedHashMap<>();
    for (String h = line(in); ; h = line(in)) {
      if (h == null) throw new EOFException("in a head");
      if (h.isEmpty()) break;
      int c = h.indexOf(':');
      headers.put(h.substring(0, c).trim().toLowerCase(Locale.ROOT), h.substring(c + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = true;
    try {
      if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        while (true) {
          String size = line(in);
          if (size == null) throw new EOFException("in chunks");
          int n = Integer.parseInt(size.trim(), 16);
          copy(in, body, n);
          if (line(in) == null) throw new EOFException("in chunks");
          if (n == 0) break;
        }
      } else if (headers.containsKey("content-length"))
        copy(in, body, Integer.parseInt(headers.get("content-length")));
    } catch (IOException e) {
      whole = false;
    }
    return new Message(line, headers, body.toByteArray(), whole);
  }

  private static void copy(InputStream in, OutputStream to, int n) throws IOException {
    byte[] part = new byte[1 << 14];
    for (int left = n; left > 0; ) {
      int read = in.read(part, 0, Math.min(left, part.length));
      if (read < 0) throw new EOFException("in a body");
      to.write(part, 0, read);
      left -= read;
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) return null;
        throw new EOFException("in a line");
      }
      if (b != '\r') line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] h = (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[h.length + body.length];
    System.arraycopy(h, 0, all, 0, h.length);
    System.arraycopy(body, 0, all, h.length, body.length);
    out.write(all);
    out.flush();
  }
}
