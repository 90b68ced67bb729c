package gladelug.control.core;

import gladelug.common.Address;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.config.MemberSet.Member;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Bootstrap. */
final class BootstrapTest {
  private static final Address ADDRESS = Address.of("1.1.1.1:1");
  private static final List<Member> THREE =
      List.of(
          new Member("a", "", ADDRESS, ADDRESS),
          new Member("b", "", ADDRESS, ADDRESS),
          new Member("c", "", ADDRESS, ADDRESS));

  private static Bootstrap founder(String name, String disk) {
    return new Bootstrap(name, disk, THREE);
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
  void theFirstMakesTheSetOnceItHasMetAllAndItHoldsOnceAllPinnedIt() {
    Bootstrap a = founder("a", "a1");
    a.onAnnouncement("b", "b1", MemberSet.NONE);
    Assertions.assertNull(a.nextSetToStore(true));
    a.onAnnouncement("c", "c1", MemberSet.NONE);
    MemberSet s = a.nextSetToStore(true);
    Assertions.assertEquals(set("a1", "b1", "c1"), s);
    Assertions.assertNull(a.nextSetToStore(false), "not yet time");
    a.onSetStored(s);
    a.onAnnouncement("b", "b1", s);
    Assertions.assertNull(a.agreedSet());
    a.onAnnouncement("c", "c1", s);
    Assertions.assertEquals(s, a.agreedSet());
  }

  @Test
  void theOthersMakeNoneButPinTheFirstOnesEvenWhereAnotherLostItsDiskMeanwhile() {
    MemberSet s = set("a1", "b1", "c1");
    Bootstrap b = founder("b", "b1");
    b.onAnnouncement("a", "a1", MemberSet.NONE);
    b.onAnnouncement("c", "c2", MemberSet.NONE);
    Assertions.assertNull(b.nextSetToStore(true));
    b.onAnnouncement("a", "a1", s);
    Assertions.assertEquals(s, b.nextSetToStore(true));
    b.onSetStored(s);
    Assertions.assertEquals(s, b.agreedSet(), "two of three have it, and the third's disk is lost");
    Bootstrap c = founder("c", "c2");
    c.onAnnouncement("a", "a1", s);
    c.onAnnouncement("b", "b1", s);
    Assertions.assertNull(c.nextSetToStore(true), "it lost the disk that the set lists");
  }

  @Test
  void aMakerThatLostItsDiskMakesNoneWhereOneIsPinned() {
    Bootstrap a = founder("a", "a2");
    a.onAnnouncement("b", "b1", set("a1", "b1", "c1"));
    a.onAnnouncement("c", "c1", MemberSet.NONE);
    Assertions.assertNull(a.nextSetToStore(true));
  }

  @Test
  void aSetThatNeverCanHoldIsLeftForTheNewOneAndNoOther() {
    MemberSet old = set("a1", "b1", "c1"), now = set("a2", "b1", "c1");
    Bootstrap b = founder("b", "b1");
    b.onAnnouncement("a", "a1", old);
    b.onSetStored(old);
    b.onAnnouncement("c", "c1", now);
    Assertions.assertNull(b.nextSetToStore(true), "its maker may still be there");
    b.onAnnouncement("a", "a2", now);
    Assertions.assertEquals(now, b.nextSetToStore(true));
    b.onSetStored(now);
    Assertions.assertNull(b.nextSetToStore(true));
    Assertions.assertEquals(now, b.agreedSet());
  }

  private static Member joining(String name, String disk) {
    return new Member(name, disk, ADDRESS, ADDRESS);
  }

  @Test
  void aFounderThatCameBackEmptyBeforeItWasHeardIsInTheSetAndNobodyWaitsForItToStoreIt() {
    Bootstrap a = founder("a", "a1");
    a.onAnnouncement("b", "b1", MemberSet.NONE);
    a.onJoinRequest(joining("c", "c2"));
    MemberSet s = a.nextSetToStore(true);
    Assertions.assertEquals(set("a1", "b1", "c2"), s);
    a.onSetStored(s);
    Assertions.assertNull(a.agreedSet(), "one of three");
    a.onAnnouncement("b", "b1", s);
    Assertions.assertEquals(s, a.agreedSet());
  }

  @Test
  void aSetWithTheDiskThatWasLostComesIntoForceOnceItsMachineAsksToBeLetIn() {
    MemberSet s = set("a1", "b1", "c1");
    Bootstrap b = founder("b", "b1");
    b.onAnnouncement("a", "a1", s);
    b.onAnnouncement("c", "c1", MemberSet.NONE);
    b.onSetStored(b.nextSetToStore(true));
    Assertions.assertNull(b.agreedSet());
    b.onJoinRequest(joining("c", "c2"));
    Assertions.assertEquals(s, b.agreedSet());
  }

  @Test
  void theNextByNameProposesForAFirstThatCameBackEmpty() {
    Bootstrap b = founder("b", "b1");
    Bootstrap c = founder("c", "c1");
    b.onAnnouncement("c", "c1", MemberSet.NONE);
    b.onJoinRequest(joining("a", "a2"));
    MemberSet s = b.nextSetToStore(true);
    Assertions.assertEquals(set("a2", "b1", "c1"), s);
    b.onSetStored(s);
    c.onJoinRequest(joining("a", "a2"));
    c.onAnnouncement("b", "b1", MemberSet.NONE);
    Assertions.assertNull(c.nextSetToStore(true), "the one before it by name bootstraps");
    c.onAnnouncement("b", "b1", s);
    Assertions.assertEquals(s, c.nextSetToStore(true));
    c.onSetStored(s);
    Assertions.assertEquals(s, c.agreedSet());
  }

  @Test
  void theLostFirstOnesSetIsLeftForTheOneProposedInItsPlace() {
    MemberSet old = set("a1", "b1", "c1"), now = set("a2", "b1", "c1");
    Bootstrap c = founder("c", "c1");
    c.onAnnouncement("a", "a1", old);
    c.onSetStored(c.nextSetToStore(true));
    c.onAnnouncement("b", "b1", now);
    Assertions.assertNull(c.nextSetToStore(true), "its proposer may still be there");
    c.onJoinRequest(joining("a", "a2"));
    Assertions.assertEquals(now, c.nextSetToStore(true));
    c.onSetStored(now);
    Assertions.assertEquals(now, c.agreedSet());
    Bootstrap b = founder("b", "b1");
    b.onJoinRequest(joining("a", "a2"));
    b.onAnnouncement("c", "c1", old);
    Assertions.assertEquals(
        old, b.nextSetToStore(true), "one that is stored goes before a new one");
  }

  @Test
  void aDiskThatBootstrapsIsNotLostByAskingToBeLetIn() {
    Bootstrap a = founder("a", "a1");
    a.onAnnouncement("b", "b1", MemberSet.NONE);
    a.onAnnouncement("c", "c1", MemberSet.NONE);
    MemberSet s = a.nextSetToStore(true);
    a.onSetStored(s);
    a.onAnnouncement("b", "b1", s);
    a.onJoinRequest(joining("c", "c1"));
    a.onJoinRequest(joining("x", "x1"));
    a.onJoinRequest(joining("a", "a2"));
    Assertions.assertNull(a.agreedSet());
  }

  @Test
  void whatIsNoSetOfTheseFoundersOrNotThisDiskIsNotPinned() {
    Bootstrap b = founder("b", "b1");
    b.onAnnouncement("a", "a1", set("a1", "another", "c1"));
    Assertions.assertNull(b.nextSetToStore(true));
    b.onAnnouncement("a", "a1", new MemberSet(1, set("a1", "b1", "c1").all().subList(0, 2)));
    Assertions.assertNull(b.nextSetToStore(true));
    b.onAnnouncement("x", "x", set("a1", "b1", "c1"));
    Assertions.assertNull(b.nextSetToStore(true));
  }
}
