package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage.Heartbeat;
import gladelug.control.core.message.CoreMessage.OwnershipClaim;
import gladelug.control.core.message.CoreMessage.SendTime;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Which members are alive and reachable, from their heartbeats. Its answers only choose who tries
 * to own a key; what is safe rests on epochs and majorities alone. Only the core's thread calls it;
 * all times are of the host's monotonic clock, in ms.
 *
 * <p>Contact with a member is a round trip: heartbeats say which of the receiver's reached the
 * sender last. A member without contact to a majority, itself included, tries for no key, claims
 * none, and answers changes and reads with NoOwner at once. That holds at the latest peer time-out
 * + heartbeat interval after the first direction failed. A key's owner that is still heard while
 * its answers are not claims its key only so long as a majority confirms it, so whoever hears a
 * claim leaves the key be even without contact, and refuses to promise it to a member that doesn't
 * hear the owner. So no partition between two members moves a key from an owner that works for a
 * majority.
 */
final class FailureDetector {
  private final String self;
  private final CoreHost host;
  private final QuorumConfig config;
  private final Supplier<MemberSet> members;
  private final long startedAtMs;
  private final long incarnation;
  private final Map<String, PeerStatus> peers = new HashMap<>();

  private boolean healthy = true;
  private long healthySinceMs = CoreHost.NEVER;
  private boolean newcomer = true;
  private long generationStartedAtMs;

  /**
   * @param members the members of the generation this member knows, asked anew each time
   * @param startedAtMs when the process started, ms
   * @param incarnation tells this run of the process from those before it
   */
  FailureDetector(
      String self,
      CoreHost host,
      QuorumConfig config,
      Supplier<MemberSet> members,
      long startedAt,
      long incarnation) {
    this.self = self;
    this.host = host;
    this.config = config;
    this.members = members;
    this.startedAtMs = startedAt;
    this.incarnation = incarnation;
    this.generationStartedAtMs = startedAt;
  }

  /**
   * A generation begins: its members are known from now on, claims of the one before don't count.
   */
  void onGenerationStarted(MemberSet before, MemberSet members) {
    // who was away for a generation knows as little as a new one
    newcomer = before.generation() + 1 != members.generation() || !members.retains(before, self);
    generationStartedAtMs = host.nowMs();
    // who was alive a moment ago still is, so that only the first live one takes a key
    peers.keySet().removeIf(name -> newcomer || !members.retains(before, name));
    for (PeerStatus peer : peers.values()) peer.claims = Map.of();
    for (MemberSet.Member member : members.all())
      peers.computeIfAbsent(member.name(), name -> new PeerStatus(generationStartedAtMs));
  }

  /**
   * Notes a heartbeat and the claims in it.
   *
   * @return whether its sender was in contact before it came
   */
  boolean onHeartbeat(String sender, Heartbeat heartbeat, long now) {
    PeerStatus peer = peers.computeIfAbsent(sender, name -> new PeerStatus(now));
    boolean wasInContact = isInContact(sender, now);
    if (!wasInContact || !peer.healthy) peer.aliveSinceMs = now;
    peer.lastHeartbeatAtMs = now;
    peer.lastSendTime = heartbeat.sentAt();
    if (heartbeat.newestReceived().incarnation() == incarnation)
      peer.newestDeliveredSentAtMs =
          Math.max(peer.newestDeliveredSentAtMs, heartbeat.newestReceived().atMs());
    peer.healthy = heartbeat.healthy();
    peer.claims = byKey(heartbeat.claims());
    return wasInContact;
  }

  private static Map<String, OwnershipClaim> byKey(List<OwnershipClaim> claims) {
    Map<String, OwnershipClaim> claimed = new HashMap<>();
    for (OwnershipClaim claim : claims) claimed.put(claim.key(), claim);
    return claimed;
  }

  /** The disk accepts writes again, or no longer; false where that was known. */
  boolean updateHealthy(boolean nowHealthy) {
    if (healthy == nowHealthy) return false;
    healthy = nowHealthy;
    healthySinceMs = host.nowMs();
    return true;
  }

  /** Whether this member's own disk accepts writes. */
  boolean isHealthy() {
    return healthy;
  }

  /** When the disk last began or ceased to accept writes; long ago where it never did. */
  long healthySinceMs() {
    return healthySinceMs;
  }

  /** Not a member of the generation before: who owns what has to be heard first. */
  boolean isNewcomer() {
    return newcomer;
  }

  /** When this generation began here. */
  long generationStartedAtMs() {
    return generationStartedAtMs;
  }

  /** The send time in the member's last heartbeat, by its clock. */
  SendTime lastSendTime(String member) {
    PeerStatus peer = peers.get(member);
    return peer == null ? SendTime.NONE : peer.lastSendTime;
  }

  /**
   * The last contact with a member, both ways. What it has heard of this one comes with its next
   * heartbeat, so that direction may be older by the time between two.
   */
  long lastRoundTripAtMs(String member) {
    if (member.equals(self)) return host.nowMs();
    PeerStatus peer = peers.get(member);
    return peer == null
        ? CoreHost.NEVER
        : Math.min(peer.lastHeartbeatAtMs, peer.newestDeliveredSentAtMs + config.heartbeatMs());
  }

  private boolean isInContact(String member, long now) {
    return now - lastRoundTripAtMs(member) < config.peerTimeoutMs();
  }

  /** Contact with a majority of the members, this one counted. */
  boolean reachesMajority(long now) {
    int reached = 0;
    for (MemberSet.Member member : members.get().all())
      if (isInContact(member.name(), now)) reached++;
    return reached >= members.get().majoritySize();
  }

  /**
   * Has had no contact with a majority since it could have: perhaps because the fleet has moved on
   * without it, so it asks around.
   */
  boolean isIsolatedFromMajority(long now) {
    return now - Math.max(generationStartedAtMs, startedAtMs) >= 2L * config.peerTimeoutMs()
        && !reachesMajority(now);
  }

  /**
   * How long there was no contact with a member, ms; a change of members that it outlasts doesn't
   * start this anew.
   */
  long silenceMs(String member, long now) {
    PeerStatus peer = peers.get(member);
    return peer == null ? 0 : now - Math.max(lastRoundTripAtMs(member), peer.knownSinceMs);
  }

  /** Whether a member is in contact and its disk accepts writes. */
  boolean isAlive(String member, long now) {
    if (member.equals(self)) return healthy;
    PeerStatus peer = peers.get(member);
    return peer != null && peer.healthy && isInContact(member, now);
  }

  /** Since when another member that is known has been alive without a break. */
  long aliveSinceMs(String member) {
    return peers.get(member).aliveSinceMs;
  }

  /** Whether a heartbeat of a known member came within this time, even if it doesn't hear us. */
  boolean wasHeardWithin(String member, long durationMs, long now) {
    return now - peers.get(member).lastHeartbeatAtMs < durationMs;
  }

  /**
   * Who claims the key and was heard lately, or null; a claim is kept up only while a majority
   * confirms.
   *
   * @param promisedEpoch the epoch that this member promised the key to; older claims are void
   */
  String claimedOwner(String key, long promisedEpoch, long now) {
    for (MemberSet.Member member : members.get().all()) {
      PeerStatus peer = peers.get(member.name());
      if (member.name().equals(self)
          || peer == null
          || !peer.healthy
          || now - peer.lastHeartbeatAtMs >= config.peerTimeoutMs()) continue;
      OwnershipClaim claim = peer.claims.get(key);
      if (claim != null && claim.epoch() >= promisedEpoch) return member.name();
    }
    return null;
  }

  /** Whether a known member's last heartbeat told of a change of the key under way. */
  boolean hasChangeInFlight(String owner, String key) {
    OwnershipClaim claim = peers.get(owner).claims.get(key);
    return claim != null && claim.changeInFlight();
  }
}
