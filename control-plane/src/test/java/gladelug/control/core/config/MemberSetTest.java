package gladelug.control.core.config;

import gladelug.common.Address;
import gladelug.control.core.config.MemberSet.Member;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of MemberSet. */
final class MemberSetTest {
  @Test
  void epochsRiseAndNeverMeet() {
    Address address = Address.of("1.1.1.1:1");
    MemberSet members =
        new MemberSet(
            2,
            List.of(
                new Member("b", "", address, address),
                new Member("a", "", address, address),
                new Member("c", "", address, address)));
    long first = members.nextEpoch(0, "a"),
        second = members.nextEpoch(first, "b"),
        third = members.nextEpoch(second, "a");
    Assertions.assertTrue(first < second && second < third);
    Assertions.assertTrue(members.nextEpoch(0, "a") != members.nextEpoch(0, "b"));
    Assertions.assertTrue(new MemberSet(3, members.all()).nextEpoch(third, "a") > third);
  }
}
