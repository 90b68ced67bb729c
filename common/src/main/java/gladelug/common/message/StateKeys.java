package gladelug.common.message;

import java.util.List;

/**
 * The names of the control state's keys on disk and on the wire. Data-plane processes may act on
 * the values of {@link #LEASED} keys only while they hold a lease; the core's members are pushed
 * without one.
 */
public final class StateKeys {
  public static final String CONFIGURATION = "policy",
      WEIGHTS = "weights",
      REPLICAS = "replicas",
      CORE = "core",
      SHARES = "shares";
  public static final String REPLICA_CONTROLLER_PREFIX = "commander/";

  /** How many keys the controllers of all replicas share, however many replicas come and go. */
  private static final int REPLICA_CONTROLLER_KEYS = 32;

  public static final List<String> LEASED = List.of(CONFIGURATION, WEIGHTS, REPLICAS);
  public static final List<String> PUSHED = List.of(CONFIGURATION, WEIGHTS, REPLICAS, CORE);

  /**
   * Marker among the keys that a data-plane process subscribes to: the process can decode pushes
   * with information on shared prefixes. Earlier releases ignore this key.
   */
  public static final String READS_PREFIX_SHARING = "policy/prefix-sharing";

  private StateKeys() {}

  /**
   * Returns the key whose owner commands a replica. Replicas share a fixed number of keys, since a
   * key is never forgotten and a replica has a new name after each of its starts.
   */
  public static String replicaControllerKey(String instance) {
    return REPLICA_CONTROLLER_PREFIX
        + "group-"
        + Math.floorMod(instance.hashCode(), REPLICA_CONTROLLER_KEYS);
  }
}
