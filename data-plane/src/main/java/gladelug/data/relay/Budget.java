/*
 * Second tries are paid for: every first try of a service earns 0.15 of one, and a small allowance
 * stands at the start, so that over the fleet they stay under a fifth whatever fails.
 */
package gladelug.data.relay;

import java.util.HashMap;
import java.util.Map;

public final class Budget {
    static final double EARN = 0.15, ALLOWANCE = 1, MOST = 3;
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
}
