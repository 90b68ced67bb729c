package gladelug.common.configuration;

import gladelug.common.Digest;
import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which cached prefixes the tenants that are not isolated share: those that were cached since one
 * configuration was in force. Replicas and stores have no call that drops a prefix, so what a
 * tenant cached while it shared stays where the others find it. When such a tenant becomes
 * isolated, those who go on sharing therefore begin anew, and what was cached before is found by
 * nobody any more. Nothing else makes them begin anew.
 *
 * <p>A configuration tells only who is isolated now, so this is what has to be remembered beside
 * it: since when they share, and who has shared since then and is not configured any more, as such
 * a tenant may come back isolated. It is written with the configuration, as one value, by whoever
 * owns that key; so it is the same wherever the configuration is.
 *
 * <p>Immutable. What holds, with `since` the configuration that they began with: a tenant that is
 * configured as isolated has not shared since then; one that is configured otherwise may have; of
 * all others {@link #mayHaveShared} tells.
 *
 * @param effectiveSince the number of the configuration with which sharing began anew; 0 where it
 *     never did, below 0 where a value of an earlier release has no record of it
 * @param formerTenants fingerprints of the names of tenants that shared since then and are not
 *     configured any more
 * @param complete whether formerTenants lacks none of them
 */
public record PrefixSharing(long since, Set<Long> formerTenants, boolean complete) {
  /** Of a configuration that was written by a release that did not record it. */
  public static final PrefixSharing UNRECORDED = new PrefixSharing(-1, Set.of(), false);

  /** Of the first configuration of a fleet: nothing was shared before. */
  public static final PrefixSharing FIRST = new PrefixSharing(0, Set.of(), true);

  /**
   * How many former tenants are remembered, 8 bytes each. With more, every tenant that is new and
   * isolated is taken for one that shared.
   */
  public static final int MAX_FORMER_TENANTS = 512;

  private static final int FORMAT_VERSION = 1;

  /** Sharing begins with the configuration that has this number. */
  public static PrefixSharing startingAt(long number) {
    return new PrefixSharing(number, Set.of(), true);
  }

  public PrefixSharing {
    formerTenants = Set.copyOf(formerTenants);
  }

  /** Whether it is written beside the configuration. */
  public boolean isRecorded() {
    return since >= 0;
  }

  /**
   * What holds for the configuration that follows.
   *
   * @param before the configuration that this is of
   * @param beforeNumber its number, 0 where there was none
   * @param after the configuration with the next number
   */
  public PrefixSharing next(Configuration before, long beforeNumber, Configuration after) {
    if (beforeNumber == 0) return FIRST;
    if (!isRecorded()) return nextFromUnrecorded(before, beforeNumber, after);
    return isolatesFormerSharer(before, after)
        ? startingAt(beforeNumber + 1)
        : addingFormerTenants(sharingNames(before), allNames(after));
  }

  /** Stays unrecorded while nobody is isolated, so that the release before can read the value. */
  private static PrefixSharing nextFromUnrecorded(
      Configuration before, long beforeNumber, Configuration after) {
    boolean isolatedBefore = !isolatedNames(before).isEmpty();
    if (!isolatedBefore && isolatedNames(after).isEmpty()) return UNRECORDED;
    PrefixSharing assumed =
        isolatedBefore ? startingAt(beforeNumber) : new PrefixSharing(0, Set.of(), false);
    return assumed.next(before, beforeNumber, after);
  }

  /**
   * Since when the tenants of a configuration share, as relays have to take it.
   *
   * @param recorded what came with the configuration, below 0 where nothing did: then some tenant
   *     may have shared before it became isolated, unless none is
   */
  public static long effectiveSince(long recorded, Configuration configuration, long number) {
    if (recorded >= 0) return recorded;
    return isolatedNames(configuration).isEmpty() ? 0 : number;
  }

  /** Whether a tenant that the configuration doesn't have may have shared since then. */
  boolean mayHaveShared(String absentTenant) {
    return !complete || formerTenants.contains(fingerprint(absentTenant));
  }

  private boolean isolatesFormerSharer(Configuration before, Configuration after) {
    Set<String> shared = sharingNames(before);
    Set<String> known = allNames(before);
    for (String name : isolatedNames(after))
      if (shared.contains(name) || !known.contains(name) && mayHaveShared(name)) return true;
    return false;
  }

  private PrefixSharing addingFormerTenants(Set<String> shared, Set<String> configured) {
    Set<Long> former = new HashSet<>(formerTenants);
    boolean all = complete;
    for (String name : shared)
      if (!configured.contains(name)) {
        if (former.size() < MAX_FORMER_TENANTS) former.add(fingerprint(name));
        else all &= former.contains(fingerprint(name));
      }
    return new PrefixSharing(since, former, all);
  }

  /** The names of isolated tenants; one that is configured twice is isolated if it is once. */
  private static Set<String> isolatedNames(Configuration configuration) {
    Set<String> names = new HashSet<>();
    for (Configuration.Tenant tenant : configuration.tenants)
      if (tenant.isolated()) names.add(tenant.name());
    return names;
  }

  private static Set<String> sharingNames(Configuration configuration) {
    Set<String> names = new HashSet<>();
    for (Configuration.Tenant tenant : configuration.tenants)
      if (!tenant.isolated()) names.add(tenant.name());
    return names;
  }

  private static Set<String> allNames(Configuration configuration) {
    Set<String> names = new HashSet<>();
    for (Configuration.Tenant tenant : configuration.tenants) names.add(tenant.name());
    return names;
  }

  /** Two names with one fingerprint may cost a beginning anew, never hide one. */
  private static long fingerprint(String name) {
    return ByteBuffer.wrap(Digest.sha256().digest(name.getBytes(StandardCharsets.UTF_8))).getLong();
  }

  /** Writes it as it ends a value on the wire and on disk; nothing where it isn't recorded. */
  public void write(DataOutputStream out) throws IOException {
    if (!isRecorded()) return;
    out.writeByte(FORMAT_VERSION);
    out.writeLong(since);
    out.writeBoolean(complete);
    WireRecord.writeList(
        out, new TreeSet<>(formerTenants).stream().toList(), DataOutputStream::writeLong);
  }

  /** Reads what {@link #write} wrote; an IOException where that is no such thing. */
  public static PrefixSharing read(DataInputStream in) throws IOException {
    int format = in.readUnsignedByte();
    if (format != FORMAT_VERSION)
      throw new IOException("sharing in format " + format + ", as of a newer release");
    long since = in.readLong();
    boolean complete = in.readBoolean();
    Set<Long> former = new HashSet<>(WireRecord.readList(in, DataInputStream::readLong));
    if (since < 0 || former.size() > MAX_FORMER_TENANTS)
      throw new IOException("no record of shared prefixes: since " + since);
    return new PrefixSharing(since, former, complete);
  }
}
