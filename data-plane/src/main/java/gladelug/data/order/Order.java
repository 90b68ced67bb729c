/*
 * One order on its way: what the caller asked for, what was found on the way, and who is to be
 * told of its end. Touched by the order thread alone but for its state.
 */
package gladelug.data.order;

import gladelug.data.relay.Backend;
import gladelug.kernel.message.Lookup;
import gladelug.kernel.policy.Policy;
import java.util.List;
import java.util.function.Consumer;

public final class Order {
    public final State state = new State();
    public final Decision decision;
    public final long came;
    public final String keyHash;
    public final String path;
    public final Caller caller;
    public Policy.Tenant tenant;
    public Policy.Mapping mapping;
    public Policy.Service service;
    public String leaf = "";
    public long expiry;
    public long handedAt;
    public boolean repeatable;
    /** What the caller said of it, or null. */
    public Boolean askedRepeatable;
    public String prompt = "";
    public int maxPieces;
    public String weights = "";
    public String wall = "";
    public long[] blocks = new long[0];
    public List<Lookup.Match> matches = List.of();
    public Backend backend;
    public int matched;
    public String fetchFrom = "";
    public int fetchBlocks;
    public int tries;
    /** A replica had it and didn't say that it did not run it, so nothing may be called not-run any more. */
    public boolean mayHaveRun;
    public int choices;
    public boolean admitted;
    public int piecesOut;
    public boolean gone;
    public Runnable cancel = () -> {};
    /** Told why, where its replica is known to be silent; nothing more of it counts then. */
    public Consumer<String> lost = why -> {};
    public Consumer<Verdict> leaveBacklog;

    /** The caller's side of an order. */
    public interface Caller {
        void turnAway(Order o, Verdict.TurnAway v);

        /** False where the caller can't take more for now; ready is then called once. */
        boolean piece(Order o, String json, Runnable ready);

        void complete(Order o, int pieces);

        void cutOff(Order o, String why);
    }

    public Order(Decision d, long came, String keyHash, String path, Caller caller) {
        this.decision = d;
        this.came = came;
        this.keyHash = keyHash;
        this.path = path;
        this.caller = caller;
    }

    public String id() {
        return decision.id;
    }
}
