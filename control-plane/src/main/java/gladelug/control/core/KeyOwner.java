package gladelug.control.core;

import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import gladelug.control.core.message.CoreMessage.AcceptResponse;
import gladelug.control.core.message.CoreMessage.EpochStatus;
import gladelug.control.core.message.CoreMessage.PrepareRequest;
import gladelug.control.core.message.CoreMessage.PrepareResponse;
import gladelug.control.core.message.ReadResult;
import gladelug.control.core.register.ChangeStatus;
import gladelug.control.core.register.VersionedValue;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The proposer of one key at one member: its election, the changes it writes and the leases it
 * grants. Called on the core's thread only; times are of the host's monotonic clock, in ms.
 *
 * <p>A candidate becomes owner when a majority promises it a higher epoch. It then rewrites the
 * newest value in those promises under its epoch, and serves only after a majority accepted that. A
 * change is stored at a majority before any process learns of it. Leases are granted only on the
 * basis of a round in which a majority confirmed the epoch, and count from the start of that round.
 * All leases of an owner have therefore expired one lease duration after a later majority of
 * promises, so a new owner waits for that duration before its first acknowledgement.
 *
 * <p>All transitions are made by {@link #transitionTo}:
 *
 * <pre>
 * from       to         event                                            logged
 * IDLE       PREPARING  no owner is known, or a preferred one takes over election-started
 * PREPARING  PREPARING  the time-out passed and a new election starts    election-started
 * REWRITING  PREPARING  the time-out passed and a new election starts    election-started
 * PREPARING  REWRITING  a majority promised the epoch                    -
 * REWRITING  SERVING    a majority accepted the newest value             ownership-acquired
 * PREPARING  IDLE       a majority is impossible: ELECTION_DECLINED      -
 * PREPARING  IDLE       PREPARE_REJECTED                                 -
 * REWRITING  IDLE       ACCEPT_REJECTED                                  -
 * PREPARING  IDLE       no majority in time: ELECTION_TIMED_OUT          -
 * REWRITING  IDLE       no majority in time: ELECTION_TIMED_OUT          -
 * SERVING    IDLE       ACCEPT_REJECTED, CONFIRMATION_REJECTED,          ownership-lost
 *                       CONFIRMATION_TIMED_OUT
 * any other  IDLE       DISK_UNHEALTHY, DRAINING, GENERATION_CHANGED,    ownership-lost where
 *                       GENERATION_SEALED, MEMBER_REMOVED                it was SERVING
 * </pre>
 *
 * Names such as ELECTION_DECLINED are constants of {@link StepDownReason}.
 */
final class KeyOwner {
  /** The state of this member with respect to the key. */
  enum Phase {
    /** Not a candidate; another member or none owns the key. */
    IDLE,

    /** Candidate that asked the members to promise its epoch. */
    PREPARING,

    /** Candidate with a majority of promises that rewrites the newest value under its epoch. */
    REWRITING,

    /** Owns the key. */
    SERVING
  }

  /** How many times at most the election time-out is doubled. */
  private static final int MAX_TIMEOUT_DOUBLINGS = 3;

  /** Appended to the summary of a change after which prefixes cached before are no longer found. */
  private static final String PREFIX_SHARING_RESTARTED = "; cached prefixes are shared anew";

  /** After how many lease durations without confirmation by a majority an owner steps down. */
  private static final long MAX_UNCONFIRMED_LEASES = 2;

  /** How many reads may wait at a time: more than a process has connections from others. */
  private static final int MAX_PENDING_READS = 8192;

  private final OwnershipContext context;

  /** The key that this object owns or is a candidate for. */
  final String key;

  private Phase phase = Phase.IDLE;

  /** The epoch of this member's newest election; the epoch of its ownership while it serves. */
  long epoch;

  /** The highest epoch seen in any message; the next election uses a higher one. */
  private long highestEpochSeen;

  /** How many elections in a row failed. */
  private int failedElections;

  /** When the newest election started or the member last stepped down. */
  private long electionTimerFromMs = CoreHost.NEVER;

  /** When a majority had promised the epoch, ms. */
  private long preparedAtMs;

  private long servingSinceMs;

  /** Start of the newest round in which a majority confirmed the epoch. */
  private long confirmedAtMs = CoreHost.NEVER;

  /** Until this time leases granted by a former owner may be valid. */
  private long acknowledgeNotBeforeMs;

  /** Until this time a former owner may hold the command lease. */
  private long commandNotBeforeMs;

  /** The newest committed value; in phase REWRITING the newest known value. */
  private VersionedValue value = VersionedValue.NONE;

  /** When the value was committed; the earliest possible time if that is not known exactly. */
  private long changedAtMs;

  private Election election = new Election();
  private final SubscriberLeases leases;
  private final ArrayDeque<PendingChange> queuedChanges = new ArrayDeque<>();
  private PendingChange currentChange;
  private final PendingConfirmations pendingConfirmations;

  /** Reads that wait for a round; they hold little, so far more of them may wait than changes. */
  private final PendingConfirmations pendingReads = new PendingConfirmations(MAX_PENDING_READS);

  /** All that waits for a round. */
  private final List<PendingConfirmations> confirmationQueues;

  /** Creates an owner in phase IDLE at the member of the given context. */
  KeyOwner(OwnershipContext context, String key) {
    this.context = context;
    this.key = key;
    this.leases = new SubscriberLeases(context.config(), key);
    this.pendingConfirmations = new PendingConfirmations(context.config().maxPendingChanges());
    this.confirmationQueues = List.of(pendingConfirmations, pendingReads);
  }

  /** Records an epoch seen for this key. */
  void onEpochSeen(long seenEpoch) {
    highestEpochSeen = Math.max(highestEpochSeen, seenEpoch);
  }

  /** Returns whether this member owns the key, as far as it knows. */
  boolean isServing() {
    return phase == Phase.SERVING;
  }

  /** Returns the newest committed value. Meaningful only while this member serves. */
  VersionedValue value() {
    return value;
  }

  /** Returns the maximum age of the value in ms. */
  long valueAgeMs(long nowMs) {
    return Math.max(0, nowMs - changedAtMs);
  }

  /** Returns the ms since the start of the newest round in which a majority confirmed the epoch. */
  long sinceConfirmedMs(long nowMs) {
    return nowMs - confirmedAtMs;
  }

  /**
   * Returns whether heartbeats may claim the key: this member serves it and a majority confirmed
   * that recently.
   */
  boolean isClaimable(long nowMs) {
    long withinMs = (long) context.config().peerTimeoutMs() + context.config().confirmIntervalMs();
    return isServing()
        && !context.isIsolatedFromMajority(nowMs)
        && nowMs - Math.max(confirmedAtMs, servingSinceMs) < withinMs;
  }

  /** Returns whether a change is queued or in progress. */
  boolean hasPendingChanges() {
    return currentChange != null || !queuedChanges.isEmpty();
  }

  /** Returns how many leases granted by this owner have not expired. */
  int activeLeases(long nowMs) {
    return leases.active(nowMs);
  }

  /**
   * Returns whether this owner may send commands: a majority confirmed its epoch within {@code
   * commandLeaseMs}, and the command lease of every earlier owner has ended. The majority of an
   * earlier owner's last confirmed round shares a member with the majority that promised this
   * owner's epoch, so that round began before the promises, and the earlier owner stopped sending
   * commands at most {@code commandLeaseMs} after them.
   */
  boolean holdsCommandLease(long nowMs) {
    return isServing() && nowMs >= commandNotBeforeMs && nowMs < commandLeaseEndMs();
  }

  /** Returns when the command lease ends unless a majority confirms the epoch again, ms. */
  long commandLeaseEndMs() {
    return confirmedAtMs + context.config().commandLeaseMs();
  }

  /**
   * Makes a transition of the table above and logs it.
   *
   * @param reason why the next phase is IDLE; null for any other phase
   */
  private void transitionTo(Phase next, StepDownReason reason, long nowMs) {
    Phase previous = phase;
    phase = next;
    if (next == Phase.PREPARING) context.logEvent("election-started", "key", key, "epoch", epoch);
    else if (next == Phase.SERVING)
      context.logEvent(
          "ownership-acquired",
          "key",
          key,
          "epoch",
          epoch,
          "number",
          value.number(),
          "after",
          nowMs - electionTimerFromMs);
    else if (next == Phase.IDLE && previous == Phase.SERVING)
      context.logEvent("ownership-lost", "key", key, "epoch", epoch, "reason", reason);
  }

  /**
   * Returns how long an election may take. It is longer after each failed one, since the disks may
   * be slower than the time-out assumes.
   */
  private long electionTimeoutMs() {
    return (long) context.config().electionTimeoutMs()
        << Math.min(failedElections, MAX_TIMEOUT_DOUBLINGS);
  }

  /**
   * Starts an election by asking the other members first. This member's own promise would make it
   * reject the current owner, so it is given only when it completes the majority. A failed election
   * thus leaves no promise at this member.
   *
   * @param handover whether the current owner is alive and hands the key over
   */
  void startElection(boolean handover, long nowMs) {
    if (phase != Phase.IDLE && nowMs - electionTimerFromMs < electionTimeoutMs()) return;
    if (nowMs - electionTimerFromMs < electionTimeoutMs() / 2 + context.random(electionTimeoutMs()))
      return;
    epoch =
        context
            .members()
            .nextEpoch(
                Math.max(highestEpochSeen, context.register(key).promisedEpoch()), context.self());
    highestEpochSeen = epoch;
    electionTimerFromMs = nowMs;
    election = new Election();
    transitionTo(Phase.PREPARING, null, nowMs);
    for (MemberSet.Member peer : context.members().all())
      if (!peer.name().equals(context.self()))
        context.send(peer.name(), new PrepareRequest(key, epoch, handover));
    prepareSelfLast();
  }

  /** Asks this member itself if only its promise is missing for a majority. */
  private void prepareSelfLast() {
    if (!election.isPromisedBy(context.self())
        && election.promiseCount() == context.members().majoritySize() - 1)
      context.send(context.self(), new PrepareRequest(key, epoch));
  }

  /** Handles a member's promise of an epoch, or its refusal. */
  void onPrepareResponse(String sender, PrepareResponse response, long nowMs) {
    onEpochSeen(response.promisedEpoch());
    if (phase != Phase.PREPARING || response.epoch() != epoch) return;
    if (!response.granted()) {
      if (response.promisedEpoch() < epoch) onElectionDeclined(sender, nowMs);
      else stepDown(StepDownReason.PREPARE_REJECTED, nowMs);
      return;
    }
    if (election.onPromise(sender, response)) prepareSelfLast();
    if (election.promiseCount() < context.members().majoritySize()) return;
    preparedAtMs = nowMs;
    value = election.newestValue();
    transitionTo(Phase.REWRITING, null, nowMs);
    context.broadcast(new AcceptRequest(key, epoch, value));
  }

  /**
   * Ends the election if so many members declined that a majority is impossible, so that the owner
   * they know keeps the key.
   */
  private void onElectionDeclined(String sender, long nowMs) {
    election.onDeclined(sender);
    int others = context.members().all().size() - context.members().majoritySize();
    if (election.declinedCount() <= others) return;
    transitionTo(Phase.IDLE, StepDownReason.ELECTION_DECLINED, nowMs);
    electionTimerFromMs = nowMs;
    context.deferElection(key, nowMs);
  }

  /** Handles a member's acceptance of a value, or its refusal. */
  void onAcceptResponse(String sender, AcceptResponse response, long nowMs) {
    onEpochSeen(response.promisedEpoch());
    if (phase == Phase.IDLE || response.epoch() != epoch) return;
    if (!response.granted()) {
      stepDown(StepDownReason.ACCEPT_REJECTED, nowMs);
      return;
    }
    if (phase == Phase.REWRITING && response.number() == value.number()) {
      election.onAccepted(sender);
      if (election.acceptedCount() >= context.members().majoritySize()) startServing(nowMs);
    } else if (phase == Phase.SERVING
        && currentChange != null
        && !currentChange.isDuplicate()
        && response.number() == currentChange.number()) {
      currentChange.onAcceptedBy(sender);
      if (!currentChange.isCommitted()
          && currentChange.acceptedCount() >= context.members().majoritySize()) commit(nowMs);
    }
  }

  private void startServing(long nowMs) {
    failedElections = 0;
    acknowledgeNotBeforeMs = preparedAtMs + formerLeasesMs();
    commandNotBeforeMs = preparedAtMs + context.config().commandHandoverGapMs() + 1;
    servingSinceMs = nowMs;
    confirmedAtMs = CoreHost.NEVER;
    leases.clear();
    changedAtMs = nowMs - context.knownAgeMs(key, value.number(), nowMs);
    transitionTo(Phase.SERVING, null, nowMs);
    context.onCommitted(key, value);
    context.requestConfirmationRound();
  }

  /**
   * Gives up the epoch. The change in progress is answered with an unknown result, queued ones with
   * no owner.
   */
  void stepDown(StepDownReason reason, long nowMs) {
    if (phase == Phase.IDLE) return;
    if (phase != Phase.SERVING) failedElections++;
    transitionTo(Phase.IDLE, reason, nowMs);
    electionTimerFromMs = nowMs;
    leases.clear();
    if (currentChange != null)
      currentChange.answer(new ChangeResult.Unknown(currentChange.number()));
    currentChange = null;
    refuseQueuedChanges();
    confirmationQueues.forEach(PendingConfirmations::abandonAll);
  }

  /** Answers the queued changes, for which nothing was written yet, with no owner. */
  private void refuseQueuedChanges() {
    List<PendingChange> refused = new ArrayList<>(queuedChanges);
    queuedChanges.clear();
    for (PendingChange change : refused) change.answer(new ChangeResult.NoOwner());
  }

  /**
   * Handles a member's response in a confirmation round: its promise and the version it has on
   * disk.
   */
  void onEpochStatus(String sender, EpochStatus status, long nowMs) {
    onEpochSeen(status.promisedEpoch());
    if (phase != Phase.SERVING || status.epoch() != epoch) return;
    if (!status.granted()) {
      stepDown(StepDownReason.CONFIRMATION_REJECTED, nowMs);
      return;
    }
    if (status.acceptedEpoch() < epoch || status.acceptedNumber() < value.number())
      context.send(sender, new AcceptRequest(key, epoch, value));
  }

  /** Records that a majority confirmed the epoch in a round, given by its number and start time. */
  void onRoundConfirmed(long round, long roundStartMs) {
    confirmedAtMs = Math.max(confirmedAtMs, roundStartMs);
    for (PendingConfirmations queue : confirmationQueues)
      if (isServing()) queue.onRoundConfirmed(round);
  }

  /**
   * Queues callbacks until a majority confirms this owner; one of the two runs eventually. Returns
   * false, and none runs, if the queue is full.
   */
  private boolean queueForConfirmation(
      PendingConfirmations queue, Runnable onConfirmed, Runnable onAbandoned, long nowMs) {
    if (!queue.add(context.latestRoundNumber(), nowMs, onConfirmed, onAbandoned)) return false;
    context.requestConfirmationRound();
    return true;
  }

  /**
   * Reads the committed value once a majority has confirmed this epoch in a round begun after the
   * read arrived. The result then includes every change that was acknowledged before. A later read
   * may return a newer value.
   */
  void read(Consumer<ReadResult> onResult, long nowMs) {
    Runnable onNoOwner = () -> onResult.accept(ReadResult.NO_OWNER);
    boolean accepted =
        isServing()
            && queueForConfirmation(
                pendingReads, () -> onResult.accept(ReadResult.of(value)), onNoOwner, nowMs);
    if (!accepted) onNoOwner.run();
  }

  /**
   * Applies a change, acknowledges a duplicate of one that was applied, or answers why it is
   * refused.
   */
  void propose(ChangeRequest request, Consumer<ChangeResult> onResult, long nowMs) {
    if (phase != Phase.SERVING) onResult.accept(new ChangeResult.NoOwner());
    else if (queuedChanges.size() >= context.config().maxPendingChanges())
      onResult.accept(new ChangeResult.QueueFull());
    else {
      queuedChanges.add(new PendingChange(request, nowMs, onResult));
      startNextChange(nowMs);
    }
  }

  private void startNextChange(long nowMs) {
    while (currentChange == null && !queuedChanges.isEmpty())
      startChange(queuedChanges.poll(), nowMs);
  }

  /**
   * Starts a change. One that is based on the newest value is written at once, as a majority that
   * accepts it also confirms the owner. Before a change is refused or acknowledged as a duplicate,
   * a majority has to confirm that this owner's value is still the newest.
   */
  private void startChange(PendingChange change, long nowMs) {
    ChangeRequest request = change.request();
    int size = request.body().length;
    long largest = context.maxBodyBytes(key);
    if (size > largest) {
      change.answer(new ChangeResult.TooLarge(size, largest));
      return;
    }
    long appliedNumber = appliedNumber(change);
    boolean follows =
        request.requiredNumber() == ChangeRequest.ANY_NUMBER
            || request.requiredNumber() == value.number();
    if (appliedNumber == 0 && follows) writeChange(change, nowMs);
    else if (!change.isOwnershipConfirmed()) confirmThenRetry(change, nowMs);
    else if (appliedNumber > 0) acknowledgeDuplicate(change, appliedNumber, nowMs);
    else if (value.statusOf(change.identity(), request.base()) == ChangeStatus.EXPIRED)
      change.answer(new ChangeResult.Unknown(request.resultingNumber()));
    else change.answer(new ChangeResult.Conflict(value.number()));
  }

  /**
   * Returns the version number under which the same change, or the same body as the newest value's,
   * was applied; 0 if none was.
   */
  private long appliedNumber(PendingChange change) {
    long applied = value.appliedNumber(change.identity(), change.request().base());
    if (applied > 0) return applied;
    return change.digest().equals(value.digest()) ? value.number() : 0;
  }

  private void writeChange(PendingChange change, long nowMs) {
    currentChange = change;
    byte[] body = change.request().body();
    PrefixSharing sharing = context.prefixSharing(key, value, body);
    VersionedValue next =
        value
            .next(
                change.digest(),
                body,
                new VersionedValue.ChangeId(change.identity(), change.request().base()),
                context.wallClockMs(),
                context.self(),
                summary(body, sharing))
            .withSharing(sharing);
    change.write(next, nowMs);
    context.broadcast(new AcceptRequest(key, epoch, next));
  }

  private String summary(byte[] body, PrefixSharing sharing) {
    String summary = context.summarize(key, value.body(), body);
    long number = value.number() + 1;
    if (sharing.since() != number) return summary;
    context.logEvent("prefix-sharing-begins-anew", "key", key, "number", number);
    return summary + PREFIX_SHARING_RESTARTED;
  }

  /** Restarts the change once a majority has confirmed this owner. */
  private void confirmThenRetry(PendingChange change, long nowMs) {
    Runnable retry =
        () -> {
          change.onOwnershipConfirmed();
          queuedChanges.addFirst(change);
          startNextChange(context.nowMs());
        };
    Runnable onAbandoned = () -> change.answer(new ChangeResult.NoOwner());
    if (!queueForConfirmation(pendingConfirmations, retry, onAbandoned, nowMs))
      change.answer(new ChangeResult.QueueFull());
  }

  private void acknowledgeDuplicate(PendingChange change, long number, long nowMs) {
    currentChange = change;
    change.markDuplicateOf(number, nowMs);
    acknowledgeIfDue(nowMs);
  }

  /**
   * Commits the change in progress, which a majority has stored: it is in effect from now on,
   * whatever answer its sender receives.
   */
  private void commit(long nowMs) {
    VersionedValue previous = value;
    value = currentChange.value();
    changedAtMs = nowMs;
    currentChange.commit(nowMs);
    context.onCommitted(key, value);
    if (StateKeys.PUSHED.contains(key)) context.pushChange(key, epoch, previous, value);
    acknowledgeIfDue(nowMs);
  }

  /**
   * Acknowledges the change in progress once no lease has to be awaited, and starts the next one.
   */
  private void acknowledgeIfDue(long nowMs) {
    PendingChange change = currentChange;
    if (change == null || !change.isCommitted() || nowMs < acknowledgeNotBeforeMs && !isLeaseless())
      return;
    SubscriberLeases.Acknowledgements acknowledgements =
        leases.acknowledgements(change.number(), change.committedAtMs(), nowMs);
    change.onLeasesLapsed(acknowledgements.lapsed());
    if (!acknowledgements.complete()) return;
    context.onAcknowledged(key, change.number());
    change.answer(
        new ChangeResult.Acknowledged(
            change.number(),
            change.isDuplicate(),
            acknowledgements.acknowledged(),
            change.lapsedLeases() + acknowledgements.notAwaited(),
            change.ageMs(nowMs)));
    currentChange = null;
    startNextChange(nowMs);
  }

  /** Returns how long after the promises an acknowledgement waits for leases of former owners. */
  private long formerLeasesMs() {
    int awaitedMs = context.config().awaitedLeaseMs(key);
    return awaitedMs == 0 ? 0 : awaitedMs + 1;
  }

  private boolean isLeaseless() {
    return !StateKeys.LEASED.contains(key);
  }

  /**
   * Answers requests that cannot be confirmed, or were not confirmed in time, while their senders
   * still wait.
   */
  private void abandonUnconfirmed(long nowMs) {
    for (PendingConfirmations queue : confirmationQueues) {
      if (queue.isEmpty()) continue;
      if (context.isIsolatedFromMajority(nowMs)) queue.abandonAll();
      else queue.abandonRequestedUntil(nowMs - ForwardedReads.READ_TIMEOUT_MS);
    }
  }

  /** Runs everything that is due by time alone. */
  void tick(long nowMs) {
    abandonUnconfirmed(nowMs);
    if (!queuedChanges.isEmpty() && context.isIsolatedFromMajority(nowMs)) refuseQueuedChanges();
    if (isCandidate() && nowMs - electionTimerFromMs > electionTimeoutMs())
      stepDown(StepDownReason.ELECTION_TIMED_OUT, nowMs);
    if (isServing() && isUnconfirmed(nowMs)) stepDown(StepDownReason.CONFIRMATION_TIMED_OUT, nowMs);
    if (isServing() && currentChange != null) advanceCurrentChange(nowMs);
  }

  private boolean isCandidate() {
    return phase == Phase.PREPARING || phase == Phase.REWRITING;
  }

  private boolean isUnconfirmed(long nowMs) {
    long sinceMs = nowMs - Math.max(confirmedAtMs, servingSinceMs);
    return sinceMs > MAX_UNCONFIRMED_LEASES * context.config().leaseMs();
  }

  private void advanceCurrentChange(long nowMs) {
    if (!currentChange.isCommitted()
        && currentChange.sinceSentMs(nowMs) > context.config().confirmIntervalMs())
      resendCurrentChange(nowMs);
    if (currentChange.ageMs(nowMs) > context.config().changeTimeoutMs())
      currentChange.answer(new ChangeResult.Unknown(currentChange.number()));
    acknowledgeIfDue(nowMs);
  }

  private void resendCurrentChange(long nowMs) {
    currentChange.onResent(nowMs);
    for (MemberSet.Member peer : context.members().all())
      if (!currentChange.isAcceptedBy(peer.name()))
        context.send(peer.name(), new AcceptRequest(key, epoch, currentChange.value()));
  }

  /**
   * Handles a data-plane process's request for the value and a lease.
   *
   * @param subscriber its name and incarnation
   * @param wantsLease whether acknowledgements have to wait for its lease
   * @param known the version that it holds
   * @return a grant if it holds the newest number and a majority confirmed this owner recently,
   *     else null; a process with an older number then needs a push
   */
  StateUpdate.LeaseGrant onSubscription(
      String subscriber, boolean wantsLease, StateUpdate.KnownVersion known, long nowMs) {
    leases.onRequest(subscriber, known.number(), nowMs);
    StateUpdate.LeaseGrant grant = null;
    long remainingMs = confirmedAtMs + context.config().leaseMs() - nowMs;
    if (known.number() == value.number() && remainingMs > 0) {
      int cutoffMs =
          key.equals(StateKeys.WEIGHTS)
              ? (int) Math.max(0, context.weightsAgeCutoffMs() - valueAgeMs(nowMs))
              : 0;
      grant = new StateUpdate.LeaseGrant(key, epoch, value.number(), (int) remainingMs, cutoffMs);
      if (wantsLease && StateKeys.LEASED.contains(key))
        leases.grant(subscriber, known.number(), nowMs + remainingMs, nowMs);
    }
    acknowledgeIfDue(nowMs);
    return grant;
  }
}
