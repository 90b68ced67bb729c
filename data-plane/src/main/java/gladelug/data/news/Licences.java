/*
 * The licences this process holds, one per licensed key, as expiries in its own monotonic time.
 * A grant counts from when it was asked for, less a margin for clocks that drift, and is taken
 * only from an epoch not below the highest seen and for exactly the number held. Pure.
 */
package gladelug.data.news;

import gladelug.kernel.message.Keys;
import gladelug.kernel.message.News;
import java.util.concurrent.atomic.AtomicLongArray;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Licences {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final AtomicLongArray expiry = new AtomicLongArray(Keys.LICENSED.size());
    private final AtomicLongArray epoch = new AtomicLongArray(Keys.LICENSED.size());
    private volatile long cutoffAt = NEVER;

    public Licences() {
        for (int i = 0; i < expiry.length(); i++) expiry.set(i, NEVER);
    }

    /** When the last of the licences ran out or will: the moment up to which orders may start. */
    public long until() {
        long t = Long.MAX_VALUE;
        for (int i = 0; i < expiry.length(); i++) t = Math.min(t, expiry.get(i));
        return t;
    }

    public long until(String key) {
        return expiry.get(Keys.LICENSED.indexOf(key));
    }

    public boolean valid(long now) {
        return now < until();
    }

    /** From this moment nothing starts on weights named before the newest. */
    public long cutoffAt() {
        return cutoffAt;
    }

    /** A push under this epoch was taken. */
    public void seen(String key, long e) {
        int k = Keys.LICENSED.indexOf(key);
        if (k >= 0) epoch.set(k, Math.max(epoch.get(k), e));
    }

    public long epoch(String key) {
        int k = Keys.LICENSED.indexOf(key);
        return k < 0 ? 0 : epoch.get(k);
    }

    public void granted(News.Grant g, long asked, long held) {
        int k = Keys.LICENSED.indexOf(g.key());
        if (k < 0 || g.epoch() < epoch.get(k) || g.number() != held) return;
        epoch.set(k, g.epoch());
        long margin = 10 + g.left() / 50;
        expiry.set(k, Math.max(expiry.get(k), asked + g.left() - margin));
        if (g.key().equals(Keys.WEIGHTS)) cutoffAt = asked + g.cutoffLeft();
    }

    static final class Tests {
        private static News.Grant g(String key, long epoch, long number, int left) {
            return new News.Grant(key, epoch, number, left, 0);
        }

        @Test void countsFromTheAskingAndOnlyForTheNumberHeld() {
            Licences l = new Licences();
            Assertions.assertFalse(l.valid(0));
            for (String k : Keys.LICENSED) l.granted(g(k, 5, 3, 1000), 100, 3);
            Assertions.assertEquals(100 + 1000 - 30, l.until());
            l.granted(g("policy", 6, 4, 5000), 200, 3);
            l.granted(g("policy", 4, 3, 5000), 200, 3);
            Assertions.assertEquals(1070, l.until("policy"));
            l.granted(g("policy", 7, 3, 1000), 900, 3);
            Assertions.assertEquals(1870, l.until("policy"));
            Assertions.assertFalse(l.valid(1070));
        }
    }
}
