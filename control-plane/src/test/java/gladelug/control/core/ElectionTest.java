package gladelug.control.core;

import gladelug.control.core.message.CoreMessage.PrepareResponse;
import gladelug.control.core.register.VersionedValue;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests how the responses to one candidate are counted, and which value it takes over. */
final class ElectionTest {
  private static final VersionedValue ONE = VersionedValue.NONE.next("one", new byte[] {1});
  private static final VersionedValue TWO = ONE.next("two", new byte[] {2});

  private final Election election = new Election();

  private static PrepareResponse promise(long acceptedEpoch, VersionedValue value) {
    return new PrepareResponse("key", 9, true, 9, acceptedEpoch, value);
  }

  @Test
  void theValueOfTheHighestEpochIsTheNewestWhateverItsNumber() {
    election.onPromise("c1", promise(3, TWO));
    election.onPromise("c2", promise(4, ONE));
    election.onPromise("c3", promise(3, TWO));

    Assertions.assertSame(ONE, election.newestValue());
  }

  @Test
  void underOneEpochTheHighestNumberIsTheNewest() {
    election.onPromise("c1", promise(3, ONE));
    election.onPromise("c2", promise(3, TWO));
    election.onPromise("c3", promise(3, ONE));

    Assertions.assertSame(TWO, election.newestValue());
  }

  @Test
  void aMemberCountsOnceHoweverOftenItAnswers() {
    Assertions.assertTrue(election.onPromise("c1", promise(3, ONE)));
    Assertions.assertFalse(election.onPromise("c1", promise(3, ONE)));
    election.onDeclined("c2");
    election.onDeclined("c2");
    election.onAccepted("c3");
    election.onAccepted("c3");

    Assertions.assertEquals(1, election.promiseCount());
    Assertions.assertEquals(1, election.declinedCount());
    Assertions.assertEquals(1, election.acceptedCount());
  }
}
