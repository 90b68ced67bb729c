/*
 * Second tries are paid for: every first try of a service earns 0.15 of one, and a small allowance
 * stands at the start, so that over the fleet they stay under a fifth whatever fails.
 */
package gladelug.data.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Budget {
    private static final double EARN = 0.15, ALLOWANCE = 1, MOST = 3;
    private final Map<String, double[]> tokens = new HashMap<>();

    private double[] of(String service) {
        return tokens.computeIfAbsent(service, s -> new double[]{ALLOWANCE});
    }

    public void firstTry(String service) {
        double[] t = of(service);
        t[0] = Math.min(MOST, t[0] + EARN);
    }

    public boolean secondTry(String service) {
        double[] t = of(service);
        if (t[0] < 1) return false;
        t[0]--;
        return true;
    }

    static final class Tests {
        @Test void neverAboveAFifthAndTheAllowanceWhateverIsAsked() {
            Random r = new Random(3);
            Budget b = new Budget();
            int first = 0, second = 0;
            for (int i = 0; i < 10_000; i++) {
                if (r.nextInt(5) > 0) {
                    b.firstTry("s");
                    first++;
                }
                for (int j = 0; j < 3; j++) if (b.secondTry("s")) second++;
                Assertions.assertTrue(second <= first * 0.2 + ALLOWANCE);
            }
            Assertions.assertTrue(second > first / 10);
        }
    }
}
