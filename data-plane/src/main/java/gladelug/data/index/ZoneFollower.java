package gladelug.data.index;

import gladelug.common.message.Shuffle;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Selects the index of a zone that follows the holders if only one does: of the visible indexes,
 * the first by name. The indexes and the relays that report placements to them use the same rule.
 * Performs no I/O.
 */
public final class ZoneFollower {
  private static final String INDEX = "index";

  private ZoneFollower() {}

  /** Returns the index that follows the holders, by zone. */
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

  /**
   * Returns whether an index stands by because it sees another index of its zone that precedes it
   * by name.
   */
  public static boolean isStandby(Shuffle.Descriptor self, Collection<Shuffle.Descriptor> others) {
    Shuffle.Descriptor first = followersByZone(others).get(self.zone());
    return first != null && first.name().compareTo(self.name()) < 0;
  }
}
