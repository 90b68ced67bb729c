/*
 * One request on its way: what the caller asked for, what was found on the way, and who is to be
 * told of its end. Touched by the request thread alone but for its state.
 */
package gladelug.data.request;

import gladelug.data.relay.Backend;
import gladelug.kernel.message.Lookup;
import gladelug.kernel.configuration.Configuration;
import java.util.List;
import java.util.function.Consumer;

public final class Request {
    public final State state = new State();
    public final Decision decision;
    public final long came;
    public final String keyHash;
    public final String path;
    public final Caller caller;
    public Configuration.Tenant tenant;
    public Configuration.Route route;
    public Configuration.Service service;
    public String leaf = "";
    public long deadline;
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
    public Consumer<Verdict> leaveQueue;

    /** The caller's side of a request. */
    public interface Caller {
        void refuse(Request o, Verdict.Refuse v);

        /** False where the caller can't take more for now; ready is then called once. */
        boolean piece(Request o, String json, Runnable ready);

        void complete(Request o, int pieces);

        void cutOff(Request o, String why);
    }

    public Request(Decision d, long came, String keyHash, String path, Caller caller) {
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
