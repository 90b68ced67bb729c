package gladelug.control.core;

import gladelug.common.Address;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.config.MemberSet.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests which changes of members {@link MembershipPlan} chooses. */
final class MembershipPlanTest {
  private static final Address ADDRESS = Address.of("1.1.1.1:1");
  private static final QuorumConfig CONFIG =
      QuorumConfig.builder().targetMembers(5).replaceDeadAfterMs(2500).build();

  private static List<Member> members(String names, String disk) {
    List<Member> members = new ArrayList<>();
    for (String name : names.split(""))
      if (!name.isEmpty()) members.add(new Member(name, disk + name, ADDRESS, ADDRESS));
    return members;
  }

  /**
   * Returns the reason of the next change and the names in the next set, in order; "none" without a
   * change.
   */
  private static String next(
      String current, String joiners, String dead, long silentMs, QuorumConfig config) {
    Set<String> deadNames = Set.of(dead.isEmpty() ? new String[0] : dead.split(""));
    MembershipPlan.MembershipChange change =
        new MembershipPlan(
                new MemberSet(4, members(current, "d")),
                members(joiners, "e"),
                name -> !deadNames.contains(name))
            .nextChange(name -> deadNames.contains(name) ? silentMs : 0, name -> false, config);
    if (change == null) return "none";
    Assertions.assertEquals(5, change.next().generation());
    return change.reason()
        + " "
        + String.join("", change.next().all().stream().map(Member::name).toList());
  }

  @Test
  void growsTwoAtATimeToAnOddNumberAndNoFurther() {
    Assertions.assertEquals("none", next("abc", "d", "", 0, CONFIG));
    Assertions.assertEquals("GROWTH abcde", next("abc", "defg", "", 0, CONFIG));
    Assertions.assertEquals("GROWTH abcde", next("abcd", "efg", "", 0, CONFIG));
    Assertions.assertEquals("GROWTH abc", next("a", "bc", "", 0, CONFIG));
    Assertions.assertEquals("none", next("abcde", "fgh", "", 0, CONFIG));
    Assertions.assertEquals("none", next("abcdef", "gh", "", 0, CONFIG));
    Assertions.assertEquals(
        "none", next("abc", "defg", "", 0, CONFIG.with().targetMembers(3).build()));
  }

  @Test
  void aLongDeadMemberIsReplacedWithANonMemberAndOnlyIfConfigured() {
    Assertions.assertEquals("DEAD abcdf", next("abcde", "f", "e", 2500, CONFIG));
    Assertions.assertEquals("none", next("abcde", "f", "e", 2499, CONFIG));
    Assertions.assertEquals("none", next("abcde", "f", "e", 999_999, QuorumConfig.DEFAULT));
    Assertions.assertEquals("none", next("abcde", "", "e", 2500, CONFIG));
    Assertions.assertEquals(
        "DEAD abcef", next("abcde", "f", "de", 2500, CONFIG), "one candidate replaces one member");
  }

  @Test
  void allDeadOrWipedMembersAreReplacedInOneChange() {
    Assertions.assertEquals("DEAD abcfg", next("abcde", "fgh", "de", 2500, CONFIG));
    Assertions.assertEquals("DEAD acdef", next("abcde", "f", "b", 2500, CONFIG));
    Assertions.assertEquals("WIPED_DISK abcde", next("abcde", "def", "de", 1801, CONFIG));
  }

  @Test
  void aDrainingMemberIsReplacedAtOnceUnlessThereIsNoCandidateOrOnlyOperatorsReplace() {
    Assertions.assertEquals("DRAINING abd", draining("abc", "d", "c", CONFIG));
    Assertions.assertEquals("DRAINING abdef", draining("abcde", "f", "c", CONFIG));
    Assertions.assertEquals("none", draining("abc", "", "c", CONFIG));
    Assertions.assertEquals("none", draining("abc", "d", "c", QuorumConfig.DEFAULT));
    Assertions.assertEquals(
        "DRAINING acd", draining("abc", "d", "bc", CONFIG), "one candidate replaces one member");
    Assertions.assertEquals(
        "none", draining("abcde", "f", "bcde", CONFIG), "two of five would be alive");
  }

  private static String draining(
      String current, String joiners, String draining, QuorumConfig config) {
    MembershipPlan.MembershipChange change =
        new MembershipPlan(
                new MemberSet(4, members(current, "d")),
                members(joiners, "e"),
                name -> !draining.contains(name))
            .nextChange(name -> 0, draining::contains, config);
    return change == null
        ? "none"
        : change.reason()
            + " "
            + String.join("", change.next().all().stream().map(Member::name).toList());
  }

  @Test
  void aWipedMachineIsReplacedByItselfFirst() {
    Assertions.assertEquals("WIPED_DISK abc", next("abc", "cd", "c", 1001, QuorumConfig.DEFAULT));
    Assertions.assertEquals("none", next("abc", "c", "c", 1000, QuorumConfig.DEFAULT));
    Assertions.assertEquals(
        "none",
        next("abc", "c", "", 1001, QuorumConfig.DEFAULT),
        "the member with its old disk is alive");
  }

  @Test
  void noSetIsPlannedOfWhichFewerThanAMajorityAreAlive() {
    Assertions.assertEquals("none", next("abcde", "f", "bcde", 9000, CONFIG));
    Assertions.assertEquals("DEAD abdef", next("abcde", "f", "cde", 9000, CONFIG));
    Assertions.assertEquals("none", next("ab", "c", "", 0, CONFIG.with().targetMembers(1).build()));
    Assertions.assertNull(
        new MembershipPlan(new MemberSet(1, members("abc", "d")), List.of(), "a"::equals)
            .change(MembershipChangeReason.OPERATOR_REQUEST, List.of("c"), List.of()));
  }
}
