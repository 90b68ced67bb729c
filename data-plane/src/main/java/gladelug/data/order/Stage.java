/*
 * One step on an order's way through the relay, as a plug-in. It writes its reason into the
 * order's decision and says how the order goes on, now or later, always on the order thread.
 */
package gladelug.data.order;

import io.smallrye.mutiny.Uni;

public interface Stage {
    String name();

    Uni<Verdict> pass(Order o);

    /** For stages that decide at once. */
    interface AtOnce extends Stage {
        Verdict decide(Order o);

        @Override default Uni<Verdict> pass(Order o) {
            return Uni.createFrom().item(decide(o));
        }
    }
}
