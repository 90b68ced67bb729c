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
 * A key's value with its number. Number 0 is "never written".
 *
 * @param body what was sent, which is what is pushed
 * @param sharing of a configuration, which cached prefixes its tenants share; of any other key, and
 *     of a value that an earlier release wrote, {@link PrefixSharing#UNRECORDED}
 */
public record VersionedValue(
    long number,
    String digest,
    PVector<HistoryEntry> history,
    byte[] body,
    AppliedChanges appliedChanges,
    PrefixSharing sharing) {
  public static final VersionedValue NONE =
      new VersionedValue(
          0, "", TreePVector.empty(), new byte[0], AppliedChanges.NONE, PrefixSharing.UNRECORDED);

  /** How many numbers are kept for people to look at. */
  private static final int MAX_HISTORY_ENTRIES = 32;

  /** The value that follows this one, of a change that is not remembered and has no remarks. */
  public VersionedValue next(String nextDigest, byte[] nextBody) {
    return next(nextDigest, nextBody, AppliedChanges.NO_BASE, 0, "", "");
  }

  /**
   * A change as its sender knows it. digest: of what was sent, in hex. base: what it builds on, as
   * the sender counts; see {@link AppliedChanges}.
   */
  public record ChangeId(String digest, long base) {}

  /** The value that follows this one; base as its sender counts, who sent the value itself. */
  public VersionedValue next(
      String nextDigest, byte[] nextBody, long base, long takenAt, String takenBy, String summary) {
    return next(nextDigest, nextBody, new ChangeId(nextDigest, base), takenAt, takenBy, summary);
  }

  /** The value that follows this one; sent is by what the change is recognised later. */
  public VersionedValue next(
      String nextDigest,
      byte[] nextBody,
      ChangeId sent,
      long takenAt,
      String takenBy,
      String summary) {
    HistoryEntry entry = new HistoryEntry(number + 1, nextDigest, takenAt, takenBy, summary);
    PVector<HistoryEntry> longer = history.plus(entry);
    return new VersionedValue(
        number + 1,
        nextDigest,
        longer.size() > MAX_HISTORY_ENTRIES ? longer.minus(0) : longer,
        nextBody,
        appliedChanges.plus(number + 1, sent.digest(), sent.base()),
        PrefixSharing.UNRECORDED);
  }

  /** The same with a record of the prefixes that its tenants share. */
  public VersionedValue withSharing(PrefixSharing prefixSharing) {
    return new VersionedValue(number, digest, history, body, appliedChanges, prefixSharing);
  }

  /** What is known of a change with this digest, sent on this base. */
  public ChangeStatus statusOf(String otherDigest, long base) {
    return appliedNumber(otherDigest, base) > 0
        ? ChangeStatus.APPLIED
        : appliedChanges.statusOf(otherDigest, base);
  }

  /**
   * The number under which such a change was taken, 0 for none. A newest value that isn't listed
   * was taken without a base, or before bases were kept: it is recognised by its digest alone.
   */
  public long appliedNumber(String otherDigest, long base) {
    boolean newestIsListed = appliedChanges.endsWith(number);
    if (number > 0 && !newestIsListed && digest.equals(otherDigest)) return number;
    return appliedChanges.numberOf(otherDigest, base);
  }

  /** What became of a number, for the sender of a change with this digest. */
  public NumberStatus statusOfNumber(long asked, String otherDigest) {
    if (asked > number) return NumberStatus.NOT_ASSIGNED;
    String known = digestOf(asked);
    if (known.isEmpty()) return NumberStatus.EXPIRED;
    return known.equals(otherDigest) ? NumberStatus.APPLIED : NumberStatus.OTHER_CHANGE;
  }

  private String digestOf(long asked) {
    for (HistoryEntry entry : history) if (entry.number() == asked) return entry.digest();
    for (AppliedChanges.AppliedChange taken : appliedChanges.entries())
      if (taken.number() == asked) return taken.digest();
    return "";
  }

  /** Writes the newest format, in which the applied changes and what is shared end the value. */
  public void write(DataOutputStream out) throws IOException {
    out.writeLong(number);
    out.writeUTF(digest);
    WireRecord.writeList(
        out,
        history,
        (o, entry) -> {
          o.writeLong(entry.number());
          o.writeUTF(entry.digest());
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
   * Reads this format and the three before it, which end after the body, the remarks or the applied
   * changes.
   */
  public static VersionedValue read(DataInputStream in) throws IOException {
    long number = in.readLong();
    String digest = in.readUTF();
    List<HistoryEntry> entries = WireRecord.readList(in, HistoryEntry::readNumberAndDigest);
    byte[] body = WireRecord.readBlob(in);
    boolean hasRemarks = in.available() > 0;
    PVector<HistoryEntry> history = TreePVector.empty();
    for (HistoryEntry entry : entries)
      history = history.plus(hasRemarks ? entry.readMetadata(in) : entry);
    boolean hasTakenChanges = in.available() > 0;
    AppliedChanges taken = hasTakenChanges ? AppliedChanges.read(in) : AppliedChanges.NONE;
    PrefixSharing sharing = in.available() > 0 ? PrefixSharing.read(in) : PrefixSharing.UNRECORDED;
    return new VersionedValue(number, digest, history, body, taken, sharing);
  }

  @Override
  public String toString() {
    return number + ":" + (digest.length() > 8 ? digest.substring(0, 8) : digest);
  }
}
