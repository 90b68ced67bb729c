package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides when this member tries to own a key. Each key has its own order of members, and members
 * later in the order wait longer, so that usually only one tries. Safety does not depend on it.
 * Called on the core's thread only; times are of the host's monotonic clock, in ms.
 */
final class Elections {
  /** The services of the member that elections use. */
  interface Context {
    /** Returns the members of the generation. */
    MemberSet members();

    /** Returns the member that claims the key and sent a heartbeat recently, or null. */
    String claimedOwner(String key, long nowMs);

    /** Returns whether a member is alive and not draining. */
    boolean isAliveAndNotDraining(String member, long nowMs);

    /** Returns whether this member is draining. */
    boolean isDraining();
  }

  private final String self;
  private final QuorumConfig config;
  private final FailureDetector failureDetector;
  private final Context context;
  private final long startedAtMs;

  /**
   * By key: when the key was last promised to another member, or another member was found to own
   * it.
   */
  private final Map<String, Long> deferredAtMs = new HashMap<>();

  /**
   * By key: since when no member claims it, as long as this member is in contact with a majority.
   */
  private final Map<String, Long> withoutOwnerSinceMs = new HashMap<>();

  /** By key: the order in which the members of this generation try to own it. */
  private final Map<String, List<String>> candidateOrders = new HashMap<>();

  /**
   * Since when this member has been in contact with a majority; {@link CoreHost#NEVER} while it is
   * not.
   */
  private long majoritySinceMs = CoreHost.NEVER;

  /**
   * @param startedAtMs when the process started, ms
   */
  Elections(
      String self,
      QuorumConfig config,
      FailureDetector failureDetector,
      Context context,
      long startedAtMs) {
    this.self = self;
    this.config = config;
    this.failureDetector = failureDetector;
    this.context = context;
    this.startedAtMs = startedAtMs;
  }

  /** Forgets the candidate orders of the previous generation. */
  void onGenerationStarted() {
    withoutOwnerSinceMs.clear();
    candidateOrders.clear();
  }

  /** Gives another member the time to serve the key before this one tries for it. */
  void defer(String key, long nowMs) {
    deferredAtMs.put(key, nowMs);
  }

  /**
   * Starts elections for keys that no member owns, and for keys whose preferred owner is this
   * member.
   */
  void tick(Collection<KeyOwner> owners, long nowMs) {
    if (!failureDetector.reachesMajority(nowMs)) {
      majoritySinceMs = CoreHost.NEVER;
      withoutOwnerSinceMs.clear();
      return;
    }
    if (majoritySinceMs == CoreHost.NEVER) majoritySinceMs = nowMs;
    if (!failureDetector.isHealthy() || context.isDraining()) return;
    for (KeyOwner owner : owners) if (!owner.isServing()) startIfDue(owner, nowMs);
  }

  private void startIfDue(KeyOwner owner, long nowMs) {
    String other = context.claimedOwner(owner.key, nowMs);
    List<String> order =
        candidateOrders.computeIfAbsent(owner.key, key -> context.members().preferenceOrder(key));
    int rank = countCandidatesBefore(order, nowMs);
    if (other == null) {
      startWithoutOwnerIfDue(owner, rank, nowMs);
      return;
    }
    withoutOwnerSinceMs.remove(owner.key);
    boolean preferred = rank == 0 && order.indexOf(self) < order.indexOf(other);
    // no takeover while the owner has a change in flight, as the sender would not learn its result
    if (preferred
        && areBothStable(other, nowMs)
        && failureDetector.isAlive(other, nowMs)
        && !failureDetector.hasChangeInFlight(other, owner.key)) owner.startElection(true, nowMs);
  }

  /** Returns how many members that could own the key come before this one in its order. */
  private int countCandidatesBefore(List<String> order, long nowMs) {
    int rank = 0;
    for (String name : order) {
      if (name.equals(self)) break;
      if (context.isAliveAndNotDraining(name, nowMs)) rank++;
    }
    return rank;
  }

  /**
   * Returns whether this member and the key's owner have both been healthy for long enough to hand
   * the key over.
   */
  private boolean areBothStable(String owner, long nowMs) {
    long uptimeMs = config.preferredOwnerUptimeMs();
    return nowMs - startedAtMs >= uptimeMs
        && nowMs - failureDetector.healthySinceMs() >= uptimeMs
        && nowMs - failureDetector.aliveSinceMs(owner) >= uptimeMs;
  }

  private void startWithoutOwnerIfDue(KeyOwner owner, int rank, long nowMs) {
    long sinceMs = withoutOwnerSinceMs.computeIfAbsent(owner.key, key -> nowMs);
    // a member that was out of contact first learns from heartbeats which member owns which key
    boolean wasAway =
        failureDetector.isNewcomer()
                && sinceMs - failureDetector.generationStartedAtMs() < config.peerTimeoutMs()
            || sinceMs - majoritySinceMs < config.heartbeatMs();
    long pauseMs = wasAway ? config.peerTimeoutMs() : 0;
    // a member that was just promised the key gets the time to serve it; otherwise candidates would
    // keep replacing one another
    if (nowMs - deferredAtMs.getOrDefault(owner.key, CoreHost.NEVER) < config.electionBackoffMs())
      return;
    if (nowMs - sinceMs >= (long) rank * config.electionRankDelayMs() + pauseMs)
      owner.startElection(false, nowMs);
  }
}
