package gladelug.data.state;

import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Leases. */
final class LeasesTest {
  private static StateUpdate.LeaseGrant grant(
      String key, long epoch, long number, int remainingMs) {
    return new StateUpdate.LeaseGrant(key, epoch, number, remainingMs, 0);
  }

  @Test
  void aLeaseCountsFromTheRequestAndOnlyForTheNumberHeld() {
    Leases leases = new Leases();
    Assertions.assertFalse(leases.isValid(0));
    for (String key : StateKeys.LEASED) leases.applyGrant(grant(key, 5, 3, 1000), 100, 3);
    Assertions.assertEquals(100 + 1000 - 30, leases.validUntilMs());
    leases.applyGrant(grant("policy", 6, 4, 5000), 200, 3);
    leases.applyGrant(grant("policy", 4, 3, 5000), 200, 3);
    Assertions.assertEquals(1070, leases.validUntilMs("policy"));
    leases.applyGrant(grant("policy", 7, 3, 1000), 900, 3);
    Assertions.assertEquals(1870, leases.validUntilMs("policy"));
    Assertions.assertFalse(leases.isValid(1070));
  }
}
