package gladelug.control.core;

import gladelug.common.message.StateUpdate;
import java.util.List;
import java.util.Map;

/**
 * What a data-plane process said of itself when it asked last.
 *
 * @param name its name in the fleet
 * @param incarnation tells this run of the process from those before it
 * @param role what it runs, such as {@code relay}
 * @param peerAddress where other processes reach it
 * @param operatorAddress where operators reach it
 * @param zone where it runs
 * @param lastRequestAtMs when it asked, ms of the member's monotonic clock
 * @param versions the versions of the keys that it holds
 * @param versionSinceMs by key: since when it holds that version, ms of the same clock
 * @param demands its demand for each quota
 * @param capacities the capacity of services as it sees it
 * @param relayedBy the member that passed its request on; empty where it asked directly
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
