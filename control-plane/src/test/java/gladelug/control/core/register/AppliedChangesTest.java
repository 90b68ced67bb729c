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

  private static AppliedChanges applied(int count) {
    AppliedChanges taken = AppliedChanges.NONE;
    for (int i = 0; i < count; i++) taken = taken.plus(i + 1, digest(i), 10L * i);
    return taken;
  }

  @Test
  void aChangeIsTheSameByDigestAndBaseTogether() {
    AppliedChanges taken = applied(3);
    Assertions.assertEquals(ChangeStatus.APPLIED, taken.statusOf(digest(1), 10));
    Assertions.assertEquals(2, taken.numberOf(digest(1), 10));
    Assertions.assertEquals(
        ChangeStatus.NOT_APPLIED, taken.statusOf(digest(1), 20), "on another base");
    Assertions.assertEquals(
        ChangeStatus.NOT_APPLIED, taken.statusOf(digest(7), 10), "another change");
    Assertions.assertEquals(
        ChangeStatus.NOT_APPLIED,
        taken.statusOf(digest(1), AppliedChanges.NO_BASE),
        "without a base");
  }

  @Test
  void whatHadToMakeRoomIsForgottenAndNeverCalledNotTaken() {
    AppliedChanges taken = applied(AppliedChanges.MAX_ENTRIES + 2);
    Assertions.assertEquals(AppliedChanges.MAX_ENTRIES, taken.entries().size());
    Assertions.assertEquals(ChangeStatus.EXPIRED, taken.statusOf(digest(0), 0));
    Assertions.assertEquals(ChangeStatus.EXPIRED, taken.statusOf(digest(1), 10));
    Assertions.assertEquals(ChangeStatus.APPLIED, taken.statusOf(digest(2), 20));
    Assertions.assertEquals(
        ChangeStatus.EXPIRED, taken.statusOf(digest(99), 10), "one on that base can't be told");
    Assertions.assertEquals(ChangeStatus.NOT_APPLIED, taken.statusOf(digest(99), 20));
  }

  @Test
  void changesWithoutABaseAreNotListed() {
    Assertions.assertEquals(
        AppliedChanges.NONE, AppliedChanges.NONE.plus(1, digest(1), AppliedChanges.NO_BASE));
  }

  @Test
  void itIsReadAsItWasWrittenAndInTheStatedSize() throws IOException {
    AppliedChanges taken = applied(AppliedChanges.MAX_ENTRIES + 1);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    taken.write(new DataOutputStream(bytes));
    Assertions.assertTrue(bytes.size() <= 48 * AppliedChanges.MAX_ENTRIES + 16, "" + bytes.size());
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
      Register read = Register.of(merged.toBytes());
      Assertions.assertEquals(9, read.promisedEpoch());
      Assertions.assertEquals(1, read.value().appliedNumber(digest(1), 0));
      Assertions.assertEquals(2, read.value().appliedNumber(digest(2), 1));
    }
  }

  /** A cell as the two releases before wrote it: without remarks, or with them and no more. */
  private static byte[] registerOfAnEarlierRelease(boolean remarks) throws IOException {
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
      VersionedValue value = Register.of(registerOfAnEarlierRelease(remarks)).value();
      Assertions.assertEquals(1, value.number());
      Assertions.assertEquals(remarks ? 77 : 0, value.history().get(0).appliedAtMs());
      Assertions.assertEquals(ChangeStatus.APPLIED, value.statusOf(digest(1), 12345));
      VersionedValue next = value.next(digest(2), new byte[1], 1, 0, "a", "");
      Assertions.assertEquals(ChangeStatus.NOT_APPLIED, next.statusOf(digest(1), 12345));
      Assertions.assertEquals(ChangeStatus.APPLIED, next.statusOf(digest(2), 1));
    }
  }
}
