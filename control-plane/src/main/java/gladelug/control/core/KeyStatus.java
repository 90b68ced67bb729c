package gladelug.control.core;

/**
 * The status of one key as a member shows it to operators. It may be outdated, so no decision may
 * depend on it.
 *
 * @param key the name of the key
 * @param owner the name of the member that owns the key as far as known; empty if none is reachable
 * @param epoch the epoch of the value
 * @param number the version number of the value
 * @param digest the digest of the value
 * @param leaseCount how many leases are valid; -1 at a member that does not own the key
 * @param confirmedAgoMs time since a majority last confirmed the owner, ms; -1 at a member that
 *     does not own the key
 */
public record KeyStatus(
    String key,
    String owner,
    long epoch,
    long number,
    String digest,
    int leaseCount,
    long confirmedAgoMs) {}
