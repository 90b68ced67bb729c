package gladelug.control.core;

import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Agreement on the first member set of a fleet: consensus on one value among the voters, which are
 * the processes that every machine is told of at the first start. A voter need not have a disk; the
 * members of the agreed set all have one, and need not be voters. The class does no I/O: it
 * receives what other voters announced, and returns the vote to store next and the agreed set.
 *
 * <p>Each voter announces its whole {@link BootstrapVote} again and again, and adopts the highest
 * ballot it hears of. The owner of a ballot that a majority promised accepts, in this ballot, the
 * set that was accepted in the highest earlier ballot among that majority, or one of its own if
 * there is none; the others accept what they hear accepted in a ballot not below their promise. A
 * set is agreed once a majority has accepted it in one ballot. So two agreed sets are equal: the
 * majority that promises a later ballot includes a voter that accepted the agreed set, and reports
 * it.
 *
 * <p>That holds only for voters that forget nothing. A voter without a stored vote may have lost
 * its disk, so its vote does not count before every other voter answered it and promised a ballot
 * above all that they had promised before. Nothing can be agreed in an earlier ballot from then on
 * that is not reported to it, whatever its lost disk had accepted. Where the deployment itself
 * tells the first start from later ones, a voter that only starts again is no voter, and one that
 * starts for the first time need not wait for others that stay silent: a majority then agrees
 * without them.
 */
final class Bootstrap {
  /** A voter as it was last heard. */
  private record HeardVoter(
      String id, boolean hasDisk, BootstrapVote vote, boolean answersThisVoter, long heardAtMs) {}

  /** A machine with a disk that asked to join. */
  private record Candidate(MemberSet.Member member, long askedAtMs) {}

  /** The lowest bits of a ballot are the position of the voter that owns it. */
  private static final int SLOT_BITS = 8;

  private final MemberSet.Member self;
  private final boolean hasDisk;
  private final MemberSet voters;
  private final Map<String, HeardVoter> heard = new HashMap<>();
  private final Map<String, Candidate> candidates = new TreeMap<>();

  /** This voter's vote as far as it is stored. */
  private BootstrapVote stored = BootstrapVote.NONE;

  /**
   * The ballot that the other voters must promise before this one's vote counts; 0 for none yet.
   */
  private long recoveryBallot;

  /**
   * Creates the agreement of one voter.
   *
   * @param self this voter; its disk id identifies its memory, also if that is no disk
   * @param hasDisk whether it can be a member
   * @param voters all voters, this one included
   */
  Bootstrap(MemberSet.Member self, boolean hasDisk, List<MemberSet.Member> voters) {
    this.self = self;
    this.hasDisk = hasDisk;
    this.voters = new MemberSet(1, voters);
  }

  MemberSet voters() {
    return voters;
  }

  /** Returns the stored vote, which is announced to the other voters. */
  BootstrapVote stored() {
    return stored;
  }

  /** Records that this vote is stored. */
  void onStored(BootstrapVote vote) {
    stored = vote;
  }

  /** Returns the ids of the other voters as they were last heard, by name. */
  Map<String, String> heardIds() {
    Map<String, String> ids = new TreeMap<>();
    heard.forEach((name, voter) -> ids.put(name, voter.id));
    return ids;
  }

  /**
   * Records what a voter announced.
   *
   * @param heardIds the ids of the voters that it had heard before
   */
  void onAnnouncement(
      String name,
      String id,
      boolean voterHasDisk,
      BootstrapVote vote,
      Map<String, String> heardIds,
      long nowMs) {
    if (name.equals(self.name()) || voters.find(name) == null) return;
    boolean answers = self.diskId().equals(heardIds.get(self.name()));
    heard.put(name, new HeardVoter(id, voterHasDisk, vote, answers, nowMs));
  }

  /** Records that a machine with a disk asked to join. */
  void onJoinRequest(MemberSet.Member candidate, long nowMs) {
    candidates.put(candidate.name(), new Candidate(candidate, nowMs));
  }

  /** Returns the highest ballot that this voter knows of. */
  long highestBallot() {
    long highest = stored.promised();
    for (HeardVoter voter : heard.values()) highest = Math.max(highest, voter.vote.promised());
    return highest;
  }

  /** Returns how many voters before this one by name were heard since a time and are counted. */
  int countedBefore(long sinceMs) {
    int count = 0;
    for (MemberSet.Member voter : voters.all()) {
      if (voter.name().equals(self.name())) break;
      HeardVoter other = heard.get(voter.name());
      if (other != null && other.heardAtMs >= sinceMs && other.vote.counted()) count++;
    }
    return count;
  }

  /** Returns the vote that follows from what the other voters announced; the stored one if none. */
  BootstrapVote adoptHeard() {
    BootstrapVote next = stored;
    if (stored.counted())
      for (HeardVoter other : heard.values())
        if (other.vote.acceptedBallot() >= next.promised()
            && other.vote.acceptedBallot() > next.acceptedBallot())
          next = next.accepting(other.vote.acceptedBallot(), other.vote.accepted());
    return next.promising(highestBallot());
  }

  /**
   * Returns the vote after a step of the recovery by which it comes to count.
   *
   * @param mayCountAlone whether this voter is known to start for the first time and has waited
   *     long enough for the others
   */
  BootstrapVote recover(BootstrapVote vote, boolean mayCountAlone) {
    if (vote.counted()) return vote;
    if (mayCountAlone) return vote.counting();
    if (!allAnsweredSince(0)) return vote;
    if (recoveryBallot == 0) recoveryBallot = nextBallot();
    if (!allAnsweredSince(recoveryBallot)) return vote.promising(recoveryBallot);
    BootstrapVote recovered = vote.promising(recoveryBallot);
    for (HeardVoter other : heard.values()) recovered = recovered.withHigherAcceptance(other.vote);
    return recovered.counting();
  }

  /**
   * Returns whether all other voters answered this one and promised at least this ballot. One that
   * restarted with an empty disk and asks to join promises nothing, as it never votes again.
   */
  private boolean allAnsweredSince(long ballot) {
    for (MemberSet.Member voter : voters.all()) {
      if (voter.name().equals(self.name()) || restarted(voter.name()) != null) continue;
      HeardVoter other = heard.get(voter.name());
      if (other == null || !other.answersThisVoter || other.vote.promised() < ballot) return false;
    }
    return true;
  }

  /** Returns the join request of a voter that restarted with an empty disk, or null. */
  private Candidate restarted(String voter) {
    Candidate candidate = candidates.get(voter);
    HeardVoter other = heard.get(voter);
    boolean sameDisk =
        candidate != null && other != null && other.id.equals(candidate.member.diskId());
    boolean newer = candidate != null && (other == null || candidate.askedAtMs >= other.heardAtMs);
    return newer && !sameDisk ? candidate : null;
  }

  private long nextBallot() {
    long counter = (highestBallot() >> SLOT_BITS) + 1;
    return counter << SLOT_BITS | voters.slotOf(self.name());
  }

  /** Returns the vote with which this voter starts a new ballot. */
  BootstrapVote startBallot(BootstrapVote vote) {
    return vote.promising(nextBallot());
  }

  /**
   * Returns the vote with which this voter, as owner of the ballot that a majority promised,
   * accepts a set in it. Unchanged if there is no such ballot, or no set to propose.
   *
   * @param newSet the set to propose if none was accepted before, or null for none
   */
  BootstrapVote propose(BootstrapVote vote, MemberSet newSet) {
    long ballot = vote.promised();
    boolean owned = (ballot & (1 << SLOT_BITS) - 1) == voters.slotOf(self.name());
    if (!vote.counted() || !owned || ballot >> SLOT_BITS == 0 || vote.acceptedBallot() == ballot)
      return vote;
    int promises = 1;
    BootstrapVote newest = vote;
    for (HeardVoter other : heard.values()) {
      if (!other.vote.counted() || other.vote.promised() != ballot) continue;
      promises++;
      newest = newest.withHigherAcceptance(other.vote);
    }
    MemberSet proposed = newest.acceptedBallot() > 0 ? newest.accepted() : newSet;
    return promises < voters.majoritySize() || proposed == null
        ? vote
        : vote.accepting(ballot, proposed);
  }

  /** Returns whether every voter was heard, or asked to join after it lost its disk. */
  boolean heardAllVoters() {
    for (MemberSet.Member voter : voters.all())
      if (!voter.name().equals(self.name())
          && !heard.containsKey(voter.name())
          && restarted(voter.name()) == null) return false;
    return true;
  }

  /**
   * Returns a set to propose, or null while too few machines are known: the voters that have a disk
   * and, if these are too few, other machines that asked to join.
   *
   * @param votersSinceMs voters that were not heard since are left out
   * @param candidatesSinceMs other machines that did not ask since are left out
   * @param wantedMembers up to how many members machines are added to the voters
   * @param minMembers the fewest members of the set
   */
  MemberSet newSet(long votersSinceMs, long candidatesSinceMs, int wantedMembers, int minMembers) {
    Map<String, MemberSet.Member> members = new TreeMap<>();
    if (hasDisk) members.put(self.name(), self);
    for (MemberSet.Member voter : voters.all()) {
      HeardVoter other = heard.get(voter.name());
      Candidate restarted = restarted(voter.name());
      if (restarted != null) members.put(voter.name(), restarted.member);
      else if (other != null && other.hasDisk && other.heardAtMs >= votersSinceMs)
        members.put(
            voter.name(),
            new MemberSet.Member(
                voter.name(), other.id, voter.recordsAddress(), voter.operatorAddress()));
    }
    for (Candidate candidate : candidates.values())
      if (members.size() < wantedMembers && candidate.askedAtMs >= candidatesSinceMs)
        members.putIfAbsent(candidate.member.name(), candidate.member);
    return members.size() >= minMembers
        ? new MemberSet(1, new ArrayList<>(members.values()))
        : null;
  }

  /** Returns the agreed first members, or null while this voter knows of none. */
  MemberSet agreedSet() {
    long ballot = stored.acceptedBallot();
    if (!stored.counted() || ballot == 0 || ballot != stored.promised()) return null;
    int accepted = 1;
    for (HeardVoter other : heard.values())
      if (other.vote.counted() && other.vote.acceptedBallot() == ballot) accepted++;
    return accepted >= voters.majoritySize() ? stored.accepted() : null;
  }
}
