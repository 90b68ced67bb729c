package gladelug.control.core.register;

import java.io.DataInputStream;
import java.io.IOException;

/**
 * One number of the key, for people: takenAt by its owner's clock on the wall, takenBy that owner,
 * summary what it changed. Nothing is decided by these three.
 */
public record HistoryEntry(
    long number, String digest, long appliedAtMs, String appliedBy, String summary) {
  static HistoryEntry readNumberAndDigest(DataInputStream in) throws IOException {
    return new HistoryEntry(in.readLong(), in.readUTF(), 0, "", "");
  }

  HistoryEntry readMetadata(DataInputStream in) throws IOException {
    return new HistoryEntry(number, digest, in.readLong(), in.readUTF(), in.readUTF());
  }
}
