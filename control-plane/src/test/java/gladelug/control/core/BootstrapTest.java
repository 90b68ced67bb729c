package gladelug.control.core;

import gladelug.common.Address;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.config.MemberSet.Member;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests how bootstrap members agree on the first member set, {@link Bootstrap}. */
final class BootstrapTest {
  private static final Address ADDRESS = Address.of("1.1.1.1:1");
  private static final List<Member> BOOTSTRAP_MEMBERS =
      List.of(
          new Member("a", "", ADDRESS, ADDRESS),
          new Member("b", "", ADDRESS, ADDRESS),
          new Member("c", "", ADDRESS, ADDRESS));

  private static Bootstrap newBootstrap(String name, String disk) {
    return new Bootstrap(name, disk, BOOTSTRAP_MEMBERS);
  }

  private static MemberSet set(String a, String b, String c) {
    return new MemberSet(
        1,
        List.of(
            new Member("a", a, ADDRESS, ADDRESS),
            new Member("b", b, ADDRESS, ADDRESS),
            new Member("c", c, ADDRESS, ADDRESS)));
  }

  @Test
  void theFirstMemberProposesTheSetOnceItHasHeardFromAllAndItIsAgreedOnceAllStoredIt() {
    Bootstrap a = newBootstrap("a", "a1");
    a.onAnnouncement("b", "b1", MemberSet.NONE);
    Assertions.assertNull(a.nextSetToStore(true));
    a.onAnnouncement("c", "c1", MemberSet.NONE);
    MemberSet proposed = a.nextSetToStore(true);
    Assertions.assertEquals(set("a1", "b1", "c1"), proposed);
    Assertions.assertNull(a.nextSetToStore(false), "must not propose yet");
    a.onSetStored(proposed);
    a.onAnnouncement("b", "b1", proposed);
    Assertions.assertNull(a.agreedSet());
    a.onAnnouncement("c", "c1", proposed);
    Assertions.assertEquals(proposed, a.agreedSet());
  }

  @Test
  void theOthersProposeNoneButStoreTheFirstMembersSetEvenIfAnotherLostItsDiskMeanwhile() {
    MemberSet proposed = set("a1", "b1", "c1");
    Bootstrap b = newBootstrap("b", "b1");
    b.onAnnouncement("a", "a1", MemberSet.NONE);
    b.onAnnouncement("c", "c2", MemberSet.NONE);
    Assertions.assertNull(b.nextSetToStore(true));
    b.onAnnouncement("a", "a1", proposed);
    Assertions.assertEquals(proposed, b.nextSetToStore(true));
    b.onSetStored(proposed);
    Assertions.assertEquals(
        proposed, b.agreedSet(), "two of three stored it, and the disk of the third is lost");
    Bootstrap c = newBootstrap("c", "c2");
    c.onAnnouncement("a", "a1", proposed);
    c.onAnnouncement("b", "b1", proposed);
    Assertions.assertNull(c.nextSetToStore(true), "it lost the disk that the set lists");
  }

  @Test
  void aProposerThatLostItsDiskProposesNoSetWhileOneIsStored() {
    Bootstrap a = newBootstrap("a", "a2");
    a.onAnnouncement("b", "b1", set("a1", "b1", "c1"));
    a.onAnnouncement("c", "c1", MemberSet.NONE);
    Assertions.assertNull(a.nextSetToStore(true));
  }

  @Test
  void aSetThatCanNeverBeAgreedIsReplacedByTheNewOneAndNoOther() {
    MemberSet oldSet = set("a1", "b1", "c1"), newSet = set("a2", "b1", "c1");
    Bootstrap b = newBootstrap("b", "b1");
    b.onAnnouncement("a", "a1", oldSet);
    b.onSetStored(oldSet);
    b.onAnnouncement("c", "c1", newSet);
    Assertions.assertNull(b.nextSetToStore(true), "its proposer may still have its disk");
    b.onAnnouncement("a", "a2", newSet);
    Assertions.assertEquals(newSet, b.nextSetToStore(true));
    b.onSetStored(newSet);
    Assertions.assertNull(b.nextSetToStore(true));
    Assertions.assertEquals(newSet, b.agreedSet());
  }

  private static Member joining(String name, String disk) {
    return new Member(name, disk, ADDRESS, ADDRESS);
  }

  @Test
  void aMemberThatRestartedEmptyBeforeItWasHeardIsInTheSetAndNobodyWaitsForItToStoreIt() {
    Bootstrap a = newBootstrap("a", "a1");
    a.onAnnouncement("b", "b1", MemberSet.NONE);
    a.onJoinRequest(joining("c", "c2"));
    MemberSet proposed = a.nextSetToStore(true);
    Assertions.assertEquals(set("a1", "b1", "c2"), proposed);
    a.onSetStored(proposed);
    Assertions.assertNull(a.agreedSet(), "stored by one of three");
    a.onAnnouncement("b", "b1", proposed);
    Assertions.assertEquals(proposed, a.agreedSet());
  }

  @Test
  void aSetWithALostDiskIsAgreedOnceItsMachineAsksToJoin() {
    MemberSet proposed = set("a1", "b1", "c1");
    Bootstrap b = newBootstrap("b", "b1");
    b.onAnnouncement("a", "a1", proposed);
    b.onAnnouncement("c", "c1", MemberSet.NONE);
    b.onSetStored(b.nextSetToStore(true));
    Assertions.assertNull(b.agreedSet());
    b.onJoinRequest(joining("c", "c2"));
    Assertions.assertEquals(proposed, b.agreedSet());
  }

  @Test
  void theNextMemberByNameProposesInPlaceOfAFirstThatRestartedEmpty() {
    Bootstrap b = newBootstrap("b", "b1");
    Bootstrap c = newBootstrap("c", "c1");
    b.onAnnouncement("c", "c1", MemberSet.NONE);
    b.onJoinRequest(joining("a", "a2"));
    MemberSet proposed = b.nextSetToStore(true);
    Assertions.assertEquals(set("a2", "b1", "c1"), proposed);
    b.onSetStored(proposed);
    c.onJoinRequest(joining("a", "a2"));
    c.onAnnouncement("b", "b1", MemberSet.NONE);
    Assertions.assertNull(c.nextSetToStore(true), "a member before it by name bootstraps");
    c.onAnnouncement("b", "b1", proposed);
    Assertions.assertEquals(proposed, c.nextSetToStore(true));
    c.onSetStored(proposed);
    Assertions.assertEquals(proposed, c.agreedSet());
  }

  @Test
  void theSetOfALostFirstMemberIsReplacedByTheOneProposedInItsPlace() {
    MemberSet oldSet = set("a1", "b1", "c1"), newSet = set("a2", "b1", "c1");
    Bootstrap c = newBootstrap("c", "c1");
    c.onAnnouncement("a", "a1", oldSet);
    c.onSetStored(c.nextSetToStore(true));
    c.onAnnouncement("b", "b1", newSet);
    Assertions.assertNull(c.nextSetToStore(true), "its proposer may still have its disk");
    c.onJoinRequest(joining("a", "a2"));
    Assertions.assertEquals(newSet, c.nextSetToStore(true));
    c.onSetStored(newSet);
    Assertions.assertEquals(newSet, c.agreedSet());
    Bootstrap b = newBootstrap("b", "b1");
    b.onJoinRequest(joining("a", "a2"));
    b.onAnnouncement("c", "c1", oldSet);
    Assertions.assertEquals(
        oldSet, b.nextSetToStore(true), "a stored set takes precedence over a new one");
  }

  @Test
  void aDiskThatBootstrapsDoesNotCountAsLostWhenItsMemberAsksToJoin() {
    Bootstrap a = newBootstrap("a", "a1");
    a.onAnnouncement("b", "b1", MemberSet.NONE);
    a.onAnnouncement("c", "c1", MemberSet.NONE);
    MemberSet proposed = a.nextSetToStore(true);
    a.onSetStored(proposed);
    a.onAnnouncement("b", "b1", proposed);
    a.onJoinRequest(joining("c", "c1"));
    a.onJoinRequest(joining("x", "x1"));
    a.onJoinRequest(joining("a", "a2"));
    Assertions.assertNull(a.agreedSet());
  }

  @Test
  void aSetWithOtherMembersOrAnotherDiskOfThisMemberIsNotStored() {
    Bootstrap b = newBootstrap("b", "b1");
    b.onAnnouncement("a", "a1", set("a1", "another", "c1"));
    Assertions.assertNull(b.nextSetToStore(true));
    b.onAnnouncement("a", "a1", new MemberSet(1, set("a1", "b1", "c1").all().subList(0, 2)));
    Assertions.assertNull(b.nextSetToStore(true));
    b.onAnnouncement("x", "x", set("a1", "b1", "c1"));
    Assertions.assertNull(b.nextSetToStore(true));
  }
}
