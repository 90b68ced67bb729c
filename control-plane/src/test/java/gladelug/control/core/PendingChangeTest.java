package gladelug.control.core;

import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.register.VersionedValue;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests what becomes of one change on its way to its answer. */
final class PendingChangeTest {
  private final List<ChangeResult> answers = new ArrayList<>();
  private final PendingChange change =
      new PendingChange(ChangeRequest.withoutBase("key", 0, new byte[] {1}), 100, answers::add);

  @Test
  void onlyTheFirstAnswerReachesItsSender() {
    change.answer(new ChangeResult.Unknown(1));
    change.answer(new ChangeResult.Acknowledged(1, false, 0, 0, 10));

    Assertions.assertEquals(List.of(new ChangeResult.Unknown(1)), answers);
  }

  @Test
  void aMemberThatAcceptsTwiceCountsOnce() {
    change.onAcceptedBy("c1");
    change.onAcceptedBy("c1");
    change.onAcceptedBy("c2");

    Assertions.assertEquals(2, change.acceptedCount());
    Assertions.assertFalse(change.isAcceptedBy("c3"));
  }

  @Test
  void whatIsWrittenIsNoDuplicateAndHasTheValuesNumber() {
    change.write(VersionedValue.NONE.next(change.digest(), new byte[] {1}), 120);

    Assertions.assertFalse(change.isDuplicate());
    Assertions.assertEquals(1, change.number());
    Assertions.assertFalse(change.isCommitted());
    Assertions.assertEquals(5, change.sinceSentMs(125));
  }

  @Test
  void aDuplicateIsCommittedAtOnceUnderItsFormerNumber() {
    change.markDuplicateOf(7, 130);

    Assertions.assertTrue(change.isDuplicate());
    Assertions.assertTrue(change.isCommitted());
    Assertions.assertEquals(7, change.number());
    Assertions.assertEquals(130, change.committedAtMs());
  }
}
