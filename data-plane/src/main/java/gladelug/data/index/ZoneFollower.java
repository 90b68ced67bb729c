package gladelug.data.index;

import gladelug.common.message.Shuffle;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Which index of a zone follows the holders where one does: the first by name of those that are
 * seen. The indexes and the relays that tell them of placements go by this one rule. Pure.
 */
public final class ZoneFollower {
  private static final String INDEX = "index";

  private ZoneFollower() {}

  /** The index that follows, by zone. */
  public static Map<String, Shuffle.Descriptor> followersByZone(
      Collection<Shuffle.Descriptor> seen) {
    return seen.stream()
        .filter(node -> node.role().equals(INDEX))
        .collect(
            Collectors.toMap(
                Shuffle.Descriptor::zone,
                Function.identity(),
                BinaryOperator.minBy(Comparator.comparing(Shuffle.Descriptor::name))));
  }

  /** Whether an index stands by: another of its zone that it sees comes first. */
  public static boolean isStandby(Shuffle.Descriptor self, Collection<Shuffle.Descriptor> others) {
    Shuffle.Descriptor first = followersByZone(others).get(self.zone());
    return first != null && first.name().compareTo(self.name()) < 0;
  }
}
