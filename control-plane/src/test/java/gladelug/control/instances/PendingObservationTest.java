package gladelug.control.instances;

import gladelug.control.core.message.ChangeResult;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of PendingObservation. */
final class PendingObservationTest {
  private static String proposed(PendingObservation pending, long now) {
    return pending
        .findProposal(now)
        .map(offer -> offer.baseNumber() + ":" + offer.value()[0])
        .orElse("");
  }

  @Test
  void whatWasLearnedIsOfferedUntilItIsTakenOvertakenOrOld() {
    PendingObservation pending = new PendingObservation();
    Assertions.assertEquals("", proposed(pending, 0));
    pending.observe(7, new byte[] {1}, 0);
    pending.onChangeResult(new ChangeResult.NoOwner());
    Assertions.assertEquals("7:1", proposed(pending, 250));
    pending.onChangeResult(new ChangeResult.Unknown(8));
    Assertions.assertEquals("7:1", proposed(pending, 500));
    pending.onChangeResult(new ChangeResult.Conflict(9));
    Assertions.assertEquals("", proposed(pending, 750));
    pending.observe(9, new byte[] {2}, 1000);
    Assertions.assertEquals("", proposed(pending, 32_000));
  }
}
