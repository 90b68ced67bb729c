package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which member tries to own which key when. Members try in an order that each key has, those behind
 * others later, so that mostly one tries; what is safe doesn't rest on it. Only the core's thread
 * calls it; times are of the host's monotonic clock, in ms.
 */
final class Elections {
  /** What elections need of the member they are part of. */
  interface Context {
    /** The members of the generation. */
    MemberSet members();

    /** Who claims the key and was heard lately, or null. */
    String claimedOwner(String key, long now);

    /** Whether a member is alive and isn't draining. */
    boolean isAliveAndStays(String member, long now);

    /** Whether this member is to stop. */
    boolean isDraining();
  }

  private final String self;
  private final QuorumConfig config;
  private final FailureDetector failureDetector;
  private final Context context;
  private final long startedAtMs;

  /** By key: when another was last promised it, or was found to own it. */
  private final Map<String, Long> deferredAtMs = new HashMap<>();

  /** By key: since when no member claims it, while this one is in contact with a majority. */
  private final Map<String, Long> withoutOwnerSinceMs = new HashMap<>();

  /** By key: the order in which the members of this generation try for it. */
  private final Map<String, List<String>> candidateOrders = new HashMap<>();

  /** Since when this member has had contact with a majority, or NEVER while it has none. */
  private long majoritySinceMs = CoreHost.NEVER;

  /**
   * @param startedAtMs when the process started, ms
   */
  Elections(
      String self,
      QuorumConfig config,
      FailureDetector failureDetector,
      Context context,
      long startedAt) {
    this.self = self;
    this.config = config;
    this.failureDetector = failureDetector;
    this.context = context;
    this.startedAtMs = startedAt;
  }

  /** A generation begins: its members have their own order. */
  void onGenerationStarted() {
    withoutOwnerSinceMs.clear();
    candidateOrders.clear();
  }

  /** Another is given the time to serve the key. */
  void defer(String key, long now) {
    deferredAtMs.put(key, now);
  }

  /** Tries for the keys that nobody owns, or that this member is to own rather than another. */
  void tick(Collection<KeyOwner> owners, long now) {
    if (!failureDetector.reachesMajority(now)) {
      majoritySinceMs = CoreHost.NEVER;
      withoutOwnerSinceMs.clear();
      return;
    }
    if (majoritySinceMs == CoreHost.NEVER) majoritySinceMs = now;
    if (!failureDetector.isHealthy() || context.isDraining()) return;
    for (KeyOwner owner : owners) if (!owner.isServing()) startIfDue(owner, now);
  }

  private void startIfDue(KeyOwner owner, long now) {
    String other = context.claimedOwner(owner.key, now);
    List<String> order =
        candidateOrders.computeIfAbsent(owner.key, key -> context.members().preferenceOrder(key));
    int rank = rank(order, now);
    if (other == null) {
      startWithoutOwnerIfDue(owner, rank, now);
      return;
    }
    withoutOwnerSinceMs.remove(owner.key);
    boolean preferred = rank == 0 && order.indexOf(self) < order.indexOf(other);
    // taken back without churn: not while the owner is at a change, whose result would then be
    // unknown to its sender
    if (preferred
        && areBothStable(other, now)
        && failureDetector.isAlive(other, now)
        && !failureDetector.hasChangeInFlight(other, owner.key)) owner.startElection(true, now);
  }

  /** How many members that could take the key come before this one. */
  private int rank(List<String> order, long now) {
    int rank = 0;
    for (String name : order) {
      if (name.equals(self)) break;
      if (context.isAliveAndStays(name, now)) rank++;
    }
    return rank;
  }

  /** Whether this member and the key's owner have been well for long enough to hand it over. */
  private boolean areBothStable(String owner, long now) {
    long uptimeMs = config.preferredOwnerUptimeMs();
    return now - startedAtMs >= uptimeMs
        && now - failureDetector.healthySinceMs() >= uptimeMs
        && now - failureDetector.aliveSinceMs(owner) >= uptimeMs;
  }

  private void startWithoutOwnerIfDue(KeyOwner owner, int rank, long now) {
    long since = withoutOwnerSinceMs.computeIfAbsent(owner.key, key -> now);
    // whoever was away first hears who owns what
    boolean wasAway =
        failureDetector.isNewcomer()
                && since - failureDetector.generationStartedAtMs() < config.peerTimeoutMs()
            || since - majoritySinceMs < config.heartbeatMs();
    long pauseMs = wasAway ? config.peerTimeoutMs() : 0;
    // whoever was promised the key a moment ago is given the time to serve it, else all oust one
    // another for ever
    if (now - deferredAtMs.getOrDefault(owner.key, CoreHost.NEVER) < config.electionBackoffMs())
      return;
    if (now - since >= (long) rank * config.electionRankDelayMs() + pauseMs)
      owner.startElection(false, now);
  }
}
