package gladelug.common.disk;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * A ring of preallocated files that keeps the newest state of each key. A write is one frame with
 * length, checksum and sequence, padded to 512 bytes, and is synced before the next begins; so at
 * most the last frame can be torn, and that tail is cut. A bad frame with a good one behind it is
 * damage: open() then says so and the member must not go on. Each file begins with a snapshot of
 * all live values, so when the ring comes round nothing alive is in the file that is reused.
 */
public final class RecordRing {
  public record Entry(String key, byte[] state) {}

  public static final class DamagedRingException extends IOException {
    DamagedRingException(String what) {
      super(what);
    }
  }

  /**
   * The disk took no bytes, as a full one does; nothing was synced, and the same may be written
   * again.
   */
  public static final class WriteRefusedException extends IOException {
    WriteRefusedException(IOException cause) {
      super(cause.getMessage(), cause);
    }
  }

  private static final int MAGIC = 0x676c6164, HEADER_BYTES = 21, ALIGNMENT_BYTES = 512;
  private static final byte SNAPSHOT = 1, UPDATE = 2;

  private final Storage storage;
  private final Map<String, byte[]> live = new HashMap<>();
  private int currentFile;
  private int writeOffset;
  private long sequence;

  private RecordRing(Storage m) {
    storage = m;
  }

  public Map<String, byte[]> live() {
    return Map.copyOf(live);
  }

  /** How many bytes one file holds, and so the whole live state at the most. */
  public int fileBytes() {
    return storage.fileBytes();
  }

  /** Whether nothing was ever written. */
  public boolean isUnwritten() {
    return sequence == 0;
  }

  private record Frame(long sequence, byte type, List<Entry> entries, int endOffset) {}

  /** A ring over files that are known to hold nothing, which are not read. */
  public static RecordRing createBlank(Storage medium) {
    RecordRing ring = new RecordRing(medium);
    ring.currentFile = medium.fileCount() - 1;
    ring.writeOffset = medium.fileBytes();
    return ring;
  }

  /** The ring that the files hold, read whole. */
  public static RecordRing open(Storage m) throws IOException {
    int newest = -1;
    long best = 0;
    byte[][] all = new byte[m.fileCount()][];
    for (int i = 0; i < m.fileCount(); i++) {
      all[i] = m.read(i);
      Frame f = parseFrame(all[i], 0);
      if (f != null && f.type == SNAPSHOT && f.sequence > best) {
        best = f.sequence;
        newest = i;
      }
    }
    if (newest < 0) {
      for (int i = 0; i < m.fileCount(); i++)
        if (hasLaterFrame(all[i], 0, 0))
          throw new DamagedRingException("no snapshot in any file but frames behind one");
      return createBlank(m);
    }
    RecordRing r = new RecordRing(m);
    r.currentFile = newest;
    byte[] b = all[newest];
    Frame f;
    while (r.writeOffset < b.length
        && (f = parseFrame(b, r.writeOffset)) != null
        && f.sequence > r.sequence
        && (r.sequence == 0 || f.sequence == r.sequence + 1)) {
      if (f.type != SNAPSHOT && f.type != UPDATE)
        throw new DamagedRingException(
            "frame " + f.sequence + " in file " + newest + " is of the unknown kind " + f.type);
      for (Entry e : f.entries) if (!e.key.isEmpty()) r.live.put(e.key, e.state);
      r.sequence = f.sequence;
      r.writeOffset = f.endOffset;
    }
    if (hasLaterFrame(b, r.writeOffset, r.sequence))
      throw new DamagedRingException(
          "bad frame " + (r.sequence + 1) + " with later ones behind it in file " + newest);
    int next = (newest + 1) % m.fileCount();
    if (hasLaterFrame(all[next], 0, r.sequence))
      throw new DamagedRingException(
          "bad snapshot in file " + next + " with later frames behind it");
    return r;
  }

  private static boolean hasLaterFrame(byte[] b, int from, long seq) {
    for (int i = from; i < b.length; i += ALIGNMENT_BYTES) {
      Frame f = parseFrame(b, i);
      if (f != null && f.sequence > seq) return true;
    }
    return false;
  }

  private static Frame parseFrame(byte[] b, int at) {
    if (at + HEADER_BYTES > b.length) return null;
    ByteBuffer x = ByteBuffer.wrap(b, at, b.length - at);
    if (x.getInt() != MAGIC) return null;
    int crc = x.getInt(), len = x.getInt();
    if (len < 0 || len > b.length - at - HEADER_BYTES) return null;
    CRC32C c = new CRC32C();
    c.update(b, at + 8, HEADER_BYTES - 8 + len);
    if ((int) c.getValue() != crc) return null;
    long seq = x.getLong();
    byte type = x.get();
    try {
      DataInputStream in = new DataInputStream(new ByteArrayInputStream(b, at + HEADER_BYTES, len));
      int n = in.readInt();
      List<Entry> l = new ArrayList<>();
      for (int i = 0; i < n; i++) l.add(new Entry(in.readUTF(), in.readNBytes(in.readInt())));
      return new Frame(seq, type, l, at + paddedLength(HEADER_BYTES + len));
    } catch (IOException | IllegalArgumentException e) {
      return null;
    }
  }

  private static int paddedLength(int n) {
    return (n + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
  }

  private byte[] encodeFrame(byte type, List<Entry> es) throws IOException {
    ByteArrayOutputStream p = new ByteArrayOutputStream();
    DataOutputStream o = new DataOutputStream(p);
    o.writeInt(es.size());
    for (Entry e : es) {
      o.writeUTF(e.key);
      o.writeInt(e.state.length);
      o.write(e.state);
    }
    byte[] q = p.toByteArray(), b = new byte[paddedLength(HEADER_BYTES + q.length)];
    ByteBuffer x =
        ByteBuffer.wrap(b)
            .putInt(MAGIC)
            .putInt(0)
            .putInt(q.length)
            .putLong(sequence + 1)
            .put(type)
            .put(q);
    CRC32C c = new CRC32C();
    c.update(b, 8, HEADER_BYTES - 8 + q.length);
    x.putInt(4, (int) c.getValue());
    return b;
  }

  /**
   * Writes and syncs; when this returns the entries last. After a Refused the same entries, or
   * more, may be written again; after any other IOException the ring must not be used again, as a
   * failed sync says nothing of what lasts.
   */
  public void write(List<Entry> es) throws IOException {
    for (Entry e : es) if (!e.key.isEmpty()) live.put(e.key, e.state);
    byte[] b = encodeFrame(UPDATE, es);
    int to = currentFile, from = writeOffset;
    if (from + b.length > storage.fileBytes()) {
      List<Entry> all = new ArrayList<>();
      live.forEach((k, v) -> all.add(new Entry(k, v)));
      b = encodeFrame(SNAPSHOT, all);
      if (b.length > storage.fileBytes())
        throw new IOException(
            "the live state of " + b.length + " bytes is larger than a ring file");
      to = (currentFile + 1) % storage.fileCount();
      from = 0;
    }
    try {
      storage.write(to, from, b);
    } catch (IOException e) {
      throw new WriteRefusedException(e);
    }
    storage.sync(to);
    currentFile = to;
    writeOffset = from + b.length;
    sequence++;
  }
}
