package gladelug.control.core.register;

import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HexFormat;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The most recently applied changes of one key, by which a change that is sent again after its
 * answer was lost is recognized. The list is part of the key's value: it is written with the value
 * to a majority of disks and follows it through ownership takeover, restart, snapshot and
 * membership change. Two changes are the same only if both their digest and the base that the
 * sender named are equal; the same text sent on another base is a new change.
 *
 * <p>Immutable. Bases are counted by the senders of one key and never decrease from one applied
 * change to the next, so a change on a base above {@code highestDroppedBase} that is not listed was
 * never applied.
 *
 * @param entries the remembered changes, oldest first
 * @param highestDroppedBase the highest base among the entries dropped to make room; NO_BASE if
 *     none was dropped
 */
public record AppliedChanges(PVector<AppliedChange> entries, long highestDroppedBase) {
  /** Stands for a missing base: the change is not remembered, so a repetition is not recognized. */
  public static final long NO_BASE = -1;

  /**
   * The number of remembered changes. A day sees hundreds of changes, by up to eight senders at
   * once, so a change is forgotten only after more than a usual day's changes have followed it. A
   * forgotten change is reported as unknown, never as refused. Each entry takes 48 bytes beside the
   * value, 24 KiB in total.
   */
  public static final int MAX_ENTRIES = 512;

  /** The empty list. */
  public static final AppliedChanges NONE = new AppliedChanges(TreePVector.empty(), NO_BASE);

  private static final int DIGEST_BYTES = 32;

  /**
   * One applied change: the number assigned to it, the SHA-256 of what was sent in hex, and the
   * base it was sent on.
   */
  public record AppliedChange(long number, String digest, long base) {}

  /** Returns the list with one more applied change; a change without a base is not added. */
  public AppliedChanges plus(long number, String digest, long base) {
    if (base == NO_BASE) return this;
    PVector<AppliedChange> extended = entries.plus(new AppliedChange(number, digest, base));
    if (extended.size() <= MAX_ENTRIES) return new AppliedChanges(extended, highestDroppedBase);
    long oldestBase = extended.get(0).base();
    return new AppliedChanges(extended.minus(0), Math.max(highestDroppedBase, oldestBase));
  }

  /** Returns the number under which a change was applied, or 0 if it is not listed. */
  public long numberOf(String digest, long base) {
    if (base == NO_BASE) return 0;
    for (int i = entries.size() - 1; i >= 0; i--) {
      AppliedChange applied = entries.get(i);
      if (applied.base() == base && applied.digest().equals(digest)) return applied.number();
    }
    return 0;
  }

  /** Returns whether the newest entry has this number. */
  public boolean endsWith(long number) {
    return !entries.isEmpty() && entries.get(entries.size() - 1).number() == number;
  }

  /** Returns what is known of a change with this digest, sent on this base. */
  public ChangeStatus statusOf(String digest, long base) {
    if (numberOf(digest, base) > 0) return ChangeStatus.APPLIED;
    boolean tooOld = base != NO_BASE && base <= highestDroppedBase;
    return tooOld ? ChangeStatus.EXPIRED : ChangeStatus.NOT_APPLIED;
  }

  /** Writes the list in the format used in messages and on disk. */
  public void write(DataOutputStream out) throws IOException {
    out.writeLong(highestDroppedBase);
    WireRecord.writeList(
        out,
        entries,
        (entryOut, applied) -> {
          entryOut.writeLong(applied.number());
          entryOut.write(HexFormat.of().parseHex(applied.digest()));
          entryOut.writeLong(applied.base());
        });
  }

  /**
   * Reads what {@link #write} wrote.
   *
   * @throws IOException if the bytes are malformed
   */
  public static AppliedChanges read(DataInputStream in) throws IOException {
    long highestDroppedBase = in.readLong();
    return new AppliedChanges(
        TreePVector.from(WireRecord.readList(in, AppliedChanges::readEntry)), highestDroppedBase);
  }

  private static AppliedChange readEntry(DataInputStream in) throws IOException {
    long number = in.readLong();
    byte[] digest = new byte[DIGEST_BYTES];
    in.readFully(digest);
    return new AppliedChange(number, HexFormat.of().formatHex(digest), in.readLong());
  }
}
