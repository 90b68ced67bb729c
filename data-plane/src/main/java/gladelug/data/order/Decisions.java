/*
 * The bounded ring of decisions a relay remembers, by the order's number. An older one is
 * overwritten and then said to be.
 */
package gladelug.data.order;

import java.util.concurrent.atomic.AtomicReferenceArray;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Decisions {
    public sealed interface Found {
        record Yes(Decision decision) implements Found {}

        record Overwritten() implements Found {}

        record Unknown() implements Found {}

        record OtherRun() implements Found {}

        record Malformed() implements Found {}
    }

    private final AtomicReferenceArray<Decision> ring;
    private final String relay;
    private final String run;
    private long next;

    public Decisions(int size, String relay, long run) {
        this.ring = new AtomicReferenceArray<>(size);
        this.relay = relay;
        this.run = String.format("%04x", run & 0xffff);
    }

    public String run() {
        return run;
    }

    /** From the order thread only. */
    public Decision begin(long came) {
        long n = next;
        Decision d = new Decision(relay + "." + run + "." + n, n, came);
        ring.set((int) (n % ring.length()), d);
        next = n + 1;
        return d;
    }

    public Found find(String id) {
        String[] ps = id.split("\\.", -1);
        long n;
        try {
            n = ps.length == 3 ? Long.parseLong(ps[2]) : -1;
        } catch (NumberFormatException e) {
            n = -1;
        }
        if (n < 0 || ps[0].isEmpty() || !ps[1].matches("[0-9a-f]{4}")) return new Found.Malformed();
        if (!ps[0].equals(relay)) return new Found.Unknown();
        if (!ps[1].equals(run)) return new Found.OtherRun();
        // the slot alone tells all three, so that no two askers can see different moments
        Decision d = ring.get((int) (n % ring.length()));
        if (d == null || d.nr < n) return new Found.Unknown();
        return d.nr == n ? new Found.Yes(d) : new Found.Overwritten();
    }

    static final class Tests {
        /** One thread begins orders, others ask. */
        public static final class Asked {
            private final Decisions d = new Decisions(2, "r", 0xabcdL);

            @Operation(nonParallelGroup = "order thread") public String begin() {
                return d.begin(0).id;
            }

            @Operation public String find(@Param(gen = IntGen.class, conf = "0:3") int n) {
                return d.find("r.abcd." + n).getClass().getSimpleName();
            }
        }

        @Test void whoAsksWhileOrdersBeginIsToldTheTruth() {
            new ModelCheckingOptions().iterations(5).invocationsPerIteration(100).threads(2).actorsPerThread(4)
                .check(Asked.class);
        }

        @Test void remembersTheLastAndSaysWhatBecameOfOthers() {
            Decisions ds = new Decisions(4, "r1", 0xabcdL);
            for (int i = 0; i < 6; i++) ds.begin(0);
            Assertions.assertTrue(ds.find("r1.abcd.5") instanceof Found.Yes);
            Assertions.assertTrue(ds.find("r1.abcd.2") instanceof Found.Yes);
            Assertions.assertTrue(ds.find("r1.abcd.1") instanceof Found.Overwritten);
            Assertions.assertTrue(ds.find("r1.abcd.6") instanceof Found.Unknown);
            Assertions.assertTrue(ds.find("r1.abce.5") instanceof Found.OtherRun);
            for (String s : new String[]{"", "r1", "r1.abcd.x", "r1.zz.1", "r1.abcd.-1", "a.b.c.d"})
                Assertions.assertTrue(ds.find(s) instanceof Found.Malformed, s);
        }
    }
}
