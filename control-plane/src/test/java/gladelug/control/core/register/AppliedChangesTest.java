package gladelug.control.core.register;

import gladelug.common.Digest;
import gladelug.common.message.WireRecord;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of TakenChanges and of how a key's value keeps it. */
final class AppliedChangesTest {
  private static String digest(long of) {
    return Digest.hex("change " + of);
  }

  private static AppliedChanges taken(int count) {
    AppliedChanges taken = AppliedChanges.NONE;
    for (int i = 0; i < count; i++) taken = taken.plus(i + 1, digest(i), 10L * i);
    return taken;
  }

  @Test
  void aChangeIsTheSameByDigestAndBaseTogether() {
    AppliedChanges taken = taken(3);
    Assertions.assertEquals(ChangeStatus.APPLIED, taken.fate(digest(1), 10));
    Assertions.assertEquals(2, taken.numberOf(digest(1), 10));
    Assertions.assertEquals(ChangeStatus.NOT_APPLIED, taken.fate(digest(1), 20), "on another base");
    Assertions.assertEquals(ChangeStatus.NOT_APPLIED, taken.fate(digest(7), 10), "another change");
    Assertions.assertEquals(
        ChangeStatus.NOT_APPLIED, taken.fate(digest(1), AppliedChanges.NO_BASE), "without a base");
  }

  @Test
  void whatHadToMakeRoomIsForgottenAndNeverCalledNotTaken() {
    AppliedChanges taken = taken(AppliedChanges.REMEMBERED + 2);
    Assertions.assertEquals(AppliedChanges.REMEMBERED, taken.entries().size());
    Assertions.assertEquals(ChangeStatus.EXPIRED, taken.fate(digest(0), 0));
    Assertions.assertEquals(ChangeStatus.EXPIRED, taken.fate(digest(1), 10));
    Assertions.assertEquals(ChangeStatus.APPLIED, taken.fate(digest(2), 20));
    Assertions.assertEquals(
        ChangeStatus.EXPIRED, taken.fate(digest(99), 10), "one on that base can't be told");
    Assertions.assertEquals(ChangeStatus.NOT_APPLIED, taken.fate(digest(99), 20));
  }

  @Test
  void changesWithoutABaseAreNotListed() {
    Assertions.assertEquals(
        AppliedChanges.NONE, AppliedChanges.NONE.plus(1, digest(1), AppliedChanges.NO_BASE));
  }

  @Test
  void itIsReadAsItWasWrittenAndInTheStatedSize() throws IOException {
    AppliedChanges taken = taken(AppliedChanges.REMEMBERED + 1);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    taken.write(new DataOutputStream(bytes));
    Assertions.assertTrue(bytes.size() <= 48 * AppliedChanges.REMEMBERED + 16, "" + bytes.size());
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes.toByteArray()));
    Assertions.assertEquals(taken, AppliedChanges.read(in));
    byte[] cut = Arrays.copyOf(bytes.toByteArray(), bytes.size() - 1);
    Assertions.assertThrows(
        EOFException.class,
        () -> AppliedChanges.read(new DataInputStream(new ByteArrayInputStream(cut))));
  }

  @Test
  void theNewerOfTwoMembersCellsBringsItsList() {
    VersionedValue first = VersionedValue.NONE.next(digest(1), new byte[1], 0, 0, "a", "");
    VersionedValue second = first.next(digest(2), new byte[1], 1, 0, "a", "");
    Register older = new Register(9, 5, first), newer = new Register(7, 5, second);
    for (Register merged :
        new Register[] {Register.merge(older, newer), Register.merge(newer, older)}) {
      Register read = Register.of(merged.bytes());
      Assertions.assertEquals(9, read.promised());
      Assertions.assertEquals(1, read.value().takenNumber(digest(1), 0));
      Assertions.assertEquals(2, read.value().takenNumber(digest(2), 1));
    }
  }

  /** A cell as the two releases before wrote it: without remarks, or with them and no more. */
  private static byte[] cellOfAnEarlierRelease(boolean remarks) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(3);
    out.writeLong(2);
    out.writeLong(1);
    out.writeUTF(digest(1));
    out.writeInt(1);
    out.writeLong(1);
    out.writeUTF(digest(1));
    WireRecord.writeBlob(out, new byte[] {42});
    if (remarks) {
      out.writeLong(77);
      out.writeUTF("a");
      out.writeUTF("summary");
    }
    return bytes.toByteArray();
  }

  @Test
  void aCellOfAnEarlierReleaseIsReadAndItsNewestValueRecognised() throws IOException {
    for (boolean remarks : new boolean[] {false, true}) {
      VersionedValue value = Register.of(cellOfAnEarlierRelease(remarks)).value();
      Assertions.assertEquals(1, value.number());
      Assertions.assertEquals(remarks ? 77 : 0, value.history().get(0).takenAt());
      Assertions.assertEquals(ChangeStatus.APPLIED, value.fate(digest(1), 12345));
      VersionedValue next = value.next(digest(2), new byte[1], 1, 0, "a", "");
      Assertions.assertEquals(ChangeStatus.NOT_APPLIED, next.fate(digest(1), 12345));
      Assertions.assertEquals(ChangeStatus.APPLIED, next.fate(digest(2), 1));
    }
  }
}
