package gladelug.emulator.sim;

import gladelug.control.core.QuorumConfig;

/** The core's timing parameters as the platform sets them. */
final class CoreTimes {
  /** Interval at which a relay renews its subscription, in ms. */
  static final int SUBSCRIPTION_INTERVAL_MS = 800;

  static final QuorumConfig PLATFORM =
      QuorumConfig.builder()
          .leaseMs(5000 - 625)
          .acknowledgementMode(QuorumConfig.AcknowledgementMode.CONTACT)
          .heartbeatMs(200)
          .peerTimeoutMs(900)
          .confirmIntervalMs(300)
          .subscriberContactMs(2 * SUBSCRIPTION_INTERVAL_MS + 400)
          .acknowledgementTimeoutMs(1500)
          .changeTimeoutMs(3000)
          .commandLeaseMs(1000)
          .commandHandoverGapMs(2500)
          .targetMembers(3)
          .replaceDeadAfterMs(2500)
          .build();

  private CoreTimes() {}
}
