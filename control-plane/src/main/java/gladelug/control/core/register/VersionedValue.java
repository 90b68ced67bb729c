package gladelug.control.core.register;

import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A key's value with its number, history and applied changes. Immutable.
 *
 * @param number counts the values of the key; 0 if the key was never written
 * @param digest the SHA-256 of the body, in hex
 * @param history the newest numbers, oldest first, for operators
 * @param body the value's bytes, as sent to subscribers
 * @param appliedChanges the changes applied last, by which repeated changes are recognized
 * @param sharing which cached prefixes the tenants of a configuration share; {@link
 *     PrefixSharing#UNRECORDED} for any other key and for a value written by an earlier release
 */
public record VersionedValue(
    long number,
    String digest,
    PVector<HistoryEntry> history,
    byte[] body,
    AppliedChanges appliedChanges,
    PrefixSharing sharing) {
  /** The value of a key that was never written. */
  public static final VersionedValue NONE =
      new VersionedValue(
          0, "", TreePVector.empty(), new byte[0], AppliedChanges.NONE, PrefixSharing.UNRECORDED);

  /** The number of history entries kept for operators. */
  private static final int MAX_HISTORY_ENTRIES = 32;

  /**
   * Returns the value that follows this one, for a change that is not remembered and has no
   * metadata.
   */
  public VersionedValue next(String nextDigest, byte[] nextBody) {
    return next(nextDigest, nextBody, AppliedChanges.NO_BASE, 0, "", "");
  }

  /**
   * Identifies a change by what its sender sent.
   *
   * @param digest the SHA-256 of what was sent, in hex
   * @param base the state that the change builds on, as counted by the sender; see {@link
   *     AppliedChanges}
   */
  public record ChangeId(String digest, long base) {}

  /**
   * Returns the value that follows this one, for a change whose sender sent the value itself.
   *
   * @param base the state that the change builds on, as counted by its sender
   */
  public VersionedValue next(
      String nextDigest,
      byte[] nextBody,
      long base,
      long appliedAtMs,
      String appliedBy,
      String summary) {
    return next(
        nextDigest, nextBody, new ChangeId(nextDigest, base), appliedAtMs, appliedBy, summary);
  }

  /**
   * Returns the value that follows this one.
   *
   * @param changeId by which the change is recognized if it is sent again
   */
  public VersionedValue next(
      String nextDigest,
      byte[] nextBody,
      ChangeId changeId,
      long appliedAtMs,
      String appliedBy,
      String summary) {
    HistoryEntry entry = new HistoryEntry(number + 1, nextDigest, appliedAtMs, appliedBy, summary);
    PVector<HistoryEntry> extended = history.plus(entry);
    return new VersionedValue(
        number + 1,
        nextDigest,
        extended.size() > MAX_HISTORY_ENTRIES ? extended.minus(0) : extended,
        nextBody,
        appliedChanges.plus(number + 1, changeId.digest(), changeId.base()),
        PrefixSharing.UNRECORDED);
  }

  /** Returns this value with a record of the prefixes that tenants share. */
  public VersionedValue withSharing(PrefixSharing prefixSharing) {
    return new VersionedValue(number, digest, history, body, appliedChanges, prefixSharing);
  }

  /** Returns what is known of a change with this digest, sent on this base. */
  public ChangeStatus statusOf(String otherDigest, long base) {
    return appliedNumber(otherDigest, base) > 0
        ? ChangeStatus.APPLIED
        : appliedChanges.statusOf(otherDigest, base);
  }

  /**
   * Returns the number under which a change was applied, or 0 if it was not. The newest value, if
   * not listed, was applied without a base or by a release that kept no bases; it is recognized by
   * its digest alone.
   */
  public long appliedNumber(String otherDigest, long base) {
    boolean newestIsListed = appliedChanges.endsWith(number);
    if (number > 0 && !newestIsListed && digest.equals(otherDigest)) return number;
    return appliedChanges.numberOf(otherDigest, base);
  }

  /** Returns what became of a number, for the sender of a change with this digest. */
  public NumberStatus statusOfNumber(long askedNumber, String otherDigest) {
    if (askedNumber > number) return NumberStatus.NOT_ASSIGNED;
    String known = digestOf(askedNumber);
    if (known.isEmpty()) return NumberStatus.EXPIRED;
    return known.equals(otherDigest) ? NumberStatus.APPLIED : NumberStatus.OTHER_CHANGE;
  }

  private String digestOf(long askedNumber) {
    for (HistoryEntry entry : history) if (entry.number() == askedNumber) return entry.digest();
    for (AppliedChanges.AppliedChange applied : appliedChanges.entries())
      if (applied.number() == askedNumber) return applied.digest();
    return "";
  }

  /** Writes the newest format, which ends with the applied changes and the prefix sharing. */
  public void write(DataOutputStream out) throws IOException {
    out.writeLong(number);
    out.writeUTF(digest);
    WireRecord.writeList(
        out,
        history,
        (entryOut, entry) -> {
          entryOut.writeLong(entry.number());
          entryOut.writeUTF(entry.digest());
        });
    WireRecord.writeBlob(out, body);
    for (HistoryEntry entry : history) {
      out.writeLong(entry.appliedAtMs());
      out.writeUTF(entry.appliedBy());
      out.writeUTF(entry.summary());
    }
    appliedChanges.write(out);
    sharing.write(out);
  }

  /**
   * Reads this format and the three earlier ones, which end after the body, after the history's
   * metadata or after the applied changes.
   *
   * @throws IOException if the bytes are malformed
   */
  public static VersionedValue read(DataInputStream in) throws IOException {
    long number = in.readLong();
    String digest = in.readUTF();
    List<HistoryEntry> entries = WireRecord.readList(in, HistoryEntry::readNumberAndDigest);
    byte[] body = WireRecord.readBlob(in);
    boolean hasMetadata = in.available() > 0;
    PVector<HistoryEntry> history = TreePVector.empty();
    for (HistoryEntry entry : entries)
      history = history.plus(hasMetadata ? entry.readMetadata(in) : entry);
    boolean hasAppliedChanges = in.available() > 0;
    AppliedChanges applied = hasAppliedChanges ? AppliedChanges.read(in) : AppliedChanges.NONE;
    PrefixSharing sharing = in.available() > 0 ? PrefixSharing.read(in) : PrefixSharing.UNRECORDED;
    return new VersionedValue(number, digest, history, body, applied, sharing);
  }

  @Override
  public String toString() {
    return number + ":" + (digest.length() > 8 ? digest.substring(0, 8) : digest);
  }
}
