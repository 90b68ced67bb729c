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
 * Determines which cached prefixes the non-isolated tenants share: those cached since a given
 * configuration took effect. Replicas and stores have no call that drops a prefix, so entries that
 * a tenant cached while it shared remain visible to the other tenants. When such a tenant becomes
 * isolated, the remaining sharing tenants therefore start a new sharing scope, and no tenant finds
 * the entries cached before it. Nothing else starts a new scope.
 *
 * <p>A configuration lists only the tenants that are isolated now, so two more facts are kept
 * beside it: the configuration at which the current scope started, and the tenants that shared
 * since then and were removed, because such a tenant may return as isolated. The owner of the
 * configuration's key writes this record and the configuration as one value, so both are always
 * consistent.
 *
 * <p>Immutable. Invariant: a tenant configured as isolated has not shared since {@code since}; a
 * tenant configured as not isolated may have; for tenants that are not configured, see {@link
 * #mayHaveShared}.
 *
 * @param since number of the configuration at which the current sharing scope started; 0 if no
 *     scope was ever replaced, negative if the value was written by a release without this record
 * @param formerTenants fingerprints of the names of tenants that shared since then and are no
 *     longer configured
 * @param complete whether formerTenants contains all such tenants
 */
public record PrefixSharing(long since, Set<Long> formerTenants, boolean complete) {
  /** The record of a configuration written by a release without prefix-sharing records. */
  public static final PrefixSharing UNRECORDED = new PrefixSharing(-1, Set.of(), false);

  /** The record of a fleet's first configuration, before which nothing was shared. */
  public static final PrefixSharing FIRST = new PrefixSharing(0, Set.of(), true);

  /**
   * Maximum number of former tenants that are remembered, at 8 bytes each. Beyond it, every new
   * isolated tenant is assumed to have shared before.
   */
  public static final int MAX_FORMER_TENANTS = 512;

  private static final int FORMAT_VERSION = 1;

  /** Returns a record whose sharing scope starts at the configuration with the given number. */
  public static PrefixSharing startingAt(long number) {
    return new PrefixSharing(number, Set.of(), true);
  }

  public PrefixSharing {
    formerTenants = Set.copyOf(formerTenants);
  }

  /** Returns whether this record is written beside the configuration. */
  public boolean isRecorded() {
    return since >= 0;
  }

  /**
   * Returns the record that belongs to the next configuration.
   *
   * @param before the configuration that this record belongs to
   * @param beforeNumber number of that configuration, 0 if there was none
   * @param after the configuration with the next number
   */
  public PrefixSharing next(Configuration before, long beforeNumber, Configuration after) {
    if (beforeNumber == 0) return FIRST;
    if (!isRecorded()) return nextFromUnrecorded(before, beforeNumber, after);
    return isolatesFormerSharer(before, after)
        ? startingAt(beforeNumber + 1)
        : addingFormerTenants(sharingNames(before), allNames(after));
  }

  /** Stays unrecorded while no tenant is isolated, so that the previous release can read it. */
  private static PrefixSharing nextFromUnrecorded(
      Configuration before, long beforeNumber, Configuration after) {
    boolean isolatedBefore = !isolatedNames(before).isEmpty();
    if (!isolatedBefore && isolatedNames(after).isEmpty()) return UNRECORDED;
    PrefixSharing assumed =
        isolatedBefore ? startingAt(beforeNumber) : new PrefixSharing(0, Set.of(), false);
    return assumed.next(before, beforeNumber, after);
  }

  /**
   * Returns the number of the configuration at which the sharing scope that relays apply started.
   *
   * @param recorded the value received with the configuration, negative if none was: a tenant may
   *     then have shared before it became isolated, unless no tenant is isolated
   */
  public static long effectiveSince(long recorded, Configuration configuration, long number) {
    if (recorded >= 0) return recorded;
    return isolatedNames(configuration).isEmpty() ? 0 : number;
  }

  /** Returns whether a tenant that is not configured may have shared since {@link #since}. */
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

  /** Returns the names of tenants that at least one of their entries declares isolated. */
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

  /** Colliding fingerprints may start an unneeded scope, but never prevent a needed one. */
  private static long fingerprint(String name) {
    return ByteBuffer.wrap(Digest.sha256().digest(name.getBytes(StandardCharsets.UTF_8))).getLong();
  }

  /** Appends this record to a value on the wire or on disk; writes nothing if unrecorded. */
  public void write(DataOutputStream out) throws IOException {
    if (!isRecorded()) return;
    out.writeByte(FORMAT_VERSION);
    out.writeLong(since);
    out.writeBoolean(complete);
    WireRecord.writeList(
        out, new TreeSet<>(formerTenants).stream().toList(), DataOutputStream::writeLong);
  }

  /**
   * Reads a record written by {@link #write}.
   *
   * @throws IOException if the bytes are not a valid record
   */
  public static PrefixSharing read(DataInputStream in) throws IOException {
    int format = in.readUnsignedByte();
    if (format != FORMAT_VERSION)
      throw new IOException(
          "unsupported prefix-sharing format " + format + ", written by a newer release");
    long since = in.readLong();
    boolean complete = in.readBoolean();
    Set<Long> former = new HashSet<>(WireRecord.readList(in, DataInputStream::readLong));
    if (since < 0 || former.size() > MAX_FORMER_TENANTS)
      throw new IOException("malformed prefix-sharing record: since " + since);
    return new PrefixSharing(since, former, complete);
  }
}
