package gladelug.control.core.register;

import java.io.DataInputStream;
import java.io.IOException;

/**
 * One applied change in a key's history. The last three components inform operators only; no
 * decision depends on them.
 *
 * @param number the number assigned to the change
 * @param digest the SHA-256 of the value, in hex
 * @param appliedAtMs wall-clock time of the owner that applied it, in ms since the Unix epoch; 0 if
 *     not recorded
 * @param appliedBy name of that owner; empty if not recorded
 * @param summary what the change did; empty if not recorded
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
