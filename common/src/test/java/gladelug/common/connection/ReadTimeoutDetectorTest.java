package gladelug.common.connection;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of ReadTimeoutDetector, by a clock that the test sets. */
final class ReadTimeoutDetectorTest {
  private static final int SMALL = 100;
  private static final Liveness BOUNDS = new Liveness(100, 400, 250, 50);

  private long now = 1_000_000;
  private final ReadTimeoutDetector detector = new ReadTimeoutDetector(BOUNDS, () -> now);

  private void at(long later) {
    now += later;
  }

  private void provenConnection() {
    detector.onConnected();
    Assertions.assertTrue(detector.onSending(SMALL), "the first record asks for an answer");
    at(10);
    detector.onReceived();
  }

  @Test
  void aRecordAsksOnlyWhereNothingWasReceivedLately() {
    provenConnection();
    at(99);
    Assertions.assertFalse(detector.onSending(SMALL));
    at(1);
    Assertions.assertTrue(detector.onSending(SMALL));
    at(200);
    Assertions.assertFalse(detector.onSending(SMALL), "one question at a time");
  }

  @Test
  void nothingSentIsNeverSilent() {
    provenConnection();
    at(3_600_000);
    Assertions.assertFalse(detector.isSilent());
  }

  @Test
  void anAnswerThatIsOverdueMeansSilenceAndAnyBytesAreAnAnswer() {
    provenConnection();
    at(100);
    detector.onSending(SMALL);
    at(399);
    Assertions.assertFalse(detector.isSilent());
    at(1);
    Assertions.assertTrue(detector.isSilent());
    detector.onReceived();
    Assertions.assertFalse(detector.isSilent());
  }

  @Test
  void aQuestionBehindALargeRecordHasTheTimeToPassIt() {
    provenConnection();
    at(10);
    detector.onSending(2_000_000);
    at(90);
    Assertions.assertTrue(detector.onSending(SMALL));
    at(2_300);
    Assertions.assertFalse(detector.isSilent());
    at(100);
    Assertions.assertTrue(detector.isSilent());
  }

  @Test
  void aPeerThatAnswersSlowlyIsGivenTwiceItsTimeWithinABound() {
    provenConnection();
    at(100);
    detector.onSending(SMALL);
    at(390);
    detector.onReceived();
    at(100);
    detector.onSending(SMALL);
    at(779);
    Assertions.assertFalse(detector.isSilent());
    at(1);
    Assertions.assertTrue(detector.isSilent());
    at(60_000);
    detector.onReceived();
    at(100);
    detector.onSending(SMALL);
    at(Liveness.MAX_TIMEOUT_FACTOR * BOUNDS.answerTimeoutMs());
    Assertions.assertTrue(detector.isSilent());
  }

  @Test
  void connectionsThatAreNeverAnsweredAreEachGivenLongerWithinABound() {
    long[] patience = {400, 800, 1600, 1600};
    for (long p : patience) {
      detector.onConnected();
      detector.onSending(SMALL);
      at(p - 1);
      Assertions.assertFalse(detector.isSilent());
      at(1);
      Assertions.assertTrue(detector.isSilent());
    }
    detector.onConnected();
    detector.onSending(SMALL);
    at(10);
    detector.onReceived();
    at(100);
    detector.onSending(SMALL);
    at(400);
    Assertions.assertTrue(detector.isSilent(), "an answer makes up for it");
  }

  @Test
  void betweenMembersADeadConnectionIsReplacedBeforeTheMemberCountsAsDead() {
    int[][] aliveAndDead = {{100, 500}, {200, 900}};
    for (int[] x : aliveAndDead) {
      int alive = x[0];
      int dead = x[1];
      Liveness l = Liveness.forMembers(alive, dead);
      long check = alive / 4;
      long closed = alive + l.answerTimeoutMs() + check + Liveness.GRACE_MS;
      Assertions.assertTrue(l.probeAfterMs() < alive, "each sign of life asks");
      Assertions.assertTrue(closed < dead, closed + " of " + dead);
      Assertions.assertTrue(l.connectTimeoutMs() + l.reconnectDelayMs() < dead);
    }
  }
}
