/*
 * One replica as a relay sees it: what the platform lists, what it last told of itself, and what
 * this relay has handed it since. Touched by the request thread alone.
 */
package gladelug.data.relay;

import gladelug.kernel.configuration.Replicas.Replica;
import java.util.HashMap;
import java.util.Map;

public final class Backend {
    private static final long PROBE = 20_000, SILENT = 2000;
    public Replica replica;
    public boolean known;
    public String weights = "";
    public int slots = 1;
    public int blockBytes = 256;
    public double msPerBlock = 1;
    public double waitMs;
    public int reported;
    public int mine;
    public int mineAtReport;
    public double addedMs;
    public long reportedAt = Long.MIN_VALUE / 2;
    public long badUntil = Long.MIN_VALUE / 2;
    public Map<String, Double> links = new HashMap<>();
    private final Map<String, Long> pulledAt = new HashMap<>();

    public Backend(Replica r) {
        this.replica = r;
    }

    /** Requests it has, by its last report and what this relay did since. */
    public int load() {
        return mine + Math.max(0, reported - mineAtReport);
    }

    /** Its slots and one more, so that the next request is there when one ends. */
    public int places() {
        return slots + 1;
    }

    public int free() {
        return Math.max(0, places() - load());
    }

    public boolean usable(long now) {
        return known && now >= badUntil && now - reportedAt < SILENT;
    }

    /** Has told nothing of itself for so long that what it was given is given up; not by a relay just awake. */
    public boolean silent(long now, long awake) {
        return now - Math.max(reportedAt, awake) > SILENT;
    }

    public double queueMs(long now) {
        return Math.max(0, waitMs - (now - reportedAt)) + addedMs;
    }

    /**
     * Estimated ms to pull a block from a holder: as this replica measured it, else hopefully a quarter of computing
     * it.
     */
    public double linkMs(String holder, long now) {
        return unsure(holder, now) ? msPerBlock / 4 : links.get(holder);
    }

    /**
     * A link never measured, or found slow a while ago: only a pull shows what it is now. Such a pull
     * takes a block or two and no more, so that a slow link costs little each time.
     */
    public boolean unsure(String holder, long now) {
        Double m = links.get(holder);
        return m == null || m > msPerBlock / 4 && now - pulledAt.getOrDefault(holder, now - 1) > PROBE;
    }

    public void pulls(String holder, long now) {
        pulledAt.put(holder, now);
    }

    public void bad(long now, long ms) {
        badUntil = Math.max(badUntil, now + ms);
    }
}
