package gladelug.control.core;

import gladelug.common.Address;
import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.BootstrapBallot;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.register.DurableState;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * One process's part in {@link Bootstrap}: announces its vote, stores the next one before it is
 * announced, decides when to start a ballot and when a new set may be proposed, and reports the
 * agreed set. Called on the core's thread only.
 */
final class BootstrapVoter {
  /** Interval between two announcements of the same vote. */
  private static final long ANNOUNCE_INTERVAL_MS = 200;

  /** After this many peer time-outs the voters that are heard go on without the others. */
  private static final int VOTER_PATIENCE = 2;

  /** After this many peer time-outs a set may have only a majority of the members wanted. */
  private static final int MEMBER_PATIENCE = 4;

  /** After this many peer time-outs a set may have a single member. */
  private static final int LAST_PATIENCE = 12;

  private final CoreHost host;
  private final QuorumConfig config;
  private final MemberSet.Member self;
  private final BootstrapMembers settings;
  private final Bootstrap bootstrap;
  private final Function<CoreMessage, Envelope> newEnvelope;
  private final Consumer<MemberSet> onAgreed;
  private final long startedAtMs;

  /** Whether a vote is being written. */
  private boolean storing;

  /** Whether this voter knows processes other than the voters. */
  private boolean hasOtherContacts;

  private boolean ended;
  private long announcedAtMs = CoreHost.NEVER;
  private long highestBallot;
  private long ballotRoseAtMs;

  /**
   * Creates the part.
   *
   * @param storedVote the vote found on disk, or {@link BootstrapVote#NONE}
   * @param onAgreed called, perhaps repeatedly, with the agreed first members
   */
  BootstrapVoter(
      CoreHost host,
      QuorumConfig config,
      MemberSet.Member self,
      BootstrapMembers settings,
      BootstrapVote storedVote,
      Function<CoreMessage, Envelope> newEnvelope,
      Consumer<MemberSet> onAgreed) {
    this.host = host;
    this.config = config;
    this.self = self;
    this.settings = settings;
    this.newEnvelope = newEnvelope;
    this.onAgreed = onAgreed;
    this.startedAtMs = host.nowMs();
    this.ballotRoseAtMs = startedAtMs;
    this.bootstrap = new Bootstrap(self, !settings.witness(), settings.members());
    bootstrap.onStored(storedVote);
  }

  /** Ends this part, because the fleet exists. */
  void end() {
    ended = true;
  }

  /** Announces the vote if that is due, and advances the agreement. */
  void tick(long nowMs) {
    if (nowMs - announcedAtMs >= ANNOUNCE_INTERVAL_MS) announce(nowMs);
    advance(nowMs);
  }

  private void announce(long nowMs) {
    announcedAtMs = nowMs;
    Set<Address> addresses = new HashSet<>(host.contactAddresses());
    for (MemberSet.Member voter : bootstrap.voters().all())
      addresses.remove(voter.recordsAddress());
    addresses.remove(self.recordsAddress());
    hasOtherContacts = !addresses.isEmpty();
    for (MemberSet.Member voter : bootstrap.voters().all()) addresses.add(voter.recordsAddress());
    addresses.remove(self.recordsAddress());
    CoreMessage announcement =
        new BootstrapBallot(
            self.recordsAddress().toString(),
            self.operatorAddress().toString(),
            !settings.witness(),
            bootstrap.stored(),
            bootstrap.heardIds());
    for (Address address : addresses) host.sendTo(address, newEnvelope.apply(announcement));
  }

  void onAnnouncement(Envelope envelope, BootstrapBallot announcement, long nowMs) {
    bootstrap.onAnnouncement(
        envelope.sender(),
        envelope.senderDisk(),
        announcement.hasDisk(),
        announcement.vote(),
        announcement.heardIds(),
        nowMs);
    advance(nowMs);
  }

  void onJoinRequest(MemberSet.Member candidate, long nowMs) {
    bootstrap.onJoinRequest(candidate, nowMs);
    advance(nowMs);
  }

  private void advance(long nowMs) {
    if (ended || storing) return;
    if (bootstrap.highestBallot() > highestBallot) {
      highestBallot = bootstrap.highestBallot();
      ballotRoseAtMs = nowMs;
    }
    BootstrapVote next = bootstrap.recover(bootstrap.adoptHeard(), mayCountAlone(nowMs));
    if (isBallotDue(next, nowMs)) next = bootstrap.startBallot(next);
    next = bootstrap.propose(next, mayPropose(nowMs) ? newSet(nowMs) : null);
    if (!next.equals(bootstrap.stored())) {
      store(next);
      return;
    }
    MemberSet agreed = bootstrap.agreedSet();
    if (agreed != null) onAgreed.accept(agreed);
  }

  private void store(BootstrapVote vote) {
    storing = true;
    host.sync(
        DurableState.BOOTSTRAP_VOTE,
        vote.toBytes(),
        () -> {
          storing = false;
          if (ended) return;
          bootstrap.onStored(vote);
          announce(host.nowMs());
          advance(host.nowMs());
        });
  }

  private long uptimeMs(long nowMs) {
    return nowMs - startedAtMs;
  }

  private boolean isPatient(int peerTimeouts, long nowMs) {
    return uptimeMs(nowMs) < (long) peerTimeouts * config.peerTimeoutMs();
  }

  private boolean mayCountAlone(long nowMs) {
    return settings.firstStartKnown() && !isPatient(VOTER_PATIENCE, nowMs);
  }

  /** Other known processes get the time to report that the fleet exists already. */
  private boolean mayPropose(long nowMs) {
    return !hasOtherContacts || !isPatient(VOTER_PATIENCE, nowMs);
  }

  /** Returns a set of all voters with a disk, or after a while of those that are still heard. */
  private MemberSet newSet(long nowMs) {
    int wanted = Math.min(config.targetMembers(), bootstrap.voters().all().size());
    boolean mayMissVoters = settings.firstStartKnown() && !isPatient(MEMBER_PATIENCE, nowMs);
    if (!mayMissVoters && !bootstrap.heardAllVoters()) return null;
    long recentMs = nowMs - config.peerTimeoutMs();
    return bootstrap.newSet(
        mayMissVoters ? recentMs : CoreHost.NEVER, recentMs, wanted, minMembers(wanted, nowMs));
  }

  private int minMembers(int wanted, long nowMs) {
    if (isPatient(MEMBER_PATIENCE, nowMs)) return wanted;
    return isPatient(LAST_PATIENCE, nowMs) ? wanted / 2 + 1 : 1;
  }

  /**
   * Returns whether this voter has to start a ballot: nobody has one, or the newest is stuck. The
   * first counted voter by name starts one, and the others in turn if it does not.
   */
  private boolean isBallotDue(BootstrapVote vote, long nowMs) {
    if (!vote.counted() || bootstrap.agreedSet() != null) return false;
    int turns = bootstrap.countedBefore(nowMs - config.peerTimeoutMs());
    if (highestBallot > 0) turns++;
    return nowMs - ballotRoseAtMs >= (long) turns * config.peerTimeoutMs();
  }
}
