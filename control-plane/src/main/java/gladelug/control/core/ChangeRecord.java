package gladelug.control.core;

import java.util.Map;

/**
 * One change of a key as shown to operators: when it was applied and by which member, what it
 * changed, and which processes reported it to this member. Times are wall-clock times in ms since
 * the Unix epoch.
 *
 * @param number the key's version number after the change
 * @param digest the digest of the value after the change
 * @param appliedAt when the owner applied it
 * @param appliedBy the member that applied it
 * @param summary a short description of what changed, for people
 * @param acknowledgedAt when the change was acknowledged; 0 if this member does not know
 * @param firstSeenAt by data-plane process name: when the process first reported this number
 */
public record ChangeRecord(
    long number,
    String digest,
    long appliedAt,
    String appliedBy,
    String summary,
    long acknowledgedAt,
    Map<String, Long> firstSeenAt) {}
