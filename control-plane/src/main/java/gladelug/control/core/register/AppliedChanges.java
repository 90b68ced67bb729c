package gladelug.control.core.register;

import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HexFormat;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The changes of one key that were taken last, so that one whose answer was lost and that is sent
 * again is recognised. The list is a part of the key's value: it is written with it to a majority
 * of disks and goes wherever the value goes, through takeover, restart, snapshot and change of
 * members. A change is the same only if its digest and the base its sender named are both the same;
 * the same text sent on another base is a new change.
 *
 * <p>An immutable list, oldest first. forgottenBase is the highest base among the entries that had
 * to make room, NO_BASE while there was none. Bases are counted by the senders of one key and never
 * fall from one taken change to the next, so a change on a base above forgottenBase that isn't
 * listed was never taken.
 */
public record AppliedChanges(PVector<AppliedChange> entries, long highestDroppedBase) {
  /** The sender names no base: the change is not remembered and never recognised. */
  public static final long NO_BASE = -1;

  /**
   * How many are remembered. A day holds hundreds of changes and eight senders at once, so a change
   * is forgotten only after more than a usual day's changes followed it; one of those is answered
   * as unknown, never as refused. Each takes 48 bytes beside the value: 24 KiB in all.
   */
  public static final int MAX_ENTRIES = 512;

  public static final AppliedChanges NONE = new AppliedChanges(TreePVector.empty(), NO_BASE);

  private static final int DIGEST_BYTES = 32;

  /** One taken change: the number it got, the SHA-256 of its body, and the base it was sent on. */
  public record AppliedChange(long number, String digest, long base) {}

  /** The list after one more change was taken; a change without a base is not listed. */
  public AppliedChanges plus(long number, String digest, long base) {
    if (base == NO_BASE) return this;
    PVector<AppliedChange> longer = entries.plus(new AppliedChange(number, digest, base));
    if (longer.size() <= MAX_ENTRIES) return new AppliedChanges(longer, highestDroppedBase);
    long oldestBase = longer.get(0).base();
    return new AppliedChanges(longer.minus(0), Math.max(highestDroppedBase, oldestBase));
  }

  /** The number under which this change was taken; 0 where it isn't listed. */
  public long numberOf(String digest, long base) {
    if (base == NO_BASE) return 0;
    for (int i = entries.size() - 1; i >= 0; i--) {
      AppliedChange taken = entries.get(i);
      if (taken.base() == base && taken.digest().equals(digest)) return taken.number();
    }
    return 0;
  }

  /** Whether the change that got this number is listed, and last. */
  public boolean endsWith(long number) {
    return !entries.isEmpty() && entries.get(entries.size() - 1).number() == number;
  }

  /** What is known of a change with this digest, sent on this base. */
  public ChangeStatus statusOf(String digest, long base) {
    if (numberOf(digest, base) > 0) return ChangeStatus.APPLIED;
    boolean tooOld = base != NO_BASE && base <= highestDroppedBase;
    return tooOld ? ChangeStatus.EXPIRED : ChangeStatus.NOT_APPLIED;
  }

  /** Writes it as messages and entries on disk hold it. */
  public void write(DataOutputStream out) throws IOException {
    out.writeLong(highestDroppedBase);
    WireRecord.writeList(
        out,
        entries,
        (o, taken) -> {
          o.writeLong(taken.number());
          o.write(HexFormat.of().parseHex(taken.digest()));
          o.writeLong(taken.base());
        });
  }

  /** Reads what write wrote; an IOException where that is no such thing. */
  public static AppliedChanges read(DataInputStream in) throws IOException {
    long forgottenBase = in.readLong();
    return new AppliedChanges(
        TreePVector.from(WireRecord.readList(in, AppliedChanges::readEntry)), forgottenBase);
  }

  private static AppliedChange readEntry(DataInputStream in) throws IOException {
    long number = in.readLong();
    byte[] digest = new byte[DIGEST_BYTES];
    in.readFully(digest);
    return new AppliedChange(number, HexFormat.of().formatHex(digest), in.readLong());
  }
}
