/*
 * The difference between two values of a key, for a push: how much of the old one's beginning and
 * end stays, and what stands between now. A policy that grows or changes in one place is small that
 * way, however large it is. Whoever applies it checks the digest of what comes out.
 */
package gladelug.kernel.message;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Delta {
    private Delta() {}

    /** Null where sending the value whole is hardly longer. */
    public static byte[] between(byte[] old, byte[] now) {
        int most = Math.min(old.length, now.length), head = 0, tail = 0;
        while (head < most && old[head] == now[head]) head++;
        while (tail < most - head && old[old.length - 1 - tail] == now[now.length - 1 - tail]) tail++;
        int middle = now.length - head - tail;
        if (middle + 64 > now.length / 2) return null;
        return ByteBuffer.allocate(8 + middle).putInt(head).putInt(tail).put(now, head, middle).array();
    }

    /** Null where the delta can't be one of this value. */
    public static byte[] apply(byte[] old, byte[] delta) {
        if (delta.length < 8) return null;
        ByteBuffer b = ByteBuffer.wrap(delta);
        int head = b.getInt(), tail = b.getInt(), middle = delta.length - 8;
        if (head < 0 || tail < 0 || (long) head + tail > old.length) return null;
        byte[] out = Arrays.copyOf(old, head + middle + tail);
        System.arraycopy(delta, 8, out, head, middle);
        System.arraycopy(old, old.length - tail, out, head + middle, tail);
        return out;
    }

    static final class Tests {
        @Test void whatIsAppliedIsWhatWasMeant() {
            Random r = new Random(1);
            int small = 0;
            for (int i = 0; i < 2000; i++) {
                byte[] a = new byte[500 + r.nextInt(500)];
                for (int j = 0; j < a.length; j++) a[j] = (byte) r.nextInt(3);
                int from = r.nextInt(a.length), out = r.nextInt(Math.min(60, a.length - from) + 1), in = r.nextInt(60);
                byte[] b = new byte[a.length - out + in];
                System.arraycopy(a, 0, b, 0, from);
                for (int j = 0; j < in; j++) b[from + j] = (byte) r.nextInt(3);
                System.arraycopy(a, from + out, b, from + in, a.length - from - out);
                byte[] d = between(a, b);
                if (d == null) continue;
                small++;
                Assertions.assertArrayEquals(b, apply(a, d));
            }
            Assertions.assertTrue(small > 1500);
            Assertions.assertNull(apply(new byte[3], new byte[]{0, 0, 0, 9, 0, 0, 0, 0}));
            Assertions.assertNull(apply(new byte[3], new byte[2]));
        }
    }
}
