package gladelug.common.message;

import java.util.List;

/**
 * The names of the control state's keys, as they stand on disk and on the wire. Three of them need
 * a lease to be acted on; the core's members are pushed without one.
 */
public final class StateKeys {
  public static final String CONFIGURATION = "policy",
      WEIGHTS = "weights",
      REPLICAS = "replicas",
      CORE = "core",
      SHARES = "shares";
  public static final String REPLICA_CONTROLLER_PREFIX = "commander/";
  public static final List<String> LEASED = List.of(CONFIGURATION, WEIGHTS, REPLICAS);
  public static final List<String> PUSHED = List.of(CONFIGURATION, WEIGHTS, REPLICAS, CORE);

  /**
   * Among the keys that a data-plane process asks for, this one says that it can read pushes with a
   * record of shared prefixes. Releases before that don't know the key and pass it over.
   */
  public static final String READS_PREFIX_SHARING = "policy/prefix-sharing";

  private StateKeys() {}
}
