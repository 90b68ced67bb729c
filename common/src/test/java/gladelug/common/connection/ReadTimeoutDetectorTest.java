package gladelug.common.connection;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of ReadTimeoutDetector with a simulated clock. */
final class ReadTimeoutDetectorTest {
  private static final int SMALL_RECORD_BYTES = 100;
  private static final Liveness LIVENESS = new Liveness(100, 400, 250, 50);

  private long nowMs = 1_000_000;
  private final ReadTimeoutDetector detector = new ReadTimeoutDetector(LIVENESS, () -> nowMs);

  private void advanceMs(long later) {
    nowMs += later;
  }

  private void establishAnsweredConnection() {
    detector.onConnected();
    Assertions.assertTrue(
        detector.onSending(SMALL_RECORD_BYTES), "the first record asks for an answer");
    advanceMs(10);
    detector.onReceived();
  }

  @Test
  void aRecordRequestsAnAnswerOnlyIfNothingWasReceivedRecently() {
    establishAnsweredConnection();
    advanceMs(99);
    Assertions.assertFalse(detector.onSending(SMALL_RECORD_BYTES));
    advanceMs(1);
    Assertions.assertTrue(detector.onSending(SMALL_RECORD_BYTES));
    advanceMs(200);
    Assertions.assertFalse(detector.onSending(SMALL_RECORD_BYTES), "only one probe at a time");
  }

  @Test
  void aConnectionOnWhichNothingIsSentIsNeverSilent() {
    establishAnsweredConnection();
    advanceMs(3_600_000);
    Assertions.assertFalse(detector.isSilent());
  }

  @Test
  void anOverdueAnswerMeansSilenceAndAnyBytesAreAnAnswer() {
    establishAnsweredConnection();
    advanceMs(100);
    detector.onSending(SMALL_RECORD_BYTES);
    advanceMs(399);
    Assertions.assertFalse(detector.isSilent());
    advanceMs(1);
    Assertions.assertTrue(detector.isSilent());
    detector.onReceived();
    Assertions.assertFalse(detector.isSilent());
  }

  @Test
  void aProbeBehindALargeRecordIsGivenTheTimeToTransmitIt() {
    establishAnsweredConnection();
    advanceMs(10);
    detector.onSending(2_000_000);
    advanceMs(90);
    Assertions.assertTrue(detector.onSending(SMALL_RECORD_BYTES));
    advanceMs(2_300);
    Assertions.assertFalse(detector.isSilent());
    advanceMs(100);
    Assertions.assertTrue(detector.isSilent());
  }

  @Test
  void aSlowPeerIsGivenTwiceItsAnswerTimeWithinABound() {
    establishAnsweredConnection();
    advanceMs(100);
    detector.onSending(SMALL_RECORD_BYTES);
    advanceMs(390);
    detector.onReceived();
    advanceMs(100);
    detector.onSending(SMALL_RECORD_BYTES);
    advanceMs(779);
    Assertions.assertFalse(detector.isSilent());
    advanceMs(1);
    Assertions.assertTrue(detector.isSilent());
    advanceMs(60_000);
    detector.onReceived();
    advanceMs(100);
    detector.onSending(SMALL_RECORD_BYTES);
    advanceMs(Liveness.MAX_TIMEOUT_FACTOR * LIVENESS.answerTimeoutMs());
    Assertions.assertTrue(detector.isSilent());
  }

  @Test
  void theTimeoutDoublesWithEachUnansweredConnectionWithinABound() {
    long[] patience = {400, 800, 1600, 1600};
    for (long p : patience) {
      detector.onConnected();
      detector.onSending(SMALL_RECORD_BYTES);
      advanceMs(p - 1);
      Assertions.assertFalse(detector.isSilent());
      advanceMs(1);
      Assertions.assertTrue(detector.isSilent());
    }
    detector.onConnected();
    detector.onSending(SMALL_RECORD_BYTES);
    advanceMs(10);
    detector.onReceived();
    advanceMs(100);
    detector.onSending(SMALL_RECORD_BYTES);
    advanceMs(400);
    Assertions.assertTrue(detector.isSilent(), "an answer resets the time-out");
  }

  @Test
  void betweenMembersADeadConnectionIsReplacedBeforeTheMemberIsConsideredDead() {
    int[][] aliveAndDead = {{100, 500}, {200, 900}};
    for (int[] x : aliveAndDead) {
      int alive = x[0];
      int dead = x[1];
      Liveness l = Liveness.forMembers(alive, dead);
      long check = alive / 4;
      long closed = alive + l.answerTimeoutMs() + check + Liveness.GRACE_MS;
      Assertions.assertTrue(l.probeAfterMs() < alive, "each heartbeat requests an answer");
      Assertions.assertTrue(closed < dead, closed + " of " + dead);
      Assertions.assertTrue(l.connectTimeoutMs() + l.reconnectDelayMs() < dead);
    }
  }
}
