package gladelug.emulator.soak;

import gladelug.common.Digest;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A message of HTTP/1.1 on a plain socket, as the stand-ins read and write it: bare enough to send
 * what no library would.
 *
 * @param startLine the request or status line
 * @param headers by name in lower case
 * @param body the first of its bytes, as many as its reader keeps
 * @param digest of all its bytes
 * @param complete whether the body ended as its head said
 */
record HttpMessage(
    String startLine, Map<String, String> headers, byte[] body, String digest, boolean complete) {
  /** Kept of a body where its reader doesn't say otherwise, in bytes. */
  static final int MAX_KEPT_BODY_BYTES = 8 << 20;

  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final int DIGEST_BYTES = 8;

  /** Is told of a body's bytes as they come; an IOException ends the reading. */
  interface BodyReader {
    BodyReader NONE = (bytes, length) -> {};

    void read(byte[] bytes, int length) throws IOException;
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Of an answer; 0 where its line has none. */
  int status() {
    String[] words = startLine.split(" ");
    try {
      return words.length < 2 ? 0 : Integer.parseInt(words[1]);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** The next message; null where the connection ended before its first byte. */
  static HttpMessage read(InputStream in) throws IOException {
    return read(in, BodyReader.NONE, MAX_KEPT_BODY_BYTES);
  }

  /** As above; the reader gets the body's bytes as they come, and so many are kept. */
  static HttpMessage read(InputStream in, BodyReader reader, int maxKeptBytes) throws IOException {
    String line = startLine(in);
    if (line == null) return null;
    Map<String, String> headers = headers(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    MessageDigest digest = Digest.sha256();
    BodyReader keepAndForward =
        (bytes, length) -> {
          body.write(bytes, 0, Math.min(length, Math.max(0, maxKeptBytes - body.size())));
          digest.update(bytes, 0, length);
          reader.read(bytes, length);
        };
    boolean whole = true;
    try {
      body(in, line, headers, keepAndForward);
    } catch (IOException | NumberFormatException e) {
      whole = false;
    }
    return new HttpMessage(line, headers, body.toByteArray(), hex(digest), whole);
  }

  private static String hex(MessageDigest digest) {
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }

  /** As an answer's or request's digest would be, of a body in two parts. */
  static String digest(byte[] first, byte[] rest) {
    MessageDigest digest = Digest.sha256();
    digest.update(first);
    digest.update(rest);
    return hex(digest);
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = startLine(in); ; line = startLine(in)) {
      if (line == null) throw new EOFException("in a head");
      if (line.isEmpty()) return headers;
      int colon = line.indexOf(':');
      if (colon < 0) throw new IOException("no header: " + line);
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
  }

  private static void body(
      InputStream in, String line, Map<String, String> headers, BodyReader reader)
      throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) chunks(in, reader);
    else if (headers.containsKey("content-length"))
      copy(in, Long.parseLong(headers.get("content-length")), reader);
    else if (line.startsWith("HTTP/")) copy(in, Long.MAX_VALUE, reader);
  }

  private static void chunks(InputStream in, BodyReader reader) throws IOException {
    while (true) {
      String size = startLine(in);
      if (size == null) throw new EOFException("in chunks");
      int length = Integer.parseInt(size.trim(), 16);
      copy(in, length, reader);
      if (startLine(in) == null) throw new EOFException("in chunks");
      if (length == 0) return;
    }
  }

  private static void copy(InputStream in, long length, BodyReader reader) throws IOException {
    byte[] buffer = new byte[1 << 14];
    for (long remaining = length; remaining > 0; ) {
      int read = in.read(buffer, 0, (int) Math.min(remaining, buffer.length));
      if (read < 0) {
        if (length == Long.MAX_VALUE) return;
        throw new EOFException("in a body");
      }
      reader.read(buffer, read);
      remaining -= read;
    }
  }

  private static String startLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) return null;
        throw new EOFException("in a line");
      }
      if (line.size() > MAX_LINE_BYTES) throw new IOException("a line without an end");
      if (next != '\r') line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Writes a head, whose lines end it already, and a body at once. */
  static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] first = (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    if (body.length > MAX_LINE_BYTES) {
      out.write(first);
      out.write(body);
    } else {
      byte[] all = new byte[first.length + body.length];
      System.arraycopy(first, 0, all, 0, first.length);
      System.arraycopy(body, 0, all, first.length, body.length);
      out.write(all);
    }
    out.flush();
  }
}
