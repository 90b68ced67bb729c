/*
 * What a member has learned for a key and not yet seen taken: who learned it may lose the key before the
 * change is through, and the source may say nothing more for a while. It is offered again, to whoever
 * owns the key, on the number it was based on, until it is taken, a newer number is there, or it
 * is too old to count. Pure.
 */
package gladelug.control.duty;

import gladelug.control.core.ChangeAnswer;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Learned {
    private static final long OLD = 30_000;
    private byte[] value;
    private long match;
    private long at;

    /** Something newer was learned, on this number. */
    public void learn(long number, byte[] v, long now) {
        value = v;
        match = number;
        at = now;
    }

    /** Offers again what is not yet through, if anything is. */
    public void offer(long now, BiConsumer<Long, byte[]> change) {
        if (value != null && now - at > OLD) value = null;
        if (value != null) change.accept(match, value);
    }

    public void answered(ChangeAnswer a) {
        boolean again = a instanceof ChangeAnswer.NoOwner || a instanceof ChangeAnswer.Busy
            || a instanceof ChangeAnswer.Unknown;
        if (!again) value = null;
    }

    static final class Tests {
        private static String offered(Learned l, long now) {
            StringBuilder sb = new StringBuilder();
            l.offer(now, (n, v) -> sb.append(n).append(':').append(v[0]));
            return sb.toString();
        }

        @Test void whatWasLearnedIsOfferedUntilItIsTakenOvertakenOrOld() {
            Learned l = new Learned();
            Assertions.assertEquals("", offered(l, 0));
            l.learn(7, new byte[]{1}, 0);
            l.answered(new ChangeAnswer.NoOwner());
            Assertions.assertEquals("7:1", offered(l, 250));
            l.answered(new ChangeAnswer.Unknown(8));
            Assertions.assertEquals("7:1", offered(l, 500));
            l.answered(new ChangeAnswer.Stale(9));
            Assertions.assertEquals("", offered(l, 750));
            l.learn(9, new byte[]{2}, 1000);
            Assertions.assertEquals("", offered(l, 32_000));
        }
    }
}
