package gladelug.control.core;

import gladelug.common.message.StateUpdate;
import java.util.List;
import java.util.Map;

/**
 * The state that a data-plane process reported with its last request.
 *
 * @param name its name in the fleet
 * @param incarnation distinguishes this run of the process from earlier ones
 * @param role its role, such as {@code relay}
 * @param peerAddress the address at which other processes reach it
 * @param operatorAddress the address at which operators reach it
 * @param zone the zone in which it runs
 * @param lastRequestAtMs when the request arrived, ms of the member's monotonic clock
 * @param versions the versions of keys that it holds
 * @param versionSinceMs by key: since when it has held that version, ms of the same clock
 * @param demands its demand on each quota
 * @param capacities the capacity of services as it observes it
 * @param relayedBy the member that relayed the request; empty for a direct one
 */
public record SubscriberStatus(
    String name,
    long incarnation,
    String role,
    String peerAddress,
    String operatorAddress,
    String zone,
    long lastRequestAtMs,
    List<StateUpdate.KnownVersion> versions,
    Map<String, Long> versionSinceMs,
    List<StateUpdate.QuotaDemand> demands,
    List<StateUpdate.ServiceCapacity> capacities,
    String relayedBy) {}
