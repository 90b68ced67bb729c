package gladelug.control.core;

import gladelug.control.core.message.CoreMessage.OwnershipClaim;
import gladelug.control.core.message.CoreMessage.SendTime;
import java.util.Map;

/**
 * What a member knows of a peer from its heartbeats. Times are of this member's monotonic clock in
 * ms, except {@link #lastSendTime}. Used on the core's thread only.
 */
final class PeerStatus {
  /** Since when this member has known the peer as a member. */
  final long knownSinceMs;

  /** When the peer's last heartbeat arrived. */
  long lastHeartbeatAtMs = CoreHost.NEVER;

  /** The send time in the peer's last heartbeat, by the peer's clock. */
  SendTime lastSendTime = SendTime.NONE;

  /** When the newest of this member's heartbeats that reached the peer was sent. */
  long newestDeliveredSentAtMs = CoreHost.NEVER;

  /** Since when the peer has been in contact and healthy without interruption. */
  long aliveSinceMs;

  /** Whether the peer's disk accepts writes and the peer is not draining, by its last heartbeat. */
  boolean healthy;

  /** The peer's ownership claims by key, since they are looked up for each key at each tick. */
  Map<String, OwnershipClaim> claims = Map.of();

  PeerStatus(long knownSinceMs) {
    this.knownSinceMs = knownSinceMs;
  }
}
