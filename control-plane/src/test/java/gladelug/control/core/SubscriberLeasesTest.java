package gladelug.control.core;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig.AcknowledgementMode;
import gladelug.control.core.SubscriberLeases.Acknowledgements;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests which leases the acknowledgement of a change waits for. */
final class SubscriberLeasesTest {
  private static final int CONTACT_MS = 500;
  private static final int ACKNOWLEDGEMENT_TIMEOUT_MS = 900;

  private static final int LEASE_MS = 5000;
  private static final int FRESH_MS = 2000;

  private static SubscriberLeases leases(AcknowledgementMode mode) {
    return leases(mode, StateKeys.REPLICAS);
  }

  private static SubscriberLeases leases(AcknowledgementMode mode, String key) {
    return new SubscriberLeases(
        QuorumConfig.builder()
            .leaseMs(LEASE_MS)
            .freshMs(FRESH_MS)
            .acknowledgementMode(mode)
            .subscriberContactMs(CONTACT_MS)
            .acknowledgementTimeoutMs(ACKNOWLEDGEMENT_TIMEOUT_MS)
            .build(),
        key);
  }

  @Test
  void aLeaseOnThePreviousNumberIsAwaitedUntilItsHolderHasTheChange() {
    SubscriberLeases leases = leases(AcknowledgementMode.STRICT);
    leases.grant("r1", 4, 2000, 0);

    Acknowledgements before = leases.acknowledgements(5, 0, 100);
    leases.onRequest("r1", 5, 150);
    Acknowledgements after = leases.acknowledgements(5, 0, 200);

    Assertions.assertFalse(before.complete());
    Assertions.assertEquals(new Acknowledgements(true, 1, 0, 0), after);
  }

  @Test
  void aLeaseIsAwaitedUntilItExpiresAndCountedAsLapsedOnce() {
    SubscriberLeases leases = leases(AcknowledgementMode.STRICT);
    leases.grant("r1", 4, 2000, 0);

    Assertions.assertFalse(leases.acknowledgements(5, 0, 2000).complete());
    Assertions.assertEquals(
        new Acknowledgements(true, 0, 1, 0), leases.acknowledgements(5, 0, 2001));
    Assertions.assertEquals(
        new Acknowledgements(true, 0, 0, 0), leases.acknowledgements(5, 0, 2001));
  }

  @Test
  void anExtensionNeverShortensALease() {
    SubscriberLeases leases = leases(AcknowledgementMode.STRICT);
    leases.grant("r1", 4, 2000, 0);

    leases.grant("r1", 4, 1500, 10);

    Assertions.assertEquals(1, leases.active(2000));
    Assertions.assertEquals(0, leases.active(2001));
  }

  @Test
  void modeContactDoesNotWaitForASilentHolder() {
    SubscriberLeases leases = leases(AcknowledgementMode.CONTACT);
    leases.grant("r1", 4, 5000, 0);

    Assertions.assertFalse(leases.acknowledgements(5, 0, CONTACT_MS - 1).complete());
    Assertions.assertEquals(
        new Acknowledgements(true, 0, 0, 1), leases.acknowledgements(5, 0, CONTACT_MS));
  }

  @Test
  void modeContactDoesNotWaitForASlowHolderLongerThanItsTimeout() {
    SubscriberLeases leases = leases(AcknowledgementMode.CONTACT);
    leases.grant("r1", 4, 5000, 0);
    leases.onRequest("r1", 4, ACKNOWLEDGEMENT_TIMEOUT_MS - 1);

    Assertions.assertFalse(
        leases.acknowledgements(5, 0, ACKNOWLEDGEMENT_TIMEOUT_MS - 1).complete());
    Assertions.assertEquals(
        new Acknowledgements(true, 0, 0, 1),
        leases.acknowledgements(5, 0, ACKNOWLEDGEMENT_TIMEOUT_MS));
  }

  /** Guards against an acknowledgement while a stopped relay still shares cached prefixes. */
  @Test
  void modeContactWaitsForASilentHolderWhileItsLeaseOnTheConfigurationIsFresh() {
    SubscriberLeases leases = leases(AcknowledgementMode.CONTACT, StateKeys.CONFIGURATION);
    leases.grant("r1", 4, LEASE_MS, 0);

    Assertions.assertFalse(leases.acknowledgements(5, 0, FRESH_MS).complete());
    Assertions.assertEquals(
        new Acknowledgements(true, 0, 0, 1), leases.acknowledgements(5, 0, FRESH_MS + 1));
  }

  @Test
  void aSubscriberWithoutALeaseIsNotCounted() {
    SubscriberLeases leases = leases(AcknowledgementMode.STRICT);

    leases.onRequest("r1", 5, 0);

    Assertions.assertEquals(0, leases.active(0));
    Assertions.assertEquals(new Acknowledgements(true, 0, 0, 0), leases.acknowledgements(5, 0, 0));
  }
}
