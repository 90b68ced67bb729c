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
 * A ring of preallocated files that stores the newest state of each key. Each write is one frame
 * with length, checksum and sequence number, padded to 512 bytes, and is synced before the next
 * starts; so only the last frame can be torn, and {@link #open} drops it. An invalid frame that is
 * followed by a valid one is damage: {@code open} then fails, and the member must not continue.
 * Each file begins with a snapshot of all live entries, so a file that is reused contains no live
 * entry that isn't also in a newer file.
 */
public final class RecordRing {
  /** A key and its encoded state. */
  public record Entry(String key, byte[] state) {}

  /** Thrown when the files contain damage that is not a torn last frame. */
  public static final class DamagedRingException extends IOException {
    DamagedRingException(String what) {
      super(what);
    }
  }

  /**
   * Thrown when the disk rejects a write, for example because it is full. Nothing was synced, so
   * the write may be retried.
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

  private RecordRing(Storage storage) {
    this.storage = storage;
  }

  public Map<String, byte[]> live() {
    return Map.copyOf(live);
  }

  /** Returns the size of one file in bytes, which also bounds the live state. */
  public int fileBytes() {
    return storage.fileBytes();
  }

  /** Returns whether nothing was ever written. */
  public boolean isUnwritten() {
    return sequence == 0;
  }

  private record Frame(long sequence, byte type, List<Entry> entries, int endOffset) {}

  /** Creates a ring over files that are known to contain no frames, without reading them. */
  public static RecordRing createBlank(Storage storage) {
    RecordRing ring = new RecordRing(storage);
    ring.currentFile = storage.fileCount() - 1;
    ring.writeOffset = storage.fileBytes();
    return ring;
  }

  /** Reads all files and restores the ring that they contain. */
  public static RecordRing open(Storage storage) throws IOException {
    int newestFile = -1;
    long newestSequence = 0;
    byte[][] contents = new byte[storage.fileCount()][];
    for (int i = 0; i < storage.fileCount(); i++) {
      contents[i] = storage.read(i);
      Frame frame = parseFrame(contents[i], 0);
      if (frame != null && frame.type == SNAPSHOT && frame.sequence > newestSequence) {
        newestSequence = frame.sequence;
        newestFile = i;
      }
    }
    if (newestFile < 0) {
      for (int i = 0; i < storage.fileCount(); i++)
        if (hasLaterFrame(contents[i], 0, 0))
          throw new DamagedRingException(
              "no file begins with a valid snapshot, but valid frames follow");
      return createBlank(storage);
    }
    RecordRing ring = new RecordRing(storage);
    ring.currentFile = newestFile;
    byte[] bytes = contents[newestFile];
    Frame frame;
    while (ring.writeOffset < bytes.length
        && (frame = parseFrame(bytes, ring.writeOffset)) != null
        && frame.sequence > ring.sequence
        && (ring.sequence == 0 || frame.sequence == ring.sequence + 1)) {
      if (frame.type != SNAPSHOT && frame.type != UPDATE)
        throw new DamagedRingException(
            "frame "
                + frame.sequence
                + " in file "
                + newestFile
                + " has the unknown kind "
                + frame.type);
      for (Entry entry : frame.entries)
        if (!entry.key.isEmpty()) ring.live.put(entry.key, entry.state);
      ring.sequence = frame.sequence;
      ring.writeOffset = frame.endOffset;
    }
    if (hasLaterFrame(bytes, ring.writeOffset, ring.sequence))
      throw new DamagedRingException(
          "invalid frame "
              + (ring.sequence + 1)
              + " is followed by later frames in file "
              + newestFile);
    int nextFile = (newestFile + 1) % storage.fileCount();
    if (hasLaterFrame(contents[nextFile], 0, ring.sequence))
      throw new DamagedRingException(
          "invalid snapshot in file " + nextFile + " is followed by later frames");
    return ring;
  }

  private static boolean hasLaterFrame(byte[] bytes, int from, long sequence) {
    for (int i = from; i < bytes.length; i += ALIGNMENT_BYTES) {
      Frame frame = parseFrame(bytes, i);
      if (frame != null && frame.sequence > sequence) return true;
    }
    return false;
  }

  private static Frame parseFrame(byte[] bytes, int offset) {
    if (offset + HEADER_BYTES > bytes.length) return null;
    ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
    if (buffer.getInt() != MAGIC) return null;
    int expectedChecksum = buffer.getInt(), length = buffer.getInt();
    if (length < 0 || length > bytes.length - offset - HEADER_BYTES) return null;
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, offset + 8, HEADER_BYTES - 8 + length);
    if ((int) checksum.getValue() != expectedChecksum) return null;
    long sequence = buffer.getLong();
    byte type = buffer.get();
    try {
      DataInputStream in =
          new DataInputStream(new ByteArrayInputStream(bytes, offset + HEADER_BYTES, length));
      int entryCount = in.readInt();
      List<Entry> entries = new ArrayList<>();
      for (int i = 0; i < entryCount; i++)
        entries.add(new Entry(in.readUTF(), in.readNBytes(in.readInt())));
      return new Frame(sequence, type, entries, offset + paddedLength(HEADER_BYTES + length));
    } catch (IOException | IllegalArgumentException e) {
      return null;
    }
  }

  private static int paddedLength(int length) {
    return (length + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
  }

  private byte[] encodeFrame(byte type, List<Entry> entries) throws IOException {
    ByteArrayOutputStream payloadStream = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(payloadStream);
    out.writeInt(entries.size());
    for (Entry entry : entries) {
      out.writeUTF(entry.key);
      out.writeInt(entry.state.length);
      out.write(entry.state);
    }
    byte[] payload = payloadStream.toByteArray(),
        frame = new byte[paddedLength(HEADER_BYTES + payload.length)];
    ByteBuffer buffer =
        ByteBuffer.wrap(frame)
            .putInt(MAGIC)
            .putInt(0)
            .putInt(payload.length)
            .putLong(sequence + 1)
            .put(type)
            .put(payload);
    CRC32C checksum = new CRC32C();
    checksum.update(frame, 8, HEADER_BYTES - 8 + payload.length);
    buffer.putInt(4, (int) checksum.getValue());
    return frame;
  }

  /**
   * Writes and syncs the entries; when this method returns they are durable. After a {@link
   * WriteRefusedException} the same entries, or more, may be written again. After any other
   * IOException the ring must not be used any more, because after a failed sync it is unknown what
   * is durable.
   */
  public void write(List<Entry> entries) throws IOException {
    for (Entry entry : entries) if (!entry.key.isEmpty()) live.put(entry.key, entry.state);
    byte[] frame = encodeFrame(UPDATE, entries);
    int targetFile = currentFile, offset = writeOffset;
    if (offset + frame.length > storage.fileBytes()) {
      List<Entry> snapshot = new ArrayList<>();
      live.forEach((key, state) -> snapshot.add(new Entry(key, state)));
      frame = encodeFrame(SNAPSHOT, snapshot);
      if (frame.length > storage.fileBytes())
        throw new IOException(
            "the live state of " + frame.length + " bytes is larger than a ring file");
      targetFile = (currentFile + 1) % storage.fileCount();
      offset = 0;
    }
    try {
      storage.write(targetFile, offset, frame);
    } catch (IOException entry) {
      throw new WriteRefusedException(entry);
    }
    storage.sync(targetFile);
    currentFile = targetFile;
    writeOffset = offset + frame.length;
    sequence++;
  }
}
