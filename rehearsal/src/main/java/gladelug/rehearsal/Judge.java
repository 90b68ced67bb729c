/*
 * A judgement per must-never from the stand-ins' ledgers alone, naming the offending orders.
 */
package gladelug.rehearsal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Judge {
    public record Finding(String rule, List<String> offenders) {
        public boolean clean() {
            return offenders.isEmpty();
        }
    }

    /** Second tries that need no first ones: what four relays may have saved, and a few for relays that restart. */
    private static final int ALLOWANCE = 16;
    private static final long WINDOW = 10;

    private Judge() {}

    public static List<Finding> all(Ledger l) {
        Map<String, List<String>> m = new LinkedHashMap<>();
        for (String r : new String[]{"unrepeatable-ran-twice", "stream-lost-repeated-spliced", "cut-off-looks-complete",
            "bytes-of-another", "not-run-but-ran",
            "service-never-allowed", "cache-of-other-weights-or-wall", "two-commanders", "second-tries-over-a-fifth"})
            m.put(r, new ArrayList<>());
        for (Ledger.Call c : l.calls.values()) {
            List<Ledger.Run> rs = l.runs.getOrDefault(c.tag, List.of());
            long ran = rs.stream().filter(r -> r.ran).count();
            if (!c.repeatable && ran > 1) m.get("unrepeatable-ran-twice").add(c.tag + " ran " + ran + " times");
            if (c.misordered > 0) m.get("stream-lost-repeated-spliced").add(c.tag + " (" + c.order + ")");
            if (c.foreign > 0) m.get("bytes-of-another").add(c.tag + " (" + c.order + ")");
            boolean whole = rs.stream().anyMatch(r -> r.ended && r.pieces == c.pieces);
            if (c.outcome.equals("complete") && !whole)
                m.get("cut-off-looks-complete").add(c.tag + " with " + c.pieces + " pieces");
            if (c.status == 200 && c.bodyTerminated && !c.explicitEnd)
                m.get("cut-off-looks-complete").add(c.tag + " ended its body without an end");
            if (c.outcome.equals("not-run") && ran > 0)
                m.get("not-run-but-ran").add(c.tag + " (" + c.order + "): " + c.reason);
        }
        m.get("service-never-allowed").addAll(l.trapped);
        m.get("cache-of-other-weights-or-wall").addAll(l.wrongReuse);
        m.get("two-commanders").addAll(l.doubleCommand);
        m.get("second-tries-over-a-fifth").addAll(secondTries(l, 0.2, ALLOWANCE));
        List<Finding> out = new ArrayList<>();
        m.forEach((k, v) -> out.add(new Finding(k, v)));
        return out;
    }

    /**
     * Of each service, over the whole and over every window of ten seconds: second tries are at most a fraction of
     * first ones and an allowance.
     */
    public static List<String> secondTries(Ledger l, double fraction, double allowance) {
        Map<String, TreeMap<Long, int[]>> by = new TreeMap<>();
        for (List<Ledger.Run> runs : l.runs.values()) {
            List<Ledger.Run> rs;
            synchronized (runs) {
                rs = new ArrayList<>(runs);
            }
            for (int i = 0; i < rs.size(); i++)
                by.computeIfAbsent(rs.get(i).service, s -> new TreeMap<>())
                    .computeIfAbsent(rs.get(i).at / 1000, t -> new int[2])[i == 0 ? 0 : 1]++;
        }
        List<String> out = new ArrayList<>();
        by.forEach((service, seconds) -> {
            check(out, service, "in all", seconds.values(), fraction, allowance);
            for (long t : seconds.keySet())
                check(out, service, "in the 10 s from " + t, seconds.subMap(t, t + WINDOW).values(), fraction,
                    allowance);
        });
        return out;
    }

    private static void check(List<String> out, String service, String when, Collection<int[]> seconds, double fraction,
        double allowance) {
        int first = 0, second = 0;
        for (int[] n : seconds) {
            first += n[0];
            second += n[1];
        }
        if (second > first * fraction + allowance)
            out.add(service + " " + when + ": " + second + " second tries of " + first + " orders");
    }

    static final class Tests {
        private static Ledger.Call call(Ledger l, String tag, boolean repeatable, String outcome, int pieces) {
            Ledger.Call c = new Ledger.Call(tag, "k", "t", "r", repeatable, 0);
            c.outcome = outcome;
            c.status = outcome.equals("complete") ? 200 : 503;
            c.pieces = pieces;
            c.explicitEnd = c.bodyTerminated = outcome.equals("complete");
            l.calls.put(tag, c);
            return c;
        }

        private static void run(Ledger l, String tag, boolean ran, int pieces, boolean ended) {
            Ledger.Run r = new Ledger.Run(tag, "o", "s", "i", "w", "", 1, 0);
            r.ran = ran;
            r.pieces = pieces;
            r.ended = ended;
            l.run(r);
        }

        private static String verdicts(Ledger l) {
            StringBuilder sb = new StringBuilder();
            for (Finding f : all(l)) if (!f.clean()) sb.append(f.rule).append(' ');
            return sb.toString().trim();
        }

        @Test void aCleanDayIsClean() {
            Ledger l = new Ledger();
            call(l, "a", false, "complete", 5);
            run(l, "a", false, 0, false);
            run(l, "a", true, 5, true);
            call(l, "b", false, "not-run", 0);
            Assertions.assertEquals("", verdicts(l));
        }

        @Test void eachPlantedViolationIsCaught() {
            Ledger l = new Ledger();
            call(l, "a", false, "complete", 5);
            run(l, "a", true, 1, false);
            run(l, "a", true, 5, true);
            Assertions.assertEquals("unrepeatable-ran-twice", verdicts(l));
            l = new Ledger();
            call(l, "a", false, "not-run", 0);
            run(l, "a", true, 0, false);
            Assertions.assertEquals("not-run-but-ran", verdicts(l));
            l = new Ledger();
            call(l, "a", false, "complete", 3);
            run(l, "a", true, 5, true);
            Assertions.assertEquals("cut-off-looks-complete", verdicts(l));
            l = new Ledger();
            Ledger.Call c = call(l, "a", false, "none", 2);
            c.status = 200;
            c.bodyTerminated = true;
            run(l, "a", true, 2, false);
            Assertions.assertEquals("cut-off-looks-complete", verdicts(l));
            l = new Ledger();
            call(l, "a", false, "cut-off", 2).misordered = 1;
            call(l, "b", false, "cut-off", 2).foreign = 1;
            l.trapped.add("x");
            l.wrongReuse.add("x");
            l.doubleCommand.add("x");
            Assertions.assertEquals(
                "stream-lost-repeated-spliced bytes-of-another service-never-allowed "
                    + "cache-of-other-weights-or-wall two-commanders",
                verdicts(l));
            l = new Ledger();
            for (int i = 0; i < 100; i++) {
                call(l, "r" + i, true, "complete", 1);
                for (int j = 0; j < (i < 40 ? 2 : 1); j++) run(l, "r" + i, true, 1, true);
            }
            Assertions.assertEquals("second-tries-over-a-fifth", verdicts(l));
        }
    }
}
