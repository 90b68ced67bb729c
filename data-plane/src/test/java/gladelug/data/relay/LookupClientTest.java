package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.message.Shuffle;
import gladelug.data.index.ZoneFollower;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** To which indexes placements go where one a zone follows the holders. */
final class LookupClientTest {
  private static Shuffle.Descriptor descriptor(String name, String role, String zone, int port) {
    return new Shuffle.Descriptor(name, role, "1.1.1.1:" + port, "1.1.1.2:" + port, zone, 0, 0);
  }

  @Test
  void theFirstIndexOfEachZoneByNameFollowsAndNoOther() {
    Set<Address> followers =
        LookupClient.followingIndexes(
            List.of(
                descriptor("b-index", "index", "east", 2),
                descriptor("a-index", "index", "east", 1),
                descriptor("c-index", "index", "west", 3),
                descriptor("0-relay", "relay", "west", 4)));
    Assertions.assertEquals(Set.of(Address.of("1.1.1.1:1"), Address.of("1.1.1.1:3")), followers);
    Assertions.assertEquals(Set.of(), LookupClient.followingIndexes(List.of()));
  }

  @Test
  void theNextIndexFollowsOnceTheFirstIsNoLongerSeen() {
    Shuffle.Descriptor next = descriptor("b-index", "index", "east", 2);
    Assertions.assertEquals(
        Set.of(Address.of("1.1.1.1:2")), LookupClient.followingIndexes(List.of(next)));
  }

  /** Relays tell whom the indexes themselves take to follow, whatever each of them sees. */
  @Test
  void theFollowingIndexIsTheOneThatDoesNotStandBy() {
    Shuffle.Descriptor first = descriptor("a-index", "index", "east", 1);
    Shuffle.Descriptor second = descriptor("b-index", "index", "east", 2);
    Shuffle.Descriptor elsewhere = descriptor("0-index", "index", "west", 3);
    Assertions.assertFalse(ZoneFollower.isStandby(first, List.of(second, elsewhere)));
    Assertions.assertTrue(ZoneFollower.isStandby(second, List.of(first, elsewhere)));
    Assertions.assertFalse(ZoneFollower.isStandby(second, List.of(elsewhere)));
    Assertions.assertFalse(ZoneFollower.isStandby(first, List.of()));
  }
}
