/*
 * One holder as the summary knows it: its dense id, its feed, when it was last heard. Pure; who
 * asks it for its list is set by whoever has the connections.
 */
package gladelug.data.index;

import gladelug.kernel.configuration.Replicas.Replica;
import java.util.function.LongConsumer;

public final class Holder {
    private static final long SILENT = 3000;
    public final Replica replica;
    public final Feed feed;
    final int id;
    long capacity;
    boolean inNext;
    /** Listed no more: what still arrives must not touch the entries of whoever has its id next. */
    boolean dropped;
    /** Has answered or failed to at least once. */
    public boolean tried;
    public long heard;
    private LongConsumer lists = nr -> {};

    Holder(Replica r, int id, long now, Feed.Effects fx) {
        this.replica = r;
        this.id = id;
        this.heard = now;
        this.feed = new Feed(new Feed.Effects() {
            @Override public void insert(long b) {
                if (!dropped) fx.insert(b);
            }

            @Override public void remove(long b) {
                if (!dropped) fx.remove(b);
            }

            @Override public void load(long[] bs) {
                if (!dropped) fx.load(bs);
            }

            @Override public void list(long nr) {
                if (!dropped) lists.accept(nr);
            }
        });
    }

    public void lists(LongConsumer asks) {
        lists = asks;
    }

    boolean silent(long now) {
        return now - heard > SILENT;
    }
}
