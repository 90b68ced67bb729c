package gladelug.data.state;

import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Leases. */
final class LeasesTest {
  private static StateUpdate.LeaseGrant grant(String key, long epoch, long number, int left) {
    return new StateUpdate.LeaseGrant(key, epoch, number, left, 0);
  }

  @Test
  void countsFromTheAskingAndOnlyForTheNumberHeld() {
    Leases l = new Leases();
    Assertions.assertFalse(l.isValid(0));
    for (String k : StateKeys.LEASED) l.applyGrant(grant(k, 5, 3, 1000), 100, 3);
    Assertions.assertEquals(100 + 1000 - 30, l.validUntilMs());
    l.applyGrant(grant("policy", 6, 4, 5000), 200, 3);
    l.applyGrant(grant("policy", 4, 3, 5000), 200, 3);
    Assertions.assertEquals(1070, l.validUntilMs("policy"));
    l.applyGrant(grant("policy", 7, 3, 1000), 900, 3);
    Assertions.assertEquals(1870, l.validUntilMs("policy"));
    Assertions.assertFalse(l.isValid(1070));
  }
}
