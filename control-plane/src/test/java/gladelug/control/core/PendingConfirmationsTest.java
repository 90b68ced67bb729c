package gladelug.control.core;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests when requests that wait for a majority's confirmation are confirmed or abandoned. */
final class PendingConfirmationsTest {
  private final List<String> calls = new ArrayList<>();
  private final PendingConfirmations pending = new PendingConfirmations(2);

  private boolean add(String name, long lastRound, long now) {
    return pending.add(
        lastRound, now, () -> calls.add(name + " confirmed"), () -> calls.add(name + " abandoned"));
  }

  @Test
  void onlyARoundBegunAfterwardsConfirms() {
    add("first", 7, 0);
    add("second", 8, 0);

    pending.onRoundConfirmed(7);
    Assertions.assertEquals(List.of(), calls);

    pending.onRoundConfirmed(8);
    Assertions.assertEquals(List.of("first confirmed"), calls);

    pending.onRoundConfirmed(9);
    Assertions.assertEquals(List.of("first confirmed", "second confirmed"), calls);
    Assertions.assertTrue(pending.isEmpty());
  }

  @Test
  void aRequestBeyondTheCapacityIsRefusedAndNeverRuns() {
    add("first", 0, 0);
    add("second", 0, 0);

    boolean added = add("third", 0, 0);
    pending.abandonAll();

    Assertions.assertFalse(added);
    Assertions.assertEquals(List.of("first abandoned", "second abandoned"), calls);
  }

  @Test
  void aRequestThatWaitsForTooLongIsAbandonedOnce() {
    add("first", 0, 100);
    add("second", 0, 101);

    pending.abandonRequestedUntil(100);
    pending.onRoundConfirmed(1);

    Assertions.assertEquals(List.of("first abandoned", "second confirmed"), calls);
  }

  @Test
  void aCallbackMayAddAnotherThatWaitsForALaterRound() {
    pending.add(0, 0, () -> add("second", 1, 0), () -> {});

    pending.onRoundConfirmed(1);
    Assertions.assertFalse(pending.isEmpty());

    pending.onRoundConfirmed(2);
    Assertions.assertEquals(List.of("second confirmed"), calls);
  }
}
