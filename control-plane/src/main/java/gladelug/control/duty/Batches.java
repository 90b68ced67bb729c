/*
 * When a replica may begin to load newly named weights, so that some capacity always serves: the
 * replicas of a service, in order of instance, go in thirds. A third may go once everyone in the
 * thirds before it runs the new weights, or when its own time has come, because a replica that
 * never loads must not hold the rest until the cutoff. Pure, and the same at every commander, so
 * that those of different replicas need not talk.
 */
package gladelug.control.duty;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

final class Batches {
    static final int THIRDS = 3;

    private Batches() {}

    /** all: the service's listed replicas; moved: those known to run the new weights; age: ms since the naming; cutoff as at the relays. */
    static boolean may(String instance, List<String> all, Set<String> moved, long age, long cutoff) {
        List<String> order = List.copyOf(new TreeSet<>(all));
        int i = order.indexOf(instance);
        if (i < 0) return false;
        int size = Math.max(1, (order.size() + THIRDS - 1) / THIRDS), third = i / size;
        if (age >= third * cutoff / THIRDS) return true;
        for (int j = 0; j < third * size; j++) if (!moved.contains(order.get(j))) return false;
        return true;
    }

    static final class Tests {
        @org.junit.jupiter.api.Test void aThirdAtATimeAndNobodyHoldsTheRestForEver() {
            List<String> all = List.of("a", "b", "c", "d", "e", "f", "g");
            org.junit.jupiter.api.Assertions.assertTrue(may("a", all, Set.of(), 0, 15000) && may("c", all, Set.of(), 0, 15000));
            org.junit.jupiter.api.Assertions.assertFalse(may("d", all, Set.of("a", "b"), 4999, 15000));
            org.junit.jupiter.api.Assertions.assertTrue(may("d", all, Set.of("a", "b", "c"), 100, 15000));
            org.junit.jupiter.api.Assertions.assertFalse(may("g", all, Set.of("a", "b", "c"), 100, 15000));
            org.junit.jupiter.api.Assertions.assertTrue(may("d", all, Set.of("a", "b"), 5000, 15000));
            org.junit.jupiter.api.Assertions.assertTrue(may("g", all, Set.of(), 10000, 15000));
            org.junit.jupiter.api.Assertions.assertFalse(may("x", all, Set.of(), 10000, 15000));
        }
    }
}
