/*
 * The names of the control state's keys. Three of them need a licence to be acted on; the core's
 * members are news without one.
 */
package gladelug.kernel.message;

import java.util.List;

public final class Keys {
    public static final String POLICY = "policy", WEIGHTS = "weights", REPLICAS = "replicas", CORE = "core",
        SHARES = "shares";
    public static final String COMMANDER = "commander/";
    public static final List<String> LICENSED = List.of(POLICY, WEIGHTS, REPLICAS);
    public static final List<String> NEWS = List.of(POLICY, WEIGHTS, REPLICAS, CORE);

    private Keys() {}
}
