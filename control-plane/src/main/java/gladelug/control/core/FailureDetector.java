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
 * Determines from heartbeats which members are alive and reachable. It only influences which member
 * tries to own a key; safety depends on epochs and majorities alone. Called on the core's thread
 * only; all times are of the host's monotonic clock, in ms.
 *
 * <p>Contact with a member means a round trip: each heartbeat names the last heartbeat of the
 * receiver that reached the sender. A member without contact to a majority (itself included) tries
 * to own no key, claims none, and answers changes and reads with NoOwner at once. This takes effect
 * at most {@code peerTimeoutMs + heartbeatMs} after the first direction failed. An owner claims its
 * key only while a majority confirms it. Therefore a member that hears a claim does not try for the
 * key even if it has no contact with the owner, and refuses to promise the key to a member that
 * does not hear the owner. So a partition between two members never moves a key away from an owner
 * that works for a majority.
 */
final class FailureDetector {
  private final String self;
  private final CoreHost host;
  private final QuorumConfig config;
  private final Supplier<MemberSet> members;
  private final long startedAtMs;
  private final long incarnation;
  private final Map<String, PeerStatus> peers = new HashMap<>();

  /** Whether this member's disk accepts writes. */
  private boolean healthy = true;

  private long healthySinceMs = CoreHost.NEVER;
  private boolean newcomer = true;
  private long generationStartedAtMs;

  /**
   * @param members supplies the members of the generation that this member knows
   * @param startedAtMs when the process started, ms
   * @param incarnation distinguishes this run of the process from earlier ones
   */
  FailureDetector(
      String self,
      CoreHost host,
      QuorumConfig config,
      Supplier<MemberSet> members,
      long startedAtMs,
      long incarnation) {
    this.self = self;
    this.host = host;
    this.config = config;
    this.members = members;
    this.startedAtMs = startedAtMs;
    this.incarnation = incarnation;
    this.generationStartedAtMs = startedAtMs;
  }

  /**
   * Starts a generation: its members are tracked from now on, and claims of the previous one no
   * longer count.
   */
  void onGenerationStarted(MemberSet previous, MemberSet members) {
    // a member that missed a generation knows no more about owners than a new one
    newcomer =
        previous.generation() + 1 != members.generation() || !members.retains(previous, self);
    generationStartedAtMs = host.nowMs();
    // members that stay keep their liveness, so that only the first live one takes a key
    peers.keySet().removeIf(name -> newcomer || !members.retains(previous, name));
    for (PeerStatus peer : peers.values()) peer.claims = Map.of();
    for (MemberSet.Member member : members.all())
      peers.computeIfAbsent(member.name(), name -> new PeerStatus(generationStartedAtMs));
  }

  /**
   * Records a heartbeat and its claims.
   *
   * @return whether the sender was in contact before this heartbeat
   */
  boolean onHeartbeat(String sender, Heartbeat heartbeat, long nowMs) {
    PeerStatus peer = peers.computeIfAbsent(sender, name -> new PeerStatus(nowMs));
    boolean wasInContact = isInContact(sender, nowMs);
    if (!wasInContact || !peer.healthy) peer.aliveSinceMs = nowMs;
    peer.lastHeartbeatAtMs = nowMs;
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

  /** Updates whether this member's disk accepts writes. Returns whether that changed. */
  boolean updateHealthy(boolean nowHealthy) {
    if (healthy == nowHealthy) return false;
    healthy = nowHealthy;
    healthySinceMs = host.nowMs();
    return true;
  }

  /** Returns whether this member's own disk accepts writes. */
  boolean isHealthy() {
    return healthy;
  }

  /**
   * Returns when the disk last began or ceased to accept writes; {@link CoreHost#NEVER} if it never
   * changed.
   */
  long healthySinceMs() {
    return healthySinceMs;
  }

  /**
   * Returns whether this member was not in the previous generation, so that it has to learn first
   * which member owns which key.
   */
  boolean isNewcomer() {
    return newcomer;
  }

  /** Returns when this generation began at this member. */
  long generationStartedAtMs() {
    return generationStartedAtMs;
  }

  /**
   * Returns the send time in the last heartbeat of a member, by the clock of that member; {@link
   * SendTime#NONE} without one.
   */
  SendTime lastSendTime(String member) {
    PeerStatus peer = peers.get(member);
    return peer == null ? SendTime.NONE : peer.lastSendTime;
  }

  /**
   * Returns the time of the last contact with a member in both directions. A member reports which
   * heartbeats it received only with its next heartbeat, so that direction is granted one more
   * heartbeat interval.
   */
  long lastRoundTripAtMs(String member) {
    if (member.equals(self)) return host.nowMs();
    PeerStatus peer = peers.get(member);
    return peer == null
        ? CoreHost.NEVER
        : Math.min(peer.lastHeartbeatAtMs, peer.newestDeliveredSentAtMs + config.heartbeatMs());
  }

  private boolean isInContact(String member, long nowMs) {
    return nowMs - lastRoundTripAtMs(member) < config.peerTimeoutMs();
  }

  /** Returns whether this member is in contact with a majority of the members, itself included. */
  boolean reachesMajority(long nowMs) {
    int reached = 0;
    for (MemberSet.Member member : members.get().all())
      if (isInContact(member.name(), nowMs)) reached++;
    return reached >= members.get().majoritySize();
  }

  /**
   * Returns whether this member has no contact with a majority although it has had the time to make
   * contact. A later generation may be active without it, so it then asks to join.
   */
  boolean isIsolatedFromMajority(long nowMs) {
    return nowMs - Math.max(generationStartedAtMs, startedAtMs) >= 2L * config.peerTimeoutMs()
        && !reachesMajority(nowMs);
  }

  /**
   * Returns for how many ms there has been no contact with a member. A change of members does not
   * restart the count for members that stay.
   */
  long silenceMs(String member, long nowMs) {
    PeerStatus peer = peers.get(member);
    return peer == null ? 0 : nowMs - Math.max(lastRoundTripAtMs(member), peer.knownSinceMs);
  }

  /** Returns whether a member is in contact and healthy. */
  boolean isAlive(String member, long nowMs) {
    if (member.equals(self)) return healthy;
    PeerStatus peer = peers.get(member);
    return peer != null && peer.healthy && isInContact(member, nowMs);
  }

  /**
   * Returns since when another member has been alive without interruption. The member must be
   * known.
   */
  long aliveSinceMs(String member) {
    return peers.get(member).aliveSinceMs;
  }

  /**
   * Returns whether a heartbeat of a known member arrived within the last {@code durationMs}, even
   * if that member does not receive this one's heartbeats.
   */
  boolean wasHeardWithin(String member, long durationMs, long nowMs) {
    return nowMs - peers.get(member).lastHeartbeatAtMs < durationMs;
  }

  /**
   * Returns the member that claims the key and sent a heartbeat recently, or null. An owner keeps
   * its claim only while a majority confirms it.
   *
   * @param promisedEpoch the epoch that this member promised for the key; claims of lower epochs
   *     are ignored
   */
  String claimedOwner(String key, long promisedEpoch, long nowMs) {
    for (MemberSet.Member member : members.get().all()) {
      PeerStatus peer = peers.get(member.name());
      if (member.name().equals(self)
          || peer == null
          || !peer.healthy
          || nowMs - peer.lastHeartbeatAtMs >= config.peerTimeoutMs()) continue;
      OwnershipClaim claim = peer.claims.get(key);
      if (claim != null && claim.epoch() >= promisedEpoch) return member.name();
    }
    return null;
  }

  /**
   * Returns whether the last heartbeat of a known member reported a change of the key in flight.
   */
  boolean hasChangeInFlight(String owner, String key) {
    OwnershipClaim claim = peers.get(owner).claims.get(key);
    return claim != null && claim.changeInFlight();
  }
}
