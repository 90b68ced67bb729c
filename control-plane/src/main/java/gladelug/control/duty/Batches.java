/*
 * When a replica may begin to load newly named weights, so that some capacity always serves: the
 * replicas of a service, in order of instance, go in thirds. A third may go once everyone in the
 * thirds before it runs the new weights or doesn't answer, or when its own time has come, because a
 * replica that never loads must not hold the rest until the cutoff. Pure, and the same at every
 * commander, so that those of different replicas need not talk.
 */
package gladelug.control.duty;

import gladelug.kernel.configuration.RollPlan;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

final class Batches {
    /** What a commander knows of a replica: it runs the new weights, it runs others, or it doesn't answer. */
    enum Replica {
        MOVED, WAITING, SILENT
    }

    private Batches() {}

    /** all: the service's replicas that may be steered; age: ms since the naming; roll: ms all thirds have. */
    static boolean may(String instance, SortedMap<String, Replica> all, long age, long roll) {
        List<String> order = new ArrayList<>(all.keySet());
        if (!all.containsKey(instance)) return false;
        int size = RollPlan.size(order.size()), third = RollPlan.third(instance, order);
        if (age >= RollPlan.due(third, roll)) return true;
        for (int j = 0; j < third * size; j++) if (all.get(order.get(j)) == Replica.WAITING) return false;
        return true;
    }
}
