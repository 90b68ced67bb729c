package gladelug.control.core;

import gladelug.common.message.StateKeys;
import java.util.ArrayList;
import java.util.List;

/**
 * The core's times and sizes; times are in ms. The lease bounds how long a partitioned relay may
 * act on an old value, so a takeover has to take much less time than a lease. Measurements are in
 * docs/measurements.md. A deployment starts from the builder of {@link #DEFAULT} and overrides
 * single values.
 *
 * <p>The minimum length of a lease: The owner of a leased key is confirmed every {@code
 * confirmIntervalMs}. If it fails, the other members detect that {@code peerTimeoutMs} after its
 * last heartbeat. If they still receive its heartbeats, its claim ends {@code peerTimeoutMs +
 * confirmIntervalMs} after its last confirmation, which the next heartbeat reports up to {@code
 * heartbeatMs} later. The first of them in the key's order then runs an election, which ends within
 * {@code electionTimeoutMs} if the disks are healthy, and confirms the new owner at once. So a key
 * has no confirmed owner for at most {@code peerTimeoutMs + confirmIntervalMs + heartbeatMs +
 * electionTimeoutMs} plus a round trip. If another member that is needed for a majority has just
 * recovered from a fault, reconnecting to it can add the connect time-out and the pause between two
 * attempts. A lease counts from the confirmation on which it is based, and a relay renews it at its
 * own interval, so {@code leaseMs} must be longer than the sum of all these times.
 *
 * @param leaseMs how long a grant lasts, counted from the round that confirmed its owner; longer
 *     than `confirmIntervalMs`
 * @param freshMs how long after the start of the confirmed round the holder of a lease on the
 *     configuration may act as if the value were the newest acknowledged one; used in mode CONTACT;
 *     at most {@code leaseMs}, 0 if relays rely on a lease for nothing that has to end with the
 *     acknowledgement
 * @param heartbeatMs interval between two heartbeats to each member; above 0
 * @param peerTimeoutMs time without contact after which a member is considered dead; more than
 *     twice {@code heartbeatMs}
 * @param confirmIntervalMs interval between two confirmation rounds; above 0
 * @param preferredOwnerUptimeMs how long a preferred owner must be up before it takes its key back;
 *     above 0
 * @param electionRankDelayMs additional delay before an election for each position in a key's order
 *     of members; above 0
 * @param electionTimeoutMs time-out of the first election; it grows with failed elections; above 0
 * @param electionBackoffMs how long a member starts no election for a key that it promised to
 *     another; above 0
 * @param changeTimeoutMs how long an owner tries to complete a change before it answers that the
 *     result is unknown; above 0
 * @param maxPendingChanges how many changes may be queued for one key; above 0
 * @param acknowledgementMode when a committed change is acknowledged
 * @param subscriberContactMs in mode CONTACT, only relays that sent a request within this time are
 *     awaited; above 0
 * @param acknowledgementTimeoutMs in mode CONTACT, how long after its commit a change is
 *     acknowledged at the latest, whether or not all relays have it; above 0
 * @param commandLeaseMs how long after the start of a confirmed round the owner may send commands;
 *     longer than {@code confirmIntervalMs}
 * @param commandHandoverGapMs how long after its majority of promises a new owner must not send
 *     commands; at least {@code commandLeaseMs}, plus the required gap between the commands of two
 *     successive owners and a margin for clock drift
 * @param targetMembers number of members up to which the core grows automatically; odd, 1 to 255
 * @param replaceDeadAfterMs time without contact after which a machine that asks to join
 *     automatically replaces a member; 0 for never, else at least twice {@code peerTimeoutMs}
 * @param drainTimeoutMs how long a member that is asked to stop waits at most for others to take
 *     its keys and its place; above 0
 */
public record QuorumConfig(
    int leaseMs,
    int freshMs,
    int heartbeatMs,
    int peerTimeoutMs,
    int confirmIntervalMs,
    int preferredOwnerUptimeMs,
    int electionRankDelayMs,
    int electionTimeoutMs,
    int electionBackoffMs,
    int changeTimeoutMs,
    int maxPendingChanges,
    AcknowledgementMode acknowledgementMode,
    int subscriberContactMs,
    int acknowledgementTimeoutMs,
    int commandLeaseMs,
    int commandHandoverGapMs,
    int targetMembers,
    int replaceDeadAfterMs,
    int drainTimeoutMs) {

  /**
   * When a committed change is acknowledged. STRICT: once every relay with a lease has the change
   * or its lease has expired. A new owner first waits for a whole lease duration, because of leases
   * that a former owner granted. After the acknowledgement no relay acts on a lower version number.
   *
   * <p>CONTACT: once every relay with a lease that sent a request within the last {@code
   * subscriberContactMs} has the change, or {@code acknowledgementTimeoutMs} after the commit. The
   * owner waits neither for the leases of relays that are dead or partitioned nor for those of an
   * earlier owner, except that a configuration is not acknowledged while the first {@code freshMs}
   * of any lease on an older one last: a relay shares cached prefixes between tenants only in that
   * time, so no prefix is shared after the acknowledgement of a configuration that forbids it,
   * however long the relay or its connection stood still. The use of an old value is still bounded:
   * An owner grants leases only for the number it has committed, so it grants none for an older
   * number after the commit. A lease lasts {@code leaseMs} from the start of a round in which a
   * majority confirmed the owner's epoch, and such a round of an earlier owner began before the
   * later owner's majority of promises, hence before its commit. The relay counts its lease from
   * the time of its request, which was earlier still. So a relay can act on an older number for at
   * most one lease duration after the acknowledgement, and {@code leaseMs} must be below the bound
   * that a deployment promises for a revoked API key.
   */
  public enum AcknowledgementMode {
    STRICT,
    CONTACT
  }

  /** The default values. */
  public static final QuorumConfig DEFAULT =
      new QuorumConfig(
          2000,
          0,
          100,
          500,
          150,
          3000,
          700,
          400,
          1000,
          8000,
          64,
          AcknowledgementMode.STRICT,
          900,
          1500,
          2000,
          2000,
          3,
          0,
          2000);

  public QuorumConfig {
    List<String> findings = new ArrayList<>();
    for (int value :
        new int[] {
          leaseMs,
          heartbeatMs,
          peerTimeoutMs,
          confirmIntervalMs,
          preferredOwnerUptimeMs,
          electionRankDelayMs,
          electionTimeoutMs,
          electionBackoffMs,
          changeTimeoutMs,
          maxPendingChanges,
          subscriberContactMs,
          acknowledgementTimeoutMs,
          commandLeaseMs,
          drainTimeoutMs
        })
      if (value <= 0)
        findings.add(
            "every time and size except freshMs, commandHandoverGapMs and replaceDeadAfterMs must be"
                + " above 0");
    if (peerTimeoutMs <= 2 * heartbeatMs)
      findings.add(
          "peerTimeoutMs must be more than twice heartbeatMs, but is  "
              + peerTimeoutMs
              + " with heartbeatMs "
              + heartbeatMs);
    if (commandLeaseMs <= confirmIntervalMs)
      findings.add("commandLeaseMs must be longer than confirmIntervalMs");
    if (commandHandoverGapMs < commandLeaseMs)
      findings.add("commandHandoverGapMs must be at least commandLeaseMs");
    if (leaseMs <= confirmIntervalMs) findings.add("leaseMs must be longer than confirmIntervalMs");
    if (freshMs < 0 || freshMs > leaseMs) findings.add("freshMs must be between 0 and leaseMs");
    if (targetMembers < 1 || targetMembers % 2 == 0 || targetMembers > 255)
      findings.add("targetMembers must be odd and between 1 and 255, not  " + targetMembers);
    if (replaceDeadAfterMs != 0 && replaceDeadAfterMs < 2L * peerTimeoutMs)
      findings.add("replaceDeadAfterMs must be 0 or at least twice peerTimeoutMs");
    if (!findings.isEmpty())
      throw new IllegalArgumentException(String.join("; ", findings.stream().distinct().toList()));
  }

  /**
   * Returns the first part of a lease on a key, in ms, that an acknowledgement awaits whether or
   * not the holder is in contact: the whole lease in mode STRICT.
   */
  int awaitedLeaseMs(String key) {
    if (acknowledgementMode == AcknowledgementMode.STRICT) return leaseMs;
    return key.equals(StateKeys.CONFIGURATION) ? freshMs : 0;
  }

  /**
   * Returns the time-out in ms for the response to a change that was forwarded to another member.
   */
  int changeResponseTimeoutMs() {
    return changeTimeoutMs + changeTimeoutMs / 8;
  }

  /** Returns a builder that starts from {@link #DEFAULT}. */
  public static Builder builder() {
    return DEFAULT.with();
  }

  /** Returns a builder that starts from these values. */
  public Builder with() {
    return new Builder(this);
  }

  /**
   * Builds a {@link QuorumConfig}; the setters have the names and units of the record's components.
   */
  public static final class Builder {
    private int leaseMs;
    private int freshMs;
    private int heartbeatMs;
    private int peerTimeoutMs;
    private int confirmIntervalMs;
    private int preferredOwnerUptimeMs;
    private int electionRankDelayMs;
    private int electionTimeoutMs;
    private int electionBackoffMs;
    private int changeTimeoutMs;
    private int maxPendingChanges;
    private AcknowledgementMode acknowledgementMode;
    private int subscriberContactMs;
    private int acknowledgementTimeoutMs;
    private int commandLeaseMs;
    private int commandHandoverGapMs;
    private int targetMembers;
    private int replaceDeadAfterMs;
    private int drainTimeoutMs;

    private Builder(QuorumConfig config) {
      leaseMs = config.leaseMs;
      freshMs = config.freshMs;
      heartbeatMs = config.heartbeatMs;
      peerTimeoutMs = config.peerTimeoutMs;
      confirmIntervalMs = config.confirmIntervalMs;
      preferredOwnerUptimeMs = config.preferredOwnerUptimeMs;
      electionRankDelayMs = config.electionRankDelayMs;
      electionTimeoutMs = config.electionTimeoutMs;
      electionBackoffMs = config.electionBackoffMs;
      changeTimeoutMs = config.changeTimeoutMs;
      maxPendingChanges = config.maxPendingChanges;
      acknowledgementMode = config.acknowledgementMode;
      subscriberContactMs = config.subscriberContactMs;
      acknowledgementTimeoutMs = config.acknowledgementTimeoutMs;
      commandLeaseMs = config.commandLeaseMs;
      commandHandoverGapMs = config.commandHandoverGapMs;
      targetMembers = config.targetMembers;
      replaceDeadAfterMs = config.replaceDeadAfterMs;
      drainTimeoutMs = config.drainTimeoutMs;
    }

    public Builder leaseMs(int value) {
      leaseMs = value;
      return this;
    }

    public Builder freshMs(int value) {
      freshMs = value;
      return this;
    }

    public Builder heartbeatMs(int value) {
      heartbeatMs = value;
      return this;
    }

    public Builder peerTimeoutMs(int value) {
      peerTimeoutMs = value;
      return this;
    }

    public Builder confirmIntervalMs(int value) {
      confirmIntervalMs = value;
      return this;
    }

    public Builder preferredOwnerUptimeMs(int value) {
      preferredOwnerUptimeMs = value;
      return this;
    }

    public Builder electionRankDelayMs(int value) {
      electionRankDelayMs = value;
      return this;
    }

    public Builder electionTimeoutMs(int value) {
      electionTimeoutMs = value;
      return this;
    }

    public Builder electionBackoffMs(int value) {
      electionBackoffMs = value;
      return this;
    }

    public Builder changeTimeoutMs(int value) {
      changeTimeoutMs = value;
      return this;
    }

    public Builder maxPendingChanges(int value) {
      maxPendingChanges = value;
      return this;
    }

    public Builder acknowledgementMode(AcknowledgementMode value) {
      acknowledgementMode = value;
      return this;
    }

    public Builder subscriberContactMs(int value) {
      subscriberContactMs = value;
      return this;
    }

    public Builder acknowledgementTimeoutMs(int value) {
      acknowledgementTimeoutMs = value;
      return this;
    }

    public Builder commandLeaseMs(int value) {
      commandLeaseMs = value;
      return this;
    }

    public Builder commandHandoverGapMs(int value) {
      commandHandoverGapMs = value;
      return this;
    }

    public Builder targetMembers(int value) {
      targetMembers = value;
      return this;
    }

    public Builder replaceDeadAfterMs(int value) {
      replaceDeadAfterMs = value;
      return this;
    }

    public Builder drainTimeoutMs(int value) {
      drainTimeoutMs = value;
      return this;
    }

    /**
     * Returns the configuration.
     *
     * @throws IllegalArgumentException naming all invalid values
     */
    public QuorumConfig build() {
      return new QuorumConfig(
          leaseMs,
          freshMs,
          heartbeatMs,
          peerTimeoutMs,
          confirmIntervalMs,
          preferredOwnerUptimeMs,
          electionRankDelayMs,
          electionTimeoutMs,
          electionBackoffMs,
          changeTimeoutMs,
          maxPendingChanges,
          acknowledgementMode,
          subscriberContactMs,
          acknowledgementTimeoutMs,
          commandLeaseMs,
          commandHandoverGapMs,
          targetMembers,
          replaceDeadAfterMs,
          drainTimeoutMs);
    }
  }
}
