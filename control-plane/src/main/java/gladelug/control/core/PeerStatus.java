package gladelug.control.core;

import gladelug.control.core.message.CoreMessage.OwnershipClaim;
import gladelug.control.core.message.CoreMessage.SendTime;
import java.util.Map;

/**
 * What one member knows of another by its heartbeats. All times are of this member's monotonic
 * clock in ms, but for {@link #lastSendTime}. Only the core's thread reads and writes it.
 */
final class PeerStatus {
  /** Since when the other is a member that this one knows. */
  final long knownSinceMs;

  /** When its last heartbeat arrived. */
  long lastHeartbeatAtMs = CoreHost.NEVER;

  /** What it sent last, by its own clock. */
  SendTime lastSendTime = SendTime.NONE;

  /** When the newest of this member's heartbeats that reached it was sent, by this clock. */
  long newestDeliveredSentAtMs = CoreHost.NEVER;

  /** Since when it has been in contact and healthy without a break. */
  long aliveSinceMs;

  /** Whether its disk accepts writes and it isn't draining, by its last heartbeat. */
  boolean healthy;

  /** What it claims to own, by key: looked up for each key at each tick. */
  Map<String, OwnershipClaim> claims = Map.of();

  PeerStatus(long knownSince) {
    this.knownSinceMs = knownSince;
  }
}
