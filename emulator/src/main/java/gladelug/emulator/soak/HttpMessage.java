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
 * An HTTP/1.1 message that is read from or written to a plain socket. The stand-ins use it in place
 * of an HTTP library since they also send malformed messages, which no library would do.
 *
 * @param startLine the request line or status line
 * @param headers by name in lower case
 * @param body the first bytes of the body, up to the reader's limit
 * @param digest the first 8 bytes of the SHA-256 hash of the whole body, in hex
 * @param complete whether the body has the length that the header announced
 */
record HttpMessage(
    String startLine, Map<String, String> headers, byte[] body, String digest, boolean complete) {
  /** Default limit of the bytes of a body that are kept. */
  static final int MAX_KEPT_BODY_BYTES = 8 << 20;

  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final int DIGEST_BYTES = 8;

  /** Receives the bytes of a body as they arrive; an IOException ends the reading. */
  interface BodyReader {
    BodyReader NONE = (bytes, length) -> {};

    void read(byte[] bytes, int length) throws IOException;
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Returns the status code of an answer, or 0 if the start line has none. */
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

  /** Reads the next message; returns null if the connection ended before its first byte. */
  static HttpMessage read(InputStream in) throws IOException {
    return read(in, BodyReader.NONE, MAX_KEPT_BODY_BYTES);
  }

  /**
   * Reads the next message as {@link #read(InputStream)} does, passes the bytes of the body to the
   * reader as they arrive and keeps at most maxKeptBytes of them.
   */
  static HttpMessage read(InputStream in, BodyReader reader, int maxKeptBytes) throws IOException {
    String line = readLine(in);
    if (line == null) return null;
    Map<String, String> headers = readHeaders(in);
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
      readBody(in, line, headers, keepAndForward);
    } catch (IOException | NumberFormatException e) {
      whole = false;
    }
    return new HttpMessage(line, headers, body.toByteArray(), truncatedHex(digest), whole);
  }

  private static String truncatedHex(MessageDigest digest) {
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }

  /** Returns the digest of a message whose body consists of two parts. */
  static String digest(byte[] first, byte[] second) {
    MessageDigest digest = Digest.sha256();
    digest.update(first);
    digest.update(second);
    return truncatedHex(digest);
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) throw new EOFException("connection closed within the headers");
      if (line.isEmpty()) return headers;
      int colon = line.indexOf(':');
      if (colon < 0) throw new IOException("malformed header line: " + line);
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
  }

  private static void readBody(
      InputStream in, String line, Map<String, String> headers, BodyReader reader)
      throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) readChunks(in, reader);
    else if (headers.containsKey("content-length"))
      copy(in, Long.parseLong(headers.get("content-length")), reader);
    else if (line.startsWith("HTTP/")) copy(in, Long.MAX_VALUE, reader);
  }

  private static void readChunks(InputStream in, BodyReader reader) throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null) throw new EOFException("connection closed within a chunked body");
      int length = Integer.parseInt(size.trim(), 16);
      copy(in, length, reader);
      if (readLine(in) == null) throw new EOFException("connection closed within a chunked body");
      if (length == 0) return;
    }
  }

  private static void copy(InputStream in, long length, BodyReader reader) throws IOException {
    byte[] buffer = new byte[1 << 14];
    for (long remaining = length; remaining > 0; ) {
      int read = in.read(buffer, 0, (int) Math.min(remaining, buffer.length));
      if (read < 0) {
        if (length == Long.MAX_VALUE) return;
        throw new EOFException("connection closed within a body");
      }
      reader.read(buffer, read);
      remaining -= read;
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) return null;
        throw new EOFException("connection closed within a line");
      }
      if (line.size() > MAX_LINE_BYTES) throw new IOException("line too long");
      if (next != '\r') line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Writes header lines, each terminated, and a body, in one write if the body is short. */
  static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] first = (head + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    if (body.length > MAX_LINE_BYTES) {
      out.write(first);
      out.write(body);
    } else {
      byte[] message = new byte[first.length + body.length];
      System.arraycopy(first, 0, message, 0, first.length);
      System.arraycopy(body, 0, message, first.length, body.length);
      out.write(message);
    }
    out.flush();
  }
}
