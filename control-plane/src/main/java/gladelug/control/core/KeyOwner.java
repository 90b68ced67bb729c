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
 * The owner's side of one key, at one member: its election, the changes it makes and the leases it
 * grants. All calls come on the protocol's thread; now is its monotonic clock, in ms.
 *
 * <p>It becomes owner by having a majority promise a higher epoch, writes the newest value it heard
 * of again under that epoch, and only then serves. A change is on a majority before anybody is told
 * of it. Leases are granted only off a round in which a majority confirmed the epoch, and count
 * from that round's start; so a grant of this owner has run out one lease after any later majority
 * of promises, which is why a new owner waits that long before its first acknowledgement.
 *
 * <p>All transitions, each made by {@link #transitionTo}:
 *
 * <pre>
 * from       to         event                                            logged
 * IDLE       PREPARING  no owner is known, or a preferred one takes over election-started
 * PREPARING  PREPARING  the time-out passed and a new election starts    election-started
 * REWRITING  PREPARING  the time-out passed and a new election starts    election-started
 * PREPARING  REWRITING  a majority promised the epoch                    -
 * REWRITING  SERVING    a majority accepted the newest value             ownership-acquired
 * PREPARING  IDLE       a majority can't be had: ELECTION_DECLINED       -
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
 * The names in capitals are those of {@link StepDownReason}.
 */
final class KeyOwner {
  /** Where this member stands with the key. */
  enum Phase {
    /** Another member owns the key, or none. */
    IDLE,

    /** Asked the members to promise its epoch. */
    PREPARING,

    /** Has a majority's promise, and writes the newest value again under its epoch. */
    REWRITING,

    /** Owns the key. */
    SERVING
  }

  /** The election time-out is doubled at most this often. */
  private static final int MAX_TIMEOUT_DOUBLINGS = 3;

  /** What is added to the summary of a change by which cached prefixes are found no more. */
  private static final String SHARING_BEGINS_ANEW = "; cached prefixes are shared anew";

  /** An owner that no majority confirmed for so many leases steps down. */
  private static final long LEASES_UNTIL_UNCONFIRMED = 2;

  private final OwnershipContext context;

  /** The key that is owned or stood for. */
  final String key;

  private Phase phase = Phase.IDLE;

  /** The epoch of the newest election; this member's own, where it serves. */
  long epoch;

  /** The highest epoch heard of in any message, so that the next election's is above it. */
  private long highestEpochSeen;

  /** Elections in a row that did not lead to serving. */
  private int failedElections;

  /** When the newest election began, or the newest epoch was given up. */
  private long electionTimerFromMs = CoreHost.NEVER;

  /** When a majority had promised the epoch. */
  private long preparedAtMs;

  private long servingSinceMs;

  /** When the newest round began in which a majority confirmed the epoch. */
  private long confirmedAtMs = CoreHost.NEVER;

  /** Until then leases that a former owner granted may be valid. */
  private long acknowledgeNotBeforeMs;

  /** Until then a former owner may hold the command lease. */
  private long commandNotBeforeMs;

  /** The newest committed value; in REWRITING the newest that is known of. */
  private VersionedValue value = VersionedValue.NONE;

  /** When the value was committed, or the earliest that may have been. */
  private long changedAtMs;

  private Election election = new Election();
  private final SubscriberLeases leases;
  private final ArrayDeque<PendingChange> queuedChanges = new ArrayDeque<>();
  private PendingChange currentChange;
  private final PendingConfirmations pendingConfirmations;

  /** An owner that waits, as member of its context, until it is to stand for the key. */
  KeyOwner(OwnershipContext context, String key) {
    this.context = context;
    this.key = key;
    this.leases = new SubscriberLeases(context.config());
    this.pendingConfirmations = new PendingConfirmations(context.config().maxPendingChanges());
  }

  /** An epoch for this key was heard of. */
  void onEpochSeen(long seenEpoch) {
    highestEpochSeen = Math.max(highestEpochSeen, seenEpoch);
  }

  /** Whether this member owns the key, as far as it knows. */
  boolean isServing() {
    return phase == Phase.SERVING;
  }

  /** The newest committed value, where this member serves. */
  VersionedValue value() {
    return value;
  }

  /** How old the value is at most, ms. */
  long valueAgeMs(long now) {
    return Math.max(0, now - changedAtMs);
  }

  /** How long ago the newest round began in which a majority confirmed the epoch, ms. */
  long sinceConfirmedMs(long now) {
    return now - confirmedAtMs;
  }

  /** Whether others may take it that the key is in good hands: a majority confirmed it lately. */
  boolean isClaimable(long now) {
    long withinMs = (long) context.config().peerTimeoutMs() + context.config().confirmIntervalMs();
    return isServing()
        && !context.isIsolatedFromMajority(now)
        && now - Math.max(confirmedAtMs, servingSinceMs) < withinMs;
  }

  /** Whether a change waits or is under way. */
  boolean hasPendingChanges() {
    return currentChange != null || !queuedChanges.isEmpty();
  }

  /** How many leases that this owner granted have not lapsed. */
  int activeLeases(long now) {
    return leases.active(now);
  }

  /**
   * Whether commands may go out in this owner's name: a majority confirmed its epoch within
   * commandLease, and every earlier owner's time is over. An earlier one's last confirmed round
   * began before the promises to this one, by the member that both majorities share, so it fell
   * silent commandLease after them.
   */
  boolean holdsCommandLease(long now) {
    return isServing() && now >= commandNotBeforeMs && now < commandLeaseEndMs();
  }

  /** When its right to command ends unless a majority confirms its epoch anew, ms. */
  long commandLeaseEndMs() {
    return confirmedAtMs + context.config().commandLeaseMs();
  }

  /**
   * Makes a transition of the table above and logs it.
   *
   * @param reason why it goes to IDLE; null for any other phase
   */
  private void transitionTo(Phase next, StepDownReason reason, long now) {
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
          now - electionTimerFromMs);
    else if (next == Phase.IDLE && previous == Phase.SERVING)
      context.logEvent("ownership-lost", "key", key, "epoch", epoch, "reason", reason);
  }

  /**
   * How long an attempt may take: longer after each that failed, as disks may be slower than it
   * allows for.
   */
  private long electionTimeoutMs() {
    return (long) context.config().electionTimeoutMs()
        << Math.min(failedElections, MAX_TIMEOUT_DOUBLINGS);
  }

  /**
   * Asks the others first. This member's own promise, which would have it refuse the present owner,
   * is given only once it makes up the majority; so an attempt that fails leaves no trace here.
   *
   * @param handover whether the present owner is alive and hands the key over
   */
  void startElection(boolean handover, long now) {
    if (phase != Phase.IDLE && now - electionTimerFromMs < electionTimeoutMs()) return;
    if (now - electionTimerFromMs < electionTimeoutMs() / 2 + context.random(electionTimeoutMs()))
      return;
    epoch =
        context
            .members()
            .nextEpoch(
                Math.max(highestEpochSeen, context.register(key).promisedEpoch()), context.self());
    highestEpochSeen = epoch;
    electionTimerFromMs = now;
    election = new Election();
    transitionTo(Phase.PREPARING, null, now);
    for (MemberSet.Member peer : context.members().all())
      if (!peer.name().equals(context.self()))
        context.send(peer.name(), new PrepareRequest(key, epoch, handover));
    prepareSelfLast();
  }

  /** Asks this member itself, where its promise is all that a majority lacks. */
  private void prepareSelfLast() {
    if (!election.isPromisedBy(context.self())
        && election.promiseCount() == context.members().majoritySize() - 1)
      context.send(context.self(), new PrepareRequest(key, epoch));
  }

  /** A member promised an epoch, or refused to. */
  void onPrepareResponse(String from, PrepareResponse response, long now) {
    onEpochSeen(response.promisedEpoch());
    if (phase != Phase.PREPARING || response.epoch() != epoch) return;
    if (!response.granted()) {
      if (response.promisedEpoch() < epoch) onElectionDeclined(from, now);
      else stepDown(StepDownReason.PREPARE_REJECTED, now);
      return;
    }
    if (election.onPromise(from, response)) prepareSelfLast();
    if (election.promiseCount() < context.members().majoritySize()) return;
    preparedAtMs = now;
    value = election.newestValue();
    transitionTo(Phase.REWRITING, null, now);
    context.broadcast(new AcceptRequest(key, epoch, value));
  }

  /** Where a majority can't be had any more, the owner that the others know is left in peace. */
  private void onElectionDeclined(String from, long now) {
    election.onDeclined(from);
    int others = context.members().all().size() - context.members().majoritySize();
    if (election.declinedCount() <= others) return;
    transitionTo(Phase.IDLE, StepDownReason.ELECTION_DECLINED, now);
    electionTimerFromMs = now;
    context.deferElection(key, now);
  }

  /** A member accepted a value, or refused to. */
  void onAcceptResponse(String from, AcceptResponse response, long now) {
    onEpochSeen(response.promisedEpoch());
    if (phase == Phase.IDLE || response.epoch() != epoch) return;
    if (!response.granted()) {
      stepDown(StepDownReason.ACCEPT_REJECTED, now);
      return;
    }
    if (phase == Phase.REWRITING && response.number() == value.number()) {
      election.onAccepted(from);
      if (election.acceptedCount() >= context.members().majoritySize()) startServing(now);
    } else if (phase == Phase.SERVING
        && currentChange != null
        && !currentChange.isDuplicate()
        && response.number() == currentChange.number()) {
      currentChange.onAcceptedBy(from);
      if (!currentChange.isCommitted()
          && currentChange.acceptedCount() >= context.members().majoritySize()) commit(now);
    }
  }

  private void startServing(long now) {
    failedElections = 0;
    acknowledgeNotBeforeMs = preparedAtMs + (isStrict() ? context.config().leaseMs() + 1 : 0);
    commandNotBeforeMs = preparedAtMs + context.config().commandHandoverGapMs() + 1;
    servingSinceMs = now;
    confirmedAtMs = CoreHost.NEVER;
    leases.clear();
    changedAtMs = now - context.knownAgeMs(key, value.number(), now);
    transitionTo(Phase.SERVING, null, now);
    context.onCommitted(key, value);
    context.requestConfirmationRound();
  }

  /** Gives the epoch up; what was under way is answered as unknown, what waits as without owner. */
  void stepDown(StepDownReason reason, long now) {
    if (phase == Phase.IDLE) return;
    if (phase != Phase.SERVING) failedElections++;
    transitionTo(Phase.IDLE, reason, now);
    electionTimerFromMs = now;
    leases.clear();
    if (currentChange != null)
      currentChange.answer(new ChangeResult.Unknown(currentChange.number()));
    currentChange = null;
    refuseQueuedChanges();
    pendingConfirmations.abandonAll();
  }

  /** Changes that nothing was written for yet. */
  private void refuseQueuedChanges() {
    List<PendingChange> refused = new ArrayList<>(queuedChanges);
    queuedChanges.clear();
    for (PendingChange change : refused) change.answer(new ChangeResult.NoOwner());
  }

  /** A member answered a confirmation round: with its promise, and with what it has on disk. */
  void onEpochStatus(String from, EpochStatus status, long now) {
    onEpochSeen(status.promisedEpoch());
    if (phase != Phase.SERVING || status.epoch() != epoch) return;
    if (!status.granted()) {
      stepDown(StepDownReason.CONFIRMATION_REJECTED, now);
      return;
    }
    if (status.acceptedEpoch() < epoch || status.acceptedNumber() < value.number())
      context.send(from, new AcceptRequest(key, epoch, value));
  }

  /** A majority confirmed the epoch in the round with this number, begun at this time. */
  void onRoundConfirmed(long round, long roundStartMs) {
    confirmedAtMs = Math.max(confirmedAtMs, roundStartMs);
    if (isServing()) pendingConfirmations.onRoundConfirmed(round);
  }

  /** Has one of the two run, sooner or later; false, and none runs, where too many wait already. */
  private boolean queueForConfirmation(Runnable onConfirmed, Runnable onAbandoned, long now) {
    if (!pendingConfirmations.add(context.latestRoundNumber(), now, onConfirmed, onAbandoned))
      return false;
    context.requestConfirmationRound();
    return true;
  }

  /**
   * The committed value, once a majority has confirmed this epoch in a round begun after the
   * asking: whatever was acknowledged anywhere before it is then in it. A repeated reader of this
   * moment may be told a newer one.
   */
  void read(Consumer<ReadResult> onResult, long now) {
    Runnable onNoOwner = () -> onResult.accept(ReadResult.NO_OWNER);
    boolean accepted =
        isServing()
            && queueForConfirmation(() -> onResult.accept(ReadResult.of(value)), onNoOwner, now);
    if (!accepted) onNoOwner.run();
  }

  /** Takes a change, acknowledges again one that was taken, or says why not. */
  void propose(ChangeRequest request, Consumer<ChangeResult> onResult, long now) {
    if (phase != Phase.SERVING) onResult.accept(new ChangeResult.NoOwner());
    else if (queuedChanges.size() >= context.config().maxPendingChanges())
      onResult.accept(new ChangeResult.QueueFull());
    else {
      queuedChanges.add(new PendingChange(request, now, onResult));
      startNextChange(now);
    }
  }

  private void startNextChange(long now) {
    while (currentChange == null && !queuedChanges.isEmpty())
      startChange(queuedChanges.poll(), now);
  }

  /**
   * A change that follows the newest value is written at once, as a majority that accepts it
   * confirms the owner too. To refuse one, or to say that it was taken before, a majority has to
   * confirm first that this owner's value is still the newest.
   */
  private void startChange(PendingChange change, long now) {
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
    if (appliedNumber == 0 && follows) writeChange(change, now);
    else if (!change.isOwnershipConfirmed()) confirmThenRetry(change, now);
    else if (appliedNumber > 0) acknowledgeDuplicate(change, appliedNumber, now);
    else if (value.statusOf(change.identity(), request.base()) == ChangeStatus.EXPIRED)
      change.answer(new ChangeResult.Unknown(request.resultingNumber()));
    else change.answer(new ChangeResult.Conflict(value.number()));
  }

  /** The number under which the same change, or the same value as the newest, was taken; or 0. */
  private long appliedNumber(PendingChange change) {
    long applied = value.appliedNumber(change.identity(), change.request().base());
    if (applied > 0) return applied;
    return change.digest().equals(value.digest()) ? value.number() : 0;
  }

  private void writeChange(PendingChange change, long now) {
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
    change.write(next, now);
    context.broadcast(new AcceptRequest(key, epoch, next));
  }

  private String summary(byte[] body, PrefixSharing sharing) {
    String summary = context.summarize(key, value.body(), body);
    long number = value.number() + 1;
    if (sharing.since() != number) return summary;
    context.logEvent("prefix-sharing-begins-anew", "key", key, "number", number);
    return summary + SHARING_BEGINS_ANEW;
  }

  /** Starts the change again once a majority has confirmed this owner. */
  private void confirmThenRetry(PendingChange change, long now) {
    Runnable retry =
        () -> {
          change.onOwnershipConfirmed();
          queuedChanges.addFirst(change);
          startNextChange(context.nowMs());
        };
    Runnable onAbandoned = () -> change.answer(new ChangeResult.NoOwner());
    if (!queueForConfirmation(retry, onAbandoned, now)) change.answer(new ChangeResult.QueueFull());
  }

  private void acknowledgeDuplicate(PendingChange change, long number, long now) {
    currentChange = change;
    change.markDuplicateOf(number, now);
    acknowledgeIfDue(now);
  }

  /** The change under way is on a majority: it counts from now on, whatever its sender hears. */
  private void commit(long now) {
    VersionedValue previous = value;
    value = currentChange.value();
    changedAtMs = now;
    currentChange.commit(now);
    context.onCommitted(key, value);
    if (StateKeys.PUSHED.contains(key)) context.pushChange(key, epoch, previous, value);
    acknowledgeIfDue(now);
  }

  /** Acknowledges the change under way once no lease has to be waited for, and goes on. */
  private void acknowledgeIfDue(long now) {
    PendingChange change = currentChange;
    if (change == null || !change.isCommitted() || now < acknowledgeNotBeforeMs && !isLeaseless())
      return;
    SubscriberLeases.Acknowledgements acknowledgements =
        leases.acknowledgements(change.number(), change.committedAtMs(), now);
    change.onLeasesLapsed(acknowledgements.lapsed());
    if (!acknowledgements.complete()) return;
    context.onAcknowledged(key, change.number());
    change.answer(
        new ChangeResult.Acknowledged(
            change.number(),
            change.isDuplicate(),
            acknowledgements.acknowledged(),
            change.lapsedLeases() + acknowledgements.notAwaited(),
            change.ageMs(now)));
    currentChange = null;
    startNextChange(now);
  }

  private boolean isStrict() {
    return context.config().acknowledgementMode() == QuorumConfig.AcknowledgementMode.STRICT;
  }

  private boolean isLeaseless() {
    return !StateKeys.LEASED.contains(key);
  }

  /** What no majority confirms in time, or can, is answered while its sender listens. */
  private void abandonUnconfirmed(long now) {
    if (context.isIsolatedFromMajority(now)) pendingConfirmations.abandonAll();
    else pendingConfirmations.abandonRequestedUntil(now - ForwardedReads.READ_TIMEOUT_MS);
  }

  /** Looks what is due by time alone. */
  void tick(long now) {
    if (!pendingConfirmations.isEmpty()) abandonUnconfirmed(now);
    if (!queuedChanges.isEmpty() && context.isIsolatedFromMajority(now)) refuseQueuedChanges();
    if (isCandidate() && now - electionTimerFromMs > electionTimeoutMs())
      stepDown(StepDownReason.ELECTION_TIMED_OUT, now);
    if (isServing() && isUnconfirmed(now)) stepDown(StepDownReason.CONFIRMATION_TIMED_OUT, now);
    if (isServing() && currentChange != null) advanceCurrentChange(now);
  }

  private boolean isCandidate() {
    return phase == Phase.PREPARING || phase == Phase.REWRITING;
  }

  private boolean isUnconfirmed(long now) {
    long sinceMs = now - Math.max(confirmedAtMs, servingSinceMs);
    return sinceMs > LEASES_UNTIL_UNCONFIRMED * context.config().leaseMs();
  }

  private void advanceCurrentChange(long now) {
    if (!currentChange.isCommitted()
        && currentChange.sinceSentMs(now) > context.config().confirmIntervalMs())
      resendCurrentChange(now);
    if (currentChange.ageMs(now) > context.config().changeTimeoutMs())
      currentChange.answer(new ChangeResult.Unknown(currentChange.number()));
    acknowledgeIfDue(now);
  }

  private void resendCurrentChange(long now) {
    currentChange.onResent(now);
    for (MemberSet.Member peer : context.members().all())
      if (!currentChange.isAcceptedBy(peer.name()))
        context.send(peer.name(), new AcceptRequest(key, epoch, currentChange.value()));
  }

  /**
   * A data-plane process asked for a key's value and its lease.
   *
   * @param subscriber its name and incarnation
   * @param wantsLease whether it is one whose lease an acknowledgement waits for
   * @param known the version it holds
   * @return a grant where it holds the newest number, else null and a push is due
   */
  StateUpdate.LeaseGrant onSubscription(
      String subscriber, boolean wantsLease, StateUpdate.KnownVersion known, long now) {
    leases.onRequest(subscriber, known.number(), now);
    StateUpdate.LeaseGrant grant = null;
    long remainingMs = confirmedAtMs + context.config().leaseMs() - now;
    if (known.number() == value.number() && remainingMs > 0) {
      int cutoffMs =
          key.equals(StateKeys.WEIGHTS)
              ? (int) Math.max(0, context.weightsAgeCutoffMs() - valueAgeMs(now))
              : 0;
      grant = new StateUpdate.LeaseGrant(key, epoch, value.number(), (int) remainingMs, cutoffMs);
      if (wantsLease && StateKeys.LEASED.contains(key))
        leases.grant(subscriber, known.number(), now + remainingMs, now);
    }
    acknowledgeIfDue(now);
    return grant;
  }
}
