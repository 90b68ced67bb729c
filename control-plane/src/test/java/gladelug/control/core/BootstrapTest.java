package gladelug.control.core;

import gladelug.common.Address;
import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.config.MemberSet.Member;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests how the voters of a bootstrap agree on the first member set, {@link Bootstrap}. */
final class BootstrapTest {
  private static final Address ADDRESS = Address.of("1.1.1.1:1");
  private static final List<Member> VOTERS =
      List.of(member("a", ""), member("b", ""), member("c", ""));

  /** Ballots of each voter, the higher one by position of the voter. */
  private static final long BALLOT_OF_A = 1 << 8,
      BALLOT_OF_B = 1 << 8 | 1,
      BALLOT_OF_C = 1 << 8 | 2;

  private static Member member(String name, String disk) {
    return new Member(name, disk, ADDRESS, ADDRESS);
  }

  private static MemberSet set(Member... members) {
    return new MemberSet(1, List.of(members));
  }

  private static MemberSet set(String a, String b, String c) {
    return set(member("a", a), member("b", b), member("c", c));
  }

  private static BootstrapVote promised(long ballot) {
    return new BootstrapVote(true, ballot, 0, MemberSet.NONE);
  }

  private static BootstrapVote accepted(long ballot, MemberSet set) {
    return new BootstrapVote(true, ballot, ballot, set);
  }

  /** A voter that counts and has stored the vote. */
  private static Bootstrap voter(String name, String disk, BootstrapVote stored) {
    Bootstrap voter = new Bootstrap(member(name, disk), true, VOTERS);
    voter.onStored(stored);
    return voter;
  }

  /** Another voter answers with this vote. */
  private static void hear(Bootstrap voter, String name, String disk, BootstrapVote vote) {
    Map<String, String> heardAll = Map.of("a", "a1", "b", "b1", "c", "c1");
    voter.onAnnouncement(name, disk, true, vote, heardAll, 0);
  }

  private static MemberSet newSetOfAll(Bootstrap voter) {
    return voter.heardAllVoters() ? voter.newSet(0, 0, 3, 3) : null;
  }

  @Test
  void anEmptyVoterCountsOnceAllOthersAnsweredAndPromisedAHigherBallot() {
    Bootstrap a = voter("a", "a1", BootstrapVote.NONE);
    hear(a, "b", "b1", BootstrapVote.NONE);
    Assertions.assertEquals(BootstrapVote.NONE, a.recover(a.adoptHeard(), false), "c is missing");
    hear(a, "c", "c1", BootstrapVote.NONE.promising(BALLOT_OF_C));
    BootstrapVote asks = a.recover(a.adoptHeard(), false);
    long above = (2 << 8);
    Assertions.assertEquals(BootstrapVote.NONE.promising(above), asks);
    a.onStored(asks);
    hear(a, "b", "b1", BootstrapVote.NONE.promising(above));
    Assertions.assertFalse(a.recover(a.adoptHeard(), false).counted(), "c promised less");
    hear(a, "c", "c1", BootstrapVote.NONE.promising(above));
    Assertions.assertEquals(promised(above), a.recover(a.adoptHeard(), false));
  }

  /** Guards against a voter that lost its disk and forgets what may be agreed through it. */
  @Test
  void aVoterThatLostItsDiskTakesOverWhatTheOthersAccepted() {
    MemberSet first = set("a0", "b1", "c1");
    Bootstrap a = voter("a", "a1", BootstrapVote.NONE);
    hear(a, "b", "b1", accepted(BALLOT_OF_A, first));
    hear(a, "c", "c1", promised(BALLOT_OF_A));
    a.onStored(a.recover(a.adoptHeard(), false));
    long asked = a.stored().promised();
    Assertions.assertTrue(asked > BALLOT_OF_A && !a.stored().counted());
    hear(a, "b", "b1", new BootstrapVote(true, asked, BALLOT_OF_A, first));
    hear(a, "c", "c1", promised(asked));
    BootstrapVote recovered = a.recover(a.adoptHeard(), false);
    Assertions.assertEquals(new BootstrapVote(true, asked, BALLOT_OF_A, first), recovered);
    a.onStored(recovered);
    Assertions.assertEquals(
        first, a.propose(recovered, set("a1", "b1", "c1")).accepted(), "not a set of its own");
  }

  @Test
  void anAnswerToAnEarlierDiskDoesNotCount() {
    Bootstrap a = voter("a", "a2", BootstrapVote.NONE);
    hear(a, "b", "b1", BootstrapVote.NONE);
    hear(a, "c", "c1", BootstrapVote.NONE);
    Assertions.assertEquals(BootstrapVote.NONE, a.recover(a.adoptHeard(), false));
  }

  @Test
  void aKnownFirstStartNeedNotWaitForSilentVoters() {
    Bootstrap a = voter("a", "a1", BootstrapVote.NONE);
    Assertions.assertTrue(a.recover(a.stored(), true).counted());
  }

  @Test
  void theOwnerOfABallotProposesOnceAMajorityPromisedIt() {
    Bootstrap a = voter("a", "a1", promised(BALLOT_OF_A));
    hear(a, "b", "b1", BootstrapVote.NONE.promising(BALLOT_OF_A));
    hear(a, "c", "c1", promised(BALLOT_OF_C));
    MemberSet all = newSetOfAll(a);
    Assertions.assertEquals(set("a1", "b1", "c1"), all);
    Assertions.assertEquals(a.stored(), a.propose(a.stored(), all), "b does not count yet");
    hear(a, "b", "b1", promised(BALLOT_OF_A));
    Assertions.assertEquals(a.stored(), a.propose(a.stored(), null), "no set to propose");
    Assertions.assertEquals(accepted(BALLOT_OF_A, all), a.propose(a.stored(), all));
    Bootstrap b = voter("b", "b1", promised(BALLOT_OF_A));
    hear(b, "a", "a1", promised(BALLOT_OF_A));
    Assertions.assertEquals(b.stored(), b.propose(b.stored(), all), "the ballot is not b's");
  }

  @Test
  void theSetAcceptedInTheHighestBallotIsProposedAgain() {
    MemberSet older = set("a1", "b1", "c0"), newer = set("a1", "b1", "c1");
    Bootstrap c = voter("c", "c2", new BootstrapVote(true, 2 << 8 | 2, BALLOT_OF_A, older));
    hear(c, "b", "b1", new BootstrapVote(true, 2 << 8 | 2, BALLOT_OF_B, newer));
    Assertions.assertEquals(
        accepted(2 << 8 | 2, newer), c.propose(c.stored(), set("a1", "b1", "c2")));
  }

  @Test
  void aVoterAcceptsWhatWasAcceptedInABallotNotBelowItsPromise() {
    MemberSet proposed = set("a1", "b1", "c1");
    Bootstrap b = voter("b", "b1", promised(BALLOT_OF_B));
    hear(b, "a", "a1", accepted(BALLOT_OF_A, proposed));
    Assertions.assertEquals(promised(BALLOT_OF_B), b.adoptHeard(), "below the promise");
    hear(b, "a", "a1", accepted(BALLOT_OF_C, proposed));
    Assertions.assertEquals(accepted(BALLOT_OF_C, proposed), b.adoptHeard());
    Bootstrap uncounted = voter("b", "b1", BootstrapVote.NONE);
    hear(uncounted, "a", "a1", accepted(BALLOT_OF_A, proposed));
    Assertions.assertEquals(BootstrapVote.NONE.promising(BALLOT_OF_A), uncounted.adoptHeard());
  }

  @Test
  void aSetIsAgreedOnceAMajorityAcceptedItInOneBallot() {
    MemberSet set = set("a1", "b1", "c1");
    Bootstrap a = voter("a", "a1", accepted(BALLOT_OF_A, set));
    hear(a, "b", "b1", accepted(BALLOT_OF_B, set));
    hear(a, "c", "c1", new BootstrapVote(false, BALLOT_OF_A, BALLOT_OF_A, set));
    Assertions.assertNull(a.agreedSet(), "another ballot, and a vote that does not count");
    hear(a, "c", "c1", accepted(BALLOT_OF_A, set));
    Assertions.assertEquals(set, a.agreedSet());
    a.onStored(a.stored().promising(BALLOT_OF_B));
    Assertions.assertNull(a.agreedSet(), "a promise of a later ballot may replace what was lost");
  }

  @Test
  void aVoterThatRestartedEmptyIsAMemberWithItsNewDiskAndNobodyWaitsForItsVote() {
    Bootstrap a = voter("a", "a1", BootstrapVote.NONE);
    hear(a, "b", "b1", BootstrapVote.NONE);
    a.onJoinRequest(member("c", "c2"), 0);
    Assertions.assertTrue(a.recover(a.adoptHeard(), false).promised() > 0, "c is not awaited");
    Assertions.assertEquals(set("a1", "b1", "c2"), newSetOfAll(a));
  }

  @Test
  void aDiskThatVotesDoesNotCountAsLostWhenItsMachineAsksToJoin() {
    Bootstrap a = voter("a", "a1", BootstrapVote.NONE);
    hear(a, "b", "b1", BootstrapVote.NONE);
    a.onJoinRequest(member("b", "b1"), 1);
    a.onJoinRequest(member("c", "c2"), 0);
    hear(a, "c", "c3", BootstrapVote.NONE.promising(BALLOT_OF_C));
    a.onStored(a.recover(a.adoptHeard(), false));
    hear(a, "c", "c3", BootstrapVote.NONE.promising(a.stored().promised()));
    Assertions.assertFalse(a.recover(a.adoptHeard(), false).counted(), "b is awaited");
    Assertions.assertEquals("b1", newSetOfAll(a).find("b").diskId());
  }

  @Test
  void machinesThatAskToJoinFillTheSetWhereVotersHaveNoDisk() {
    Bootstrap witness = new Bootstrap(member("a", "p1"), false, VOTERS);
    witness.onAnnouncement("b", "b1", true, BootstrapVote.NONE, Map.of(), 0);
    witness.onAnnouncement("c", "p3", false, BootstrapVote.NONE, Map.of(), 0);
    Assertions.assertNull(witness.newSet(0, 0, 3, 3), "too few");
    for (String name : List.of("f", "e", "d")) witness.onJoinRequest(member(name, name + 1), 0);
    MemberSet three = set(member("b", "b1"), member("d", "d1"), member("e", "e1"));
    Assertions.assertEquals(three, witness.newSet(0, 0, 3, 3));
    Assertions.assertEquals(set(member("b", "b1")), witness.newSet(0, 1, 3, 1), "none is recent");
  }

  @Test
  void aVoteSurvivesBeingStoredAndMalformedOnesAreRefused() throws IOException {
    BootstrapVote vote = accepted(BALLOT_OF_B, set("a1", "b1", "c1"));
    Assertions.assertEquals(vote, BootstrapVote.parse(vote.toBytes()));
    Assertions.assertThrows(IOException.class, () -> BootstrapVote.parse(new byte[3]));
    byte[] longer = Arrays.copyOf(vote.toBytes(), vote.toBytes().length + 1);
    Assertions.assertThrows(IOException.class, () -> BootstrapVote.parse(longer));
  }

  /** Guards against a set that was agreed with the release before and is replaced by a new one. */
  @Test
  void aSetStoredByAnEarlierReleaseIsProposedBeforeANewOne() {
    MemberSet earlier = set("a1", "b1", "c1");
    Bootstrap a = voter("a", "a1", BootstrapVote.ofEarlierRelease(earlier).promising(BALLOT_OF_A));
    hear(a, "b", "b1", promised(BALLOT_OF_A));
    Assertions.assertEquals(earlier, a.propose(a.stored(), set("a1", "b1", "c9")).accepted());
  }
}
