/*
 * Where an order is: waiting, handed over, streaming, ended. One atomic step takes it out of
 * waiting, either to a replica or to being turned away, so it never has two fates. Only a replica
 * that says "not run", or a repeatable order with nothing yet out, goes back to waiting.
 */
package gladelug.data.order;

import java.util.concurrent.atomic.AtomicInteger;

public final class State {
    public enum At { WAITING, HANDED, STREAMING, ENDED }

    private final AtomicInteger at = new AtomicInteger(At.WAITING.ordinal());

    public At at() {
        return At.values()[at.get()];
    }

    public boolean step(At from, At to) {
        return at.compareAndSet(from.ordinal(), to.ordinal());
    }

    /** True for exactly one caller, whatever the order was at. */
    public boolean end() {
        return at.getAndSet(At.ENDED.ordinal()) != At.ENDED.ordinal();
    }

    static final class Tests {
        @org.junit.jupiter.api.Test void ofManyWhoWouldDecideExactlyOneDoes() throws InterruptedException {
            for (int round = 0; round < 300; round++) {
                State s = new State();
                AtomicInteger won = new AtomicInteger();
                Thread[] ts = new Thread[4];
                for (int i = 0; i < ts.length; i++) {
                    boolean hand = i % 2 == 0;
                    ts[i] = new Thread(() -> {
                        if (s.step(At.WAITING, hand ? At.HANDED : At.ENDED)) won.incrementAndGet();
                    });
                }
                for (Thread t : ts) t.start();
                for (Thread t : ts) t.join();
                org.junit.jupiter.api.Assertions.assertEquals(1, won.get());
            }
        }
    }
}
