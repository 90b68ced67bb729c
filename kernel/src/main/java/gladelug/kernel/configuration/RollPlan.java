/*
 * In which order a service's replicas take newly named weights, so that some capacity always serves: by instance, in
 * thirds, each at its time after the naming. Pure and the same for everybody: commanders go by it, and relays know by
 * it who is about to load without being told.
 */
package gladelug.kernel.configuration;

import java.util.Collection;

public final class RollPlan {
    public static final int THIRDS = 3;

    private RollPlan() {}

    /** From 0; all: the instances of the service that take the weights, this one among them. */
    public static int third(String instance, Collection<String> all) {
        int before = 0;
        for (String x : all) if (x.compareTo(instance) < 0) before++;
        return before / size(all.size());
    }

    /** How many replicas go in one third. */
    public static int size(int all) {
        return Math.max(1, (all + THIRDS - 1) / THIRDS);
    }

    /** When a third goes at the latest, in ms after the naming; roll: what all three have, in ms. */
    public static long due(int third, long roll) {
        return third * roll / THIRDS;
    }
}
