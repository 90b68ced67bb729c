package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.MemoryBudget;
import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import gladelug.control.core.message.CoreMessage.AcceptResponse;
import gladelug.control.core.message.CoreMessage.ConfirmRequest;
import gladelug.control.core.message.CoreMessage.ConfirmResponse;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.message.CoreMessage.ForwardedChangeRequest;
import gladelug.control.core.message.CoreMessage.ForwardedChangeResponse;
import gladelug.control.core.message.CoreMessage.ForwardedReadRequest;
import gladelug.control.core.message.CoreMessage.ForwardedReadResponse;
import gladelug.control.core.message.CoreMessage.Heartbeat;
import gladelug.control.core.message.CoreMessage.OwnershipClaim;
import gladelug.control.core.message.CoreMessage.PrepareRequest;
import gladelug.control.core.message.CoreMessage.PrepareResponse;
import gladelug.control.core.message.CoreMessage.RelayedStateUpdate;
import gladelug.control.core.message.CoreMessage.RelayedSubscriptionRequest;
import gladelug.control.core.message.CoreMessage.SendTime;
import gladelug.control.core.message.ReadResult;
import gladelug.control.core.register.DurableState;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.RegisterStore;
import gladelug.control.core.register.VersionedValue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * One core member as a pure state machine: the place where its parts are wired, its tick, and its
 * dispatch of messages. The parts: {@link FailureDetector} (who is alive), {@link Elections} (who
 * tries to own which key), {@link KeyOwner} (one key's owner), {@link ConfirmationRounds}, {@link
 * RegisterAcceptor} (the member's side: all durable before it is answered), {@link Membership},
 * {@link SubscriberRegistry} (the data-plane processes), {@link ForwardedChanges} and {@link
 * ForwardedReads}, {@link ChangeHistory} (for operators). Liveness only chooses who tries to own a
 * key; what is safe rests on epochs and majorities alone. One thread calls it, the core's;
 * everything it does goes through its host. Times are of the host's monotonic clock, in ms.
 */
public final class CoreMember {
  static final int MAX_VALUE_BYTES = MemoryBudget.maxValueBytes();

  /** Between two allocations of the replicas' slots among relays, ms. */
  private static final long ALLOCATION_INTERVAL_MS = 200;

  private static final String ANY_MEMBER = "";

  /** How long a draining member waits for the changes under way, ms. */
  private static final long DRAIN_TIMEOUT_MS = 1000;

  private static final int MAX_SUMMARY_LENGTH = 300;

  private final Membership membership;
  final CoreHost host;
  final QuorumConfig config;
  final String self;
  final String disk;
  final long startedAtMs;
  final long incarnation;
  private final int weightsAgeCutoffMs;
  private final OwnerTasks ownerTasks;
  final RegisterStore registers;
  private final OwnershipContext ownership = new MemberOwnership(this);
  private final Map<String, KeyOwner> owners = new TreeMap<>();
  private final FailureDetector failureDetector;
  private final ValueAges valueAges = new ValueAges();
  private final Elections elections;
  private final SubscriberRegistry subscribers;
  private final ChangeHistory changeHistory;
  private final ForwardedChanges forwardedChanges;
  private final ForwardedReads forwardedReads = new ForwardedReads();
  private final RequestSequence requestSequence;
  private final ConfirmationRounds confirmationRounds;
  private final RegisterAcceptor acceptor;

  /** Asked to stop, and since when. */
  private boolean draining;

  private long drainingSinceMs;

  private long lastHeartbeatAtMs = CoreHost.NEVER;
  private long lastAllocationAtMs = CoreHost.NEVER;

  public CoreMember(
      CoreHost host,
      QuorumConfig config,
      MemberSet.Member me,
      int cutoff,
      Map<String, byte[]> durable,
      BootstrapMembers founding,
      OwnerTasks duties) {
    this.host = host;
    this.config = config;
    this.membership = new Membership(this, me, founding);
    this.self = me.name();
    this.disk = me.diskId();
    this.weightsAgeCutoffMs = cutoff;
    this.ownerTasks = duties;
    this.startedAtMs = host.nowMs();
    this.incarnation = host.random(1L << 40) << 20;
    this.requestSequence = new RequestSequence(incarnation);
    this.confirmationRounds =
        new ConfirmationRounds(config, requestSequence, this::members, this::sendToAll);
    this.forwardedChanges = new ForwardedChanges(config.changeResponseTimeoutMs());
    this.failureDetector =
        new FailureDetector(self, host, config, this::members, startedAtMs, incarnation);
    this.elections =
        new Elections(self, config, failureDetector, new ElectionContext(), startedAtMs);
    this.registers = new RegisterStore(host, durable);
    this.acceptor = new RegisterAcceptor(self, host, registers, new AcceptorContext());
    this.changeHistory = new ChangeHistory(host);
    this.subscribers = new SubscriberRegistry(host, new SubscriberContext());
    for (String key : StateKeys.PUSHED) owner(key);
    owner(StateKeys.SHARES);
    membership.recover(
        durable.get(DurableState.ACTIVE_MEMBERS),
        durable.get(DurableState.SEALED_FOR),
        durable.get(DurableState.BOOTSTRAP_SET));
  }

  /** The members of the active generation; NONE before the first. */
  public MemberSet members() {
    return membership.members();
  }

  /** Whether this member knows a generation: it was bootstrapped or let in. */
  public boolean isInitialized() {
    return membership.isInitialized();
  }

  int weightsAgeCutoffMs() {
    return weightsAgeCutoffMs;
  }

  Register register(String key) {
    return registers.get(key);
  }

  /**
   * How large a value of this key may be: with the other keys' it has to fit on the disk, else
   * every member would end on it.
   */
  long maxValueBytes(String key) {
    long room =
        host.maxStateBytes() - registers.bytesOfOtherKeys(key) - RegisterStore.MAX_METADATA_BYTES;
    return Math.max(0, Math.min(MAX_VALUE_BYTES, room));
  }

  KeyOwner owner(String key) {
    return owners.computeIfAbsent(key, newKey -> new KeyOwner(ownership, newKey));
  }

  void send(String member, CoreMessage message) {
    host.send(member, new Envelope(members().generation(), self, disk, message));
  }

  void sendToAll(CoreMessage message) {
    for (MemberSet.Member member : members().all()) send(member.name(), message);
  }

  void stepDownAll(StepDownReason reason) {
    for (KeyOwner owner : owners.values()) owner.stepDown(reason, host.nowMs());
  }

  /** A generation begins here: nothing of the one before it counts. */
  void onGenerationStarted(MemberSet before, MemberSet members) {
    stepDownAll(StepDownReason.GENERATION_CHANGED);
    failureDetector.onGenerationStarted(before, members);
    elections.onGenerationStarted();
    confirmationRounds.clear();
    host.onMembersChanged(members);
    host.logEvent(
        "generation-active",
        "generation",
        members.generation(),
        "names",
        members.all().stream().map(MemberSet.Member::name).toList());
  }

  /** The last contact with a member, both ways, ms. */
  long lastRoundTripAtMs(String member) {
    return failureDetector.lastRoundTripAtMs(member);
  }

  /** How long there was no contact with a member, ms. */
  long silenceMs(String member, long now) {
    return failureDetector.silenceMs(member, now);
  }

  /** Keys come to be when a replica is listed: one commander each. */
  public void ensureKey(String key) {
    owner(key);
  }

  /** What the disk's watch says of the disk; an unhealthy one costs the member its keys. */
  public void updateDiskHealth(boolean nowHealthy) {
    if (!failureDetector.updateHealthy(nowHealthy)) return;
    host.logEvent(nowHealthy ? "disk-healthy" : "disk-unhealthy");
    if (!nowHealthy) stepDownAll(StepDownReason.DISK_UNHEALTHY);
  }

  /**
   * The process was asked to stop: its keys go to others as soon as no change of them is under way,
   * and its place to a machine that stands by.
   */
  public void startDraining() {
    if (draining) return;
    draining = true;
    drainingSinceMs = host.nowMs();
    host.logEvent("draining", "generation", members().generation());
  }

  /** Whether the process may end: it owns nothing, and the others can do without it. */
  public boolean isSafeToStop() {
    return draining
        && owners.values().stream().noneMatch(KeyOwner::isServing)
        && membership.isSafeToStop(host.nowMs());
  }

  private void stepDownForDraining(long now) {
    boolean late = now - drainingSinceMs >= DRAIN_TIMEOUT_MS;
    for (KeyOwner owner : owners.values()) {
      if (!owner.isServing() || owner.hasPendingChanges() && !late) continue;
      owner.stepDown(StepDownReason.DRAINING, now);
      lastHeartbeatAtMs = CoreHost.NEVER;
    }
  }

  /** Whether this member owns the key, as far as it knows. */
  public boolean owns(String key) {
    KeyOwner owner = owners.get(key);
    return owner != null && owner.isServing();
  }

  /** Whether commands may be sent in the key's name now; see {@link CommandLease}. */
  public boolean mayCommand(String key) {
    KeyOwner owner = owners.get(key);
    return owner != null && owner.holdsCommandLease(host.nowMs());
  }

  /** The right to command in a key's name now, with its end. */
  public CommandLease commandLease(String key) {
    return mayCommand(key)
        ? new CommandLease(epochOf(key), owners.get(key).commandLeaseEndMs())
        : CommandLease.NONE;
  }

  /** The epoch of the newest election that this member began for the key; it must be known. */
  public long epochOf(String key) {
    return owners.get(key).epoch;
  }

  // ---- events

  /** Time passes: expires, joins, drains, heartbeats, confirms and elects, in this order. */
  public void tick() {
    long now = host.nowMs();
    expireForwarded(now);
    if (!isInitialized()) {
      membership.announceForBootstrap(now);
      membership.requestToJoin(now);
      return;
    }
    if (draining) membership.announceDraining(now);
    else if (membership.isRetired() || membership.isBehind() || isIsolatedFromMajority(now))
      membership.requestToJoin(now);
    if (membership.mustCompleteReconfiguration()) membership.completeReconfiguration(now);
    if (!membership.isActive()) return;
    membership.proposeMembershipChange(now);
    if (draining) stepDownForDraining(now);
    if (now - lastHeartbeatAtMs >= config.heartbeatMs()) {
      lastHeartbeatAtMs = now;
      List<OwnershipClaim> claims = ownershipClaims(now);
      for (MemberSet.Member member : members().all()) sendHeartbeat(member.name(), claims, now);
    }
    confirmationRounds.tick(owners.values(), now);
    for (KeyOwner owner : owners.values()) owner.tick(now);
    elections.tick(owners.values(), now);
    if (owns(StateKeys.SHARES) && now - lastAllocationAtMs >= ALLOCATION_INTERVAL_MS) {
      lastAllocationAtMs = now;
      ownerTasks
          .allocateCapacity(
              epochOf(StateKeys.SHARES),
              subscribers.activeRelays(now),
              storedValue(StateKeys.CONFIGURATION).getValue())
          .forEach((name, grants) -> grants.forEach(grant -> subscribers.send(name, grant)));
    }
    subscribers.expire(now);
  }

  private List<OwnershipClaim> ownershipClaims(long now) {
    List<OwnershipClaim> claims = new ArrayList<>();
    for (KeyOwner owner : owners.values())
      if (owner.isClaimable(now))
        claims.add(
            new OwnershipClaim(
                owner.key,
                owner.epoch,
                owner.value().number(),
                owner.valueAgeMs(now),
                owner.hasPendingChanges()));
    return claims;
  }

  private void sendHeartbeat(String receiver, List<OwnershipClaim> claims, long now) {
    send(
        receiver,
        new Heartbeat(
            failureDetector.isHealthy() && !draining,
            now - startedAtMs,
            claims,
            new SendTime(incarnation, now),
            failureDetector.lastSendTime(receiver)));
  }

  /** A new connection to a member stands: a sign of life at once, for the time without one. */
  public void onPeerConnected(String member) {
    long now = host.nowMs();
    if (membership.isActive() && members().find(member) != null)
      sendHeartbeat(member, ownershipClaims(now), now);
  }

  /**
   * What was handed on and nobody will answer any more is answered here, with the number to ask
   * about.
   */
  private void expireForwarded(long now) {
    Predicate<String> alive = member -> member.equals(ANY_MEMBER) || isAlive(member, now);
    forwardedChanges.tick(now, alive);
    forwardedReads.tick(now, alive);
  }

  private boolean isAlive(String member, long now) {
    return failureDetector.isAlive(member, now);
  }

  /** Whether a member is alive and is to stay. */
  boolean isAliveAndStays(String member, long now) {
    return isAlive(member, now) && !membership.isDraining(member, now);
  }

  /** Whether there is no contact with a majority, though there could be. */
  boolean isIsolatedFromMajority(long now) {
    return failureDetector.isIsolatedFromMajority(now);
  }

  /** Whether no change or read can be served here or handed on before contact comes back. */
  public boolean isUnavailable() {
    long now = host.nowMs();
    if (membership.isActive()) return isIsolatedFromMajority(now);
    return now - startedAtMs >= 2L * config.peerTimeoutMs()
        && membership.forwardingAddress(now) == null;
  }

  /** Who claims the key and was heard lately; a claim is kept up only while a majority confirms. */
  private String claimedOwner(String key, long now) {
    return failureDetector.claimedOwner(key, register(key).promisedEpoch(), now);
  }

  /** A claimant that what is handed on will reach, and whose answer will reach this member. */
  private String reachableOwner(String key, long now) {
    String claimed = claimedOwner(key, now);
    return claimed == null || !isAlive(claimed, now) ? null : claimed;
  }

  /** Rounds of confirmation that begin from now on have higher numbers. */
  long latestRoundNumber() {
    return confirmationRounds.latestRoundNumber();
  }

  /** The next tick starts a round of confirmation. */
  void requestConfirmationRound() {
    confirmationRounds.startAtNextTick();
  }

  /** A message of another member; one of another generation is answered with this one's at most. */
  public void onMessage(Envelope envelope) {
    long now = host.nowMs();
    if (membership.onMembershipMessage(envelope, now)
        || handleForStandby(envelope)
        || !membership.isActive()) return;
    if (envelope.generation() != members().generation()) {
      if (envelope.generation() < members().generation())
        membership.sendGeneration(envelope.sender(), now);
      return;
    }
    MemberSet.Member member = members().find(envelope.sender());
    if (member == null || !member.diskId().equals(envelope.senderDisk())) return;
    dispatch(envelope.sender(), envelope.message(), now);
  }

  /** Hands a message of a member of this generation to the part whose job it is. */
  private void dispatch(String sender, CoreMessage message, long now) {
    if (message instanceof Heartbeat heartbeat) onHeartbeat(sender, heartbeat, now);
    else if (message instanceof PrepareRequest prepare) onPrepareRequest(sender, prepare);
    else if (message instanceof PrepareResponse response)
      owner(response.key()).onPrepareResponse(sender, response, now);
    else if (message instanceof AcceptRequest accept) acceptor.onAcceptRequest(sender, accept);
    else if (message instanceof AcceptResponse response)
      owner(response.key()).onAcceptResponse(sender, response, now);
    else if (message instanceof ConfirmRequest confirm) acceptor.onConfirmRequest(sender, confirm);
    else if (message instanceof ConfirmResponse response)
      confirmationRounds.onResponse(sender, response, this::owner, now);
    else if (message instanceof RelayedSubscriptionRequest relayed)
      subscribers.onRelayedRequest(relayed.request(), sender, now);
    else if (message instanceof RelayedStateUpdate relayed)
      host.pushUpdate(relayed.subscriber(), relayed.update());
    else if (message instanceof ForwardedChangeRequest change
        && forwardedChanges.isFirstDelivery(change.requestId()))
      onForwardedChange(change, sender, now);
    else if (message instanceof ForwardedReadRequest read)
      readHere(
          read.key(),
          result -> send(sender, new ForwardedReadResponse(read.requestId(), result)),
          now);
    else onForwardedResponse(message);
  }

  private void onForwardedChange(ForwardedChangeRequest forwardedChange, String from, long now) {
    if (isIsolatedFromMajority(now))
      send(
          from,
          new ForwardedChangeResponse(forwardedChange.requestId(), new ChangeResult.NoOwner()));
    else
      owner(forwardedChange.request().key())
          .propose(
              forwardedChange.request(),
              result ->
                  send(from, new ForwardedChangeResponse(forwardedChange.requestId(), result)),
              now);
  }

  private void onForwardedResponse(CoreMessage message) {
    if (message instanceof ForwardedReadResponse readResponse)
      forwardedReads.onResponse(readResponse.requestId(), readResponse.result());
    else if (message instanceof ForwardedChangeResponse changeResponse)
      forwardedChanges.onResponse(changeResponse.requestId(), changeResponse.result());
  }

  /**
   * What is said between a machine that stands by and the member it hands on to; true where that
   * was all.
   */
  private boolean handleForStandby(Envelope envelope) {
    CoreMessage message = envelope.message();
    if (!membership.isActive()) {
      onForwardedResponse(message);
      return true;
    }
    Address standby = membership.standbyAddress(envelope);
    if (standby == null) return false;
    if (message instanceof ForwardedChangeRequest forwardedChange
        && forwardedChanges.isFirstDelivery(forwardedChange.requestId()))
      change(
          forwardedChange.request(),
          result ->
              sendToAddress(
                  standby, new ForwardedChangeResponse(forwardedChange.requestId(), result)));
    else if (message instanceof ForwardedReadRequest forwardedRead)
      readNewest(
          forwardedRead.key(),
          result ->
              sendToAddress(standby, new ForwardedReadResponse(forwardedRead.requestId(), result)));
    return true;
  }

  private void sendToAddress(Address address, CoreMessage message) {
    host.sendTo(address, new Envelope(members().generation(), self, disk, message));
  }

  private void onHeartbeat(String from, Heartbeat heartbeat, long now) {
    boolean wasInContact = failureDetector.onHeartbeat(from, heartbeat, now);
    if (!wasInContact) sendHeartbeat(from, ownershipClaims(now), now);
    for (OwnershipClaim claim : heartbeat.claims()) {
      owner(claim.key()).onEpochSeen(claim.epoch());
      valueAges.onClaim(claim, now);
    }
  }

  /** The most the value of this number may be old by what its owners told, ms. */
  long knownAgeMs(String key, long number, long now) {
    return valueAges.ageMs(key, number, now);
  }

  /**
   * How long ago the value now kept was acknowledged, at the most; for duties whose key this is
   * not.
   */
  public long knownAgeMs(String key) {
    KeyOwner owner = owners.get(key);
    return owner != null && owner.isServing()
        ? owner.valueAgeMs(host.nowMs())
        : knownAgeMs(key, register(key).value().number(), host.nowMs());
  }

  // ---- the member's side: durable before answered

  void store(String key, Register register, Runnable done) {
    registers.put(key, register, done);
  }

  private void onPrepareRequest(String from, PrepareRequest prepare) {
    owner(prepare.key()).onEpochSeen(prepare.epoch());
    acceptor.onPrepareRequest(from, prepare);
  }

  /**
   * Whether another than this member is known to own the key and to be well. It has to be heard
   * more lately than whoever asks needs to have heard it, as that one may have missed its last
   * signs of life, else a takeover would be held back by those who find the owner silent a moment
   * later.
   */
  private boolean hasWorkingOwner(String key, String but) {
    if (but.equals(self)) return false;
    long now = host.nowMs();
    if (owners.get(key).isClaimable(now)) return true;
    String owner = claimedOwner(key, now);
    long lately = (long) config.peerTimeoutMs() - 2L * config.heartbeatMs();
    return owner != null
        && !owner.equals(but)
        && failureDetector.wasHeardWithin(owner, lately, now);
  }

  /** Another is given the time to serve the key. */
  void deferElection(String key, long now) {
    elections.defer(key, now);
  }

  // ---- changes from operators and duties

  /** A change that isn't remembered; see the other. */
  public void change(String key, long match, byte[] body, Consumer<ChangeResult> answer) {
    change(ChangeRequest.withoutBase(key, match, body), answer);
  }

  /** Has a change taken by the key's owner, here or elsewhere, and answers what became of it. */
  public void change(ChangeRequest request, Consumer<ChangeResult> answer) {
    String key = request.key();
    KeyOwner owner = owner(key);
    long now = host.nowMs();
    if (owner.isServing() && !isIsolatedFromMajority(now)) {
      owner.propose(request, answer, now);
      return;
    }
    String other = membership.isActive() ? reachableOwner(key, now) : null;
    Address door = membership.forwardingAddress(now);
    if (other == null && door == null) {
      answer.accept(new ChangeResult.NoOwner());
      return;
    }
    long requestId = requestSequence.next();
    if (other == null) {
      forwardedChanges.onForwarded(requestId, ANY_MEMBER, request.resultingNumber(), now, answer);
      sendToAddress(door, new ForwardedChangeRequest(requestId, request));
      return;
    }
    boolean anyNumber = request.requiredNumber() == ChangeRequest.ANY_NUMBER;
    long expected = anyNumber ? register(key).value().number() + 1 : request.resultingNumber();
    forwardedChanges.onForwarded(requestId, other, expected, now, answer);
    send(other, new ForwardedChangeRequest(requestId, request));
  }

  /**
   * The newest value of a key as its owner, here or elsewhere, has it, off a majority that
   * confirmed the owner after this was asked; so nothing acknowledged before is missing. With no
   * owner it answers that, within a second.
   */
  public void readNewest(String key, Consumer<ReadResult> answer) {
    long now = host.nowMs();
    String other = membership.isActive() && !owns(key) ? reachableOwner(key, now) : null;
    Address door = membership.forwardingAddress(now);
    if (other == null && door == null) {
      readHere(key, answer, now);
      return;
    }
    long requestId = requestSequence.next();
    if (other == null) {
      forwardedReads.onForwarded(requestId, ANY_MEMBER, now, answer);
      sendToAddress(door, new ForwardedReadRequest(requestId, key));
      return;
    }
    forwardedReads.onForwarded(requestId, other, now, answer);
    send(other, new ForwardedReadRequest(requestId, key));
  }

  private void readHere(String key, Consumer<ReadResult> answer, long now) {
    KeyOwner owner = owners.get(key);
    if (owner == null || isIsolatedFromMajority(now)) answer.accept(ReadResult.NO_OWNER);
    else owner.read(answer, now);
  }

  void onValueCommitted(String key, VersionedValue value) {
    if (key.equals(StateKeys.CORE) && membership.pendingMembers(value.body()) != null)
      membership.seal(membership.pendingMembers(value.body()), host.nowMs());
  }

  // ---- data-plane processes

  /**
   * A data-plane process asks here. What this member doesn't own it hands on to the owner, so that
   * a process cut off from the owner alone still has its lease, through the others.
   */
  public void onSubscriptionRequest(StateUpdate.SubscriptionRequest request) {
    long now = host.nowMs();
    subscribers.onRequest(request, now);
    if (!membership.isActive()) return;
    Set<String> owners = new HashSet<>();
    for (StateUpdate.KnownVersion version : request.knownVersions()) {
      String o =
          version.key().equals(StateKeys.CORE) || owns(version.key())
              ? null
              : reachableOwner(version.key(), now);
      if (o != null && owners.add(o)) send(o, new RelayedSubscriptionRequest(request));
    }
  }

  /** A data-plane process couldn't use a change of a key and asks for the value whole. */
  public void onFullValueRequested(String name, String key) {
    subscribers.onFullValueRequested(name, key, host.nowMs());
  }

  /** The value of a pushed key changed: to all processes that ask here. */
  void pushChange(String key, long epoch, VersionedValue before, VersionedValue after) {
    subscribers.pushChange(key, epoch, before, after);
  }

  // ---- what operators ask

  String summarize(String key, byte[] old, byte[] now) {
    String summary = ownerTasks.summarizeChange(key, old, now);
    return summary.length() > MAX_SUMMARY_LENGTH
        ? summary.substring(0, MAX_SUMMARY_LENGTH) + "..."
        : summary;
  }

  PrefixSharing prefixSharing(String key, VersionedValue value, byte[] nextBody) {
    return ownerTasks.prefixSharing(key, value, nextBody);
  }

  void recordAcknowledged(String key, long number) {
    changeHistory.onAcknowledged(key, number);
  }

  /** The changes of a key that are remembered, the oldest first. */
  public List<ChangeRecord> changeHistory(String key) {
    KeyOwner owner = owners.get(key);
    VersionedValue value =
        owner != null && owner.isServing() ? owner.value() : register(key).value();
    return changeHistory.records(key, value);
  }

  /** What may be swapped in: machines that ask to join, lately heard. */
  public List<MemberSet.Member> joinCandidates() {
    return membership.joinCandidates();
  }

  /** An operator's swap; an empty text, or why it can't be, and then nothing changed. */
  public String replaceMember(String out, String incoming, Consumer<ChangeResult> answer) {
    return membership.replaceMember(out, incoming, answer);
  }

  /** Whether this member takes part, so that what it shows is the core's state. */
  public boolean isActive() {
    return membership.isActive();
  }

  /** Whether the generation is sealed and the next not active yet. */
  public boolean isSealed() {
    return membership.isSealed();
  }

  /** Whether a later generation is active without this member. */
  public boolean isRetired() {
    return membership.isRetired();
  }

  /** Each key with its owner, as far as known here; for people. */
  public List<KeyStatus> keyStatuses() {
    long now = host.nowMs();
    List<KeyStatus> out = new ArrayList<>();
    for (KeyOwner owner : owners.values()) {
      if (owner.isServing())
        out.add(
            new KeyStatus(
                owner.key,
                self,
                owner.epoch,
                owner.value().number(),
                owner.value().digest(),
                owner.activeLeases(now),
                owner.sinceConfirmedMs(now)));
      else {
        String other = isInitialized() ? reachableOwner(owner.key, now) : null;
        Register register = register(owner.key);
        out.add(
            new KeyStatus(
                owner.key,
                other == null ? "" : other,
                register.acceptedEpoch(),
                register.value().number(),
                register.value().digest(),
                -1,
                -1));
      }
    }
    return out;
  }

  /** The data-plane processes that asked here lately; for people. */
  public List<SubscriberStatus> subscribers() {
    return new ArrayList<>(subscribers.all());
  }

  /** By member: whether it is alive, as seen from here. */
  public Map<String, Boolean> memberLiveness() {
    long now = host.nowMs();
    Map<String, Boolean> alive = new TreeMap<>();
    for (MemberSet.Member member : members().all())
      alive.put(member.name(), isAlive(member.name(), now));
    return alive;
  }

  /** The value as last kept here and its number; for reading only, never for deciding. */
  public Map.Entry<Long, byte[]> storedValue(String key) {
    KeyOwner owner = owners.get(key);
    VersionedValue value =
        owner != null && owner.isServing() ? owner.value() : register(key).value();
    return Map.entry(value.number(), value.body());
  }

  private final class SubscriberContext implements SubscriberRegistry.Context {
    @Override
    public boolean isInitialized() {
      return CoreMember.this.isInitialized();
    }

    @Override
    public MemberSet members() {
      return CoreMember.this.members();
    }

    @Override
    public KeyOwner servingOwner(String key) {
      return owns(key) ? owners.get(key) : null;
    }

    @Override
    public void send(String member, CoreMessage message) {
      CoreMember.this.send(member, message);
    }

    @Override
    public void onNumberSeen(String key, long number, String subscriber) {
      changeHistory.onSeen(key, number, subscriber);
    }
  }

  private final class AcceptorContext implements RegisterAcceptor.Context {
    @Override
    public void send(String member, CoreMessage response) {
      CoreMember.this.send(member, response);
    }

    @Override
    public boolean hasWorkingOwner(String key, String candidate) {
      return CoreMember.this.hasWorkingOwner(key, candidate);
    }

    @Override
    public void onPromisedToOther(String key) {
      deferElection(key, host.nowMs());
    }
  }

  private final class ElectionContext implements Elections.Context {
    @Override
    public MemberSet members() {
      return CoreMember.this.members();
    }

    @Override
    public String claimedOwner(String key, long now) {
      return CoreMember.this.claimedOwner(key, now);
    }

    @Override
    public boolean isAliveAndStays(String member, long now) {
      return CoreMember.this.isAliveAndStays(member, now);
    }

    @Override
    public boolean isDraining() {
      return draining;
    }
  }
}
