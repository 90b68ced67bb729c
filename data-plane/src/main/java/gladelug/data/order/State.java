/*
 * Where an order is: waiting, handed over, streaming, ended. One atomic step takes it out of
 * waiting, either to a replica or to being turned away, so it never has two fates. Only a replica
 * that says "not run", or a repeatable order with nothing yet out, goes back to waiting.
 */
package gladelug.data.order;

import java.util.concurrent.atomic.AtomicInteger;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

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
        /** The steps that the order thread, an expiry and a caller going away may take at once. */
        public static final class Fates {
            private final State s = new State();

            @Operation public boolean handOver() {
                return s.step(At.WAITING, At.HANDED);
            }

            @Operation public boolean turnAway() {
                return s.step(At.WAITING, At.ENDED);
            }

            @Operation public boolean firstPiece() {
                return s.step(At.HANDED, At.STREAMING);
            }

            @Operation public boolean notRunThere() {
                return s.step(At.HANDED, At.WAITING);
            }

            @Operation public boolean end() {
                return s.end();
            }

            @Operation public At at() {
                return s.at();
            }
        }

        @Test void everyInterleavingIsAsIfOneAfterTheOther() {
            new ModelCheckingOptions().iterations(5).invocationsPerIteration(100).threads(3).actorsPerThread(3)
                .check(Fates.class);
        }
    }
}
