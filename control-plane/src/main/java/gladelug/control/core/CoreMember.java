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
 * One core member as a deterministic state machine: it creates the parts, runs their ticks and
 * dispatches messages to them. The parts are {@link FailureDetector} (which members are alive),
 * {@link Elections} (which member tries to own which key), {@link KeyOwner} (the owner of one key),
 * {@link ConfirmationRounds}, {@link RegisterAcceptor} (the acceptor: everything is durable before
 * it is answered), {@link Membership}, {@link SubscriberRegistry} (the data-plane processes),
 * {@link ForwardedChanges} and {@link ForwardedReads}, and {@link ChangeHistory} (for operators).
 * Liveness only decides which member tries to own a key; safety depends on epochs and majorities
 * alone. Called on the core's thread only; all side effects go through the host. Times are of the
 * host's monotonic clock, in ms.
 */
public final class CoreMember {
  /** Upper bound of a value's body regardless of the free disk space. */
  static final int MAX_VALUE_BYTES = MemoryBudget.maxValueBytes();

  /** Interval between two allocations of the replicas' capacity to the relays. */
  private static final long ALLOCATION_INTERVAL_MS = 200;

  /**
   * Stands for the unknown owner of a change or read that a standby machine forwarded to a member.
   */
  private static final String ANY_MEMBER = "";

  /** How long a draining member waits for pending changes before it gives its keys up. */
  private static final long DRAIN_TIMEOUT_MS = 1000;

  /** Longest summary of a change that is stored; longer ones are cut off. */
  private static final int MAX_SUMMARY_CHARS = 300;

  private final Membership membership;
  final CoreHost host;
  final QuorumConfig config;
  final String self;
  final String disk;
  final long startedAtMs;

  /** Distinguishes this run of the process from earlier ones. */
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

  /** Whether the process was asked to stop. */
  private boolean draining;

  private long drainingSinceMs;

  private long lastHeartbeatAtMs = CoreHost.NEVER;
  private long lastAllocationAtMs = CoreHost.NEVER;

  /**
   * Creates a member and restores its durable state.
   *
   * @param selfMember this member's name, disk id and addresses
   * @param weightsAgeCutoffMs how long after a change of the weights requests may still start with
   *     the old ones, ms
   * @param storedState the durable entries by name
   * @param bootstrapMembers the first members of a new fleet, or null for a member that joins or
   *     already knows its members
   * @param ownerTasks tasks that the owner of a key runs besides the protocol
   */
  public CoreMember(
      CoreHost host,
      QuorumConfig config,
      MemberSet.Member selfMember,
      int weightsAgeCutoffMs,
      Map<String, byte[]> storedState,
      BootstrapMembers bootstrapMembers,
      OwnerTasks ownerTasks) {
    this.host = host;
    this.config = config;
    this.membership = new Membership(this, selfMember, bootstrapMembers);
    this.self = selfMember.name();
    this.disk = selfMember.diskId();
    this.weightsAgeCutoffMs = weightsAgeCutoffMs;
    this.ownerTasks = ownerTasks;
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
    this.registers = new RegisterStore(host, storedState);
    this.acceptor = new RegisterAcceptor(self, host, registers, new AcceptorContext());
    this.changeHistory = new ChangeHistory(host);
    this.subscribers = new SubscriberRegistry(host, new SubscriberContext());
    for (String key : StateKeys.PUSHED) owner(key);
    owner(StateKeys.SHARES);
    membership.recover(storedState);
  }

  /** Returns the members of the active generation; {@link MemberSet#NONE} before the first. */
  public MemberSet members() {
    return membership.members();
  }

  /** Returns whether this member knows a generation, that is, has completed bootstrap or joined. */
  public boolean isInitialized() {
    return membership.isInitialized();
  }

  /** Returns whether this process votes on the first members of the fleet. */
  public boolean isBootstrapping() {
    return membership.isBootstrapping();
  }

  int weightsAgeCutoffMs() {
    return weightsAgeCutoffMs;
  }

  Register register(String key) {
    return registers.get(key);
  }

  /**
   * Returns the largest permitted body of a value of this key, in bytes. It has to fit on the disk
   * together with the values of all other keys; otherwise every member would stop with a full disk.
   */
  long maxValueBytes(String key) {
    long availableBytes =
        host.maxStateBytes() - registers.bytesOfOtherKeys(key) - RegisterStore.MAX_METADATA_BYTES;
    return Math.max(0, Math.min(MAX_VALUE_BYTES, availableBytes));
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

  /**
   * Starts a generation at this member: ownership, elections and rounds of the previous one no
   * longer count.
   */
  void onGenerationStarted(MemberSet previous, MemberSet members) {
    stepDownAll(StepDownReason.GENERATION_CHANGED);
    failureDetector.onGenerationStarted(previous, members);
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

  /** Returns the time of the last contact with a member in both directions. */
  long lastRoundTripAtMs(String member) {
    return failureDetector.lastRoundTripAtMs(member);
  }

  /** Returns for how many ms there has been no contact with a member. */
  long silenceMs(String member, long nowMs) {
    return failureDetector.silenceMs(member, nowMs);
  }

  /**
   * Creates a key if it does not exist. Each listed replica has a key of its own, whose owner is
   * the replica's commander.
   */
  public void ensureKey(String key) {
    owner(key);
  }

  /**
   * Updates whether this member's disk accepts writes in time. A member with an unhealthy disk
   * gives up its keys.
   */
  public void updateDiskHealth(boolean nowHealthy) {
    if (!failureDetector.updateHealthy(nowHealthy)) return;
    host.logEvent(nowHealthy ? "disk-healthy" : "disk-unhealthy");
    if (!nowHealthy) stepDownAll(StepDownReason.DISK_UNHEALTHY);
  }

  /**
   * Starts draining because the process was asked to stop: other members take its keys as soon as
   * those have no pending change, and a standby machine takes its place as a member.
   */
  public void startDraining() {
    if (draining) return;
    draining = true;
    drainingSinceMs = host.nowMs();
    host.logEvent("draining", "generation", members().generation());
  }

  /**
   * Returns whether the process may stop: it is draining, owns no key and is no longer needed by
   * the other members.
   */
  public boolean isSafeToStop() {
    return draining
        && owners.values().stream().noneMatch(KeyOwner::isServing)
        && membership.isSafeToStop(host.nowMs());
  }

  private void stepDownForDraining(long nowMs) {
    boolean timedOut = nowMs - drainingSinceMs >= DRAIN_TIMEOUT_MS;
    for (KeyOwner owner : owners.values()) {
      if (!owner.isServing() || owner.hasPendingChanges() && !timedOut) continue;
      owner.stepDown(StepDownReason.DRAINING, nowMs);
      lastHeartbeatAtMs = CoreHost.NEVER;
    }
  }

  /** Returns whether this member owns the key, as far as it knows. */
  public boolean owns(String key) {
    KeyOwner owner = owners.get(key);
    return owner != null && owner.isServing();
  }

  /**
   * Returns whether this member may send commands as owner of the key now; see {@link
   * CommandLease}.
   */
  public boolean mayCommand(String key) {
    KeyOwner owner = owners.get(key);
    return owner != null && owner.holdsCommandLease(host.nowMs());
  }

  /** Returns the lease to send commands as owner of the key, or {@link CommandLease#NONE}. */
  public CommandLease commandLease(String key) {
    return mayCommand(key)
        ? new CommandLease(epochOf(key), owners.get(key).commandLeaseEndMs())
        : CommandLease.NONE;
  }

  /**
   * Returns the epoch of the newest election that this member started for the key. The key must
   * exist.
   */
  public long epochOf(String key) {
    return owners.get(key).epoch;
  }

  // ---- events

  /**
   * Runs everything that is due: expiry of forwarded requests, joining, draining, heartbeats,
   * confirmation rounds and elections, in this order.
   */
  public void tick() {
    long nowMs = host.nowMs();
    expireForwarded(nowMs);
    if (!isInitialized()) {
      membership.tickBootstrap(nowMs);
      membership.requestToJoin(nowMs);
      return;
    }
    if (draining) membership.announceDraining(nowMs);
    else if (membership.isRetired() || membership.isBehind() || isIsolatedFromMajority(nowMs))
      membership.requestToJoin(nowMs);
    if (membership.mustCompleteReconfiguration()) membership.completeReconfiguration(nowMs);
    if (!membership.isActive()) return;
    membership.proposeMembershipChange(nowMs);
    if (draining) stepDownForDraining(nowMs);
    if (nowMs - lastHeartbeatAtMs >= config.heartbeatMs()) {
      lastHeartbeatAtMs = nowMs;
      List<OwnershipClaim> claims = ownershipClaims(nowMs);
      for (MemberSet.Member member : members().all()) sendHeartbeat(member.name(), claims, nowMs);
    }
    confirmationRounds.tick(owners.values(), nowMs);
    for (KeyOwner owner : owners.values()) owner.tick(nowMs);
    elections.tick(owners.values(), nowMs);
    if (owns(StateKeys.SHARES) && nowMs - lastAllocationAtMs >= ALLOCATION_INTERVAL_MS) {
      lastAllocationAtMs = nowMs;
      ownerTasks
          .allocateCapacity(
              epochOf(StateKeys.SHARES),
              subscribers.activeRelays(nowMs),
              storedValue(StateKeys.CONFIGURATION).getValue())
          .forEach((name, grants) -> grants.forEach(grant -> subscribers.send(name, grant)));
    }
    subscribers.expire(nowMs);
  }

  private List<OwnershipClaim> ownershipClaims(long nowMs) {
    List<OwnershipClaim> claims = new ArrayList<>();
    for (KeyOwner owner : owners.values())
      if (owner.isClaimable(nowMs))
        claims.add(
            new OwnershipClaim(
                owner.key,
                owner.epoch,
                owner.value().number(),
                owner.valueAgeMs(nowMs),
                owner.hasPendingChanges()));
    return claims;
  }

  private void sendHeartbeat(String receiver, List<OwnershipClaim> claims, long nowMs) {
    send(
        receiver,
        new Heartbeat(
            failureDetector.isHealthy() && !draining,
            nowMs - startedAtMs,
            claims,
            new SendTime(incarnation, nowMs),
            failureDetector.lastSendTime(receiver)));
  }

  /**
   * Sends a heartbeat over a new connection to a member at once, since none arrived while there was
   * no connection.
   */
  public void onPeerConnected(String member) {
    long nowMs = host.nowMs();
    if (membership.isActive() && members().find(member) != null)
      sendHeartbeat(member, ownershipClaims(nowMs), nowMs);
  }

  /**
   * Answers forwarded changes and reads that no owner will answer any more. Changes are answered
   * with the version number that a later query needs.
   */
  private void expireForwarded(long nowMs) {
    Predicate<String> alive = member -> member.equals(ANY_MEMBER) || isAlive(member, nowMs);
    forwardedChanges.tick(nowMs, alive);
    forwardedReads.tick(nowMs, alive);
  }

  private boolean isAlive(String member, long nowMs) {
    return failureDetector.isAlive(member, nowMs);
  }

  /** Returns whether a member is alive and not draining. */
  boolean isAliveAndNotDraining(String member, long nowMs) {
    return isAlive(member, nowMs) && !membership.isDraining(member, nowMs);
  }

  /**
   * Returns whether this member has no contact with a majority although it has had the time to make
   * contact.
   */
  boolean isIsolatedFromMajority(long nowMs) {
    return failureDetector.isIsolatedFromMajority(nowMs);
  }

  /**
   * Returns whether changes and reads can be neither served nor forwarded until contact with other
   * members is restored.
   */
  public boolean isUnavailable() {
    long nowMs = host.nowMs();
    if (membership.isActive()) return isIsolatedFromMajority(nowMs);
    return nowMs - startedAtMs >= 2L * config.peerTimeoutMs()
        && membership.forwardingAddress(nowMs) == null;
  }

  /**
   * Returns the member that claims the key and sent a heartbeat recently, or null. An owner keeps
   * its claim only while a majority confirms it.
   */
  private String claimedOwner(String key, long nowMs) {
    return failureDetector.claimedOwner(key, register(key).promisedEpoch(), nowMs);
  }

  /**
   * Returns the claimed owner if requests reach it and its responses reach this member, or null.
   */
  private String reachableOwner(String key, long nowMs) {
    String claimed = claimedOwner(key, nowMs);
    return claimed == null || !isAlive(claimed, nowMs) ? null : claimed;
  }

  /** Returns a number below that of every confirmation round that begins from now on. */
  long latestRoundNumber() {
    return confirmationRounds.latestRoundNumber();
  }

  /** Makes the next tick start a confirmation round. */
  void requestConfirmationRound() {
    confirmationRounds.startAtNextTick();
  }

  /**
   * Handles a message from another member. A message of another generation is not processed; the
   * sender of one of an older generation is sent the current members.
   */
  public void onMessage(Envelope envelope) {
    long nowMs = host.nowMs();
    if (membership.onMembershipMessage(envelope, nowMs)
        || handleForStandby(envelope)
        || !membership.isActive()) return;
    if (envelope.generation() != members().generation()) {
      if (envelope.generation() < members().generation())
        membership.sendGeneration(envelope.sender(), nowMs);
      return;
    }
    MemberSet.Member member = members().find(envelope.sender());
    if (member == null || !member.diskId().equals(envelope.senderDisk())) return;
    dispatch(envelope.sender(), envelope.message(), nowMs);
  }

  /** Dispatches a message from a member of this generation to the part that handles it. */
  private void dispatch(String sender, CoreMessage message, long nowMs) {
    if (message instanceof Heartbeat heartbeat) onHeartbeat(sender, heartbeat, nowMs);
    else if (message instanceof PrepareRequest prepare) onPrepareRequest(sender, prepare);
    else if (message instanceof PrepareResponse response)
      owner(response.key()).onPrepareResponse(sender, response, nowMs);
    else if (message instanceof AcceptRequest accept) acceptor.onAcceptRequest(sender, accept);
    else if (message instanceof AcceptResponse response)
      owner(response.key()).onAcceptResponse(sender, response, nowMs);
    else if (message instanceof ConfirmRequest confirm) acceptor.onConfirmRequest(sender, confirm);
    else if (message instanceof ConfirmResponse response)
      confirmationRounds.onResponse(sender, response, this::owner, nowMs);
    else if (message instanceof RelayedSubscriptionRequest relayed)
      subscribers.onRelayedRequest(relayed.request(), sender, nowMs);
    else if (message instanceof RelayedStateUpdate relayed)
      host.pushUpdate(relayed.subscriber(), relayed.update());
    else if (message instanceof ForwardedChangeRequest change
        && forwardedChanges.isFirstDelivery(change.requestId()))
      onForwardedChange(change, sender, nowMs);
    else if (message instanceof ForwardedReadRequest read)
      readHere(
          read.key(),
          result -> send(sender, new ForwardedReadResponse(read.requestId(), result)),
          nowMs);
    else onForwardedResponse(message);
  }

  private void onForwardedChange(
      ForwardedChangeRequest forwardedChange, String sender, long nowMs) {
    if (isIsolatedFromMajority(nowMs))
      send(
          sender,
          new ForwardedChangeResponse(forwardedChange.requestId(), new ChangeResult.NoOwner()));
    else
      owner(forwardedChange.request().key())
          .propose(
              forwardedChange.request(),
              result ->
                  send(sender, new ForwardedChangeResponse(forwardedChange.requestId(), result)),
              nowMs);
  }

  private void onForwardedResponse(CoreMessage message) {
    if (message instanceof ForwardedReadResponse readResponse)
      forwardedReads.onResponse(readResponse.requestId(), readResponse.result());
    else if (message instanceof ForwardedChangeResponse changeResponse)
      forwardedChanges.onResponse(changeResponse.requestId(), changeResponse.result());
  }

  /**
   * Handles messages between a standby machine and the member it forwards requests to. Returns
   * whether the message needs no further handling.
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

  private void onHeartbeat(String sender, Heartbeat heartbeat, long nowMs) {
    boolean wasInContact = failureDetector.onHeartbeat(sender, heartbeat, nowMs);
    if (!wasInContact) sendHeartbeat(sender, ownershipClaims(nowMs), nowMs);
    for (OwnershipClaim claim : heartbeat.claims()) {
      owner(claim.key()).onEpochSeen(claim.epoch());
      valueAges.onClaim(claim, nowMs);
    }
  }

  /**
   * Returns the maximum age in ms of the value with this number, according to the heartbeats of its
   * owners.
   */
  long knownAgeMs(String key, long number, long nowMs) {
    return valueAges.ageMs(key, number, nowMs);
  }

  /**
   * Returns the maximum time in ms since the currently stored value was committed, for tasks that
   * need it for a key this member does not own.
   */
  public long knownAgeMs(String key) {
    KeyOwner owner = owners.get(key);
    return owner != null && owner.isServing()
        ? owner.valueAgeMs(host.nowMs())
        : knownAgeMs(key, register(key).value().number(), host.nowMs());
  }

  // ---- acceptor: state is durable before a response is sent

  void store(String key, Register register, Runnable onStored) {
    registers.put(key, register, onStored);
  }

  private void onPrepareRequest(String sender, PrepareRequest prepare) {
    owner(prepare.key()).onEpochSeen(prepare.epoch());
    acceptor.onPrepareRequest(sender, prepare);
  }

  /**
   * Returns whether a member other than {@code excludedMember}, the candidate, is known to own the
   * key and to work. The owner must have been heard more recently than the candidate's own time-out
   * requires, since the candidate may have missed the owner's last heartbeats. Otherwise members
   * that detect the owner's failure a moment later would delay the takeover.
   */
  private boolean hasWorkingOwner(String key, String excludedMember) {
    if (excludedMember.equals(self)) return false;
    long nowMs = host.nowMs();
    if (owners.get(key).isClaimable(nowMs)) return true;
    String owner = claimedOwner(key, nowMs);
    long withinMs = (long) config.peerTimeoutMs() - 2L * config.heartbeatMs();
    return owner != null
        && !owner.equals(excludedMember)
        && failureDetector.wasHeardWithin(owner, withinMs, nowMs);
  }

  /** Gives another member the time to serve the key before this one tries for it again. */
  void deferElection(String key, long nowMs) {
    elections.defer(key, nowMs);
  }

  // ---- changes and reads by operators and owner tasks

  /**
   * Applies a change whose sender will not repeat it; see {@link #change(ChangeRequest, Consumer)}.
   */
  public void change(String key, long match, byte[] body, Consumer<ChangeResult> onResult) {
    change(ChangeRequest.withoutBase(key, match, body), onResult);
  }

  /**
   * Proposes a change to the owner of its key, at this or another member, and passes on the result.
   */
  public void change(ChangeRequest request, Consumer<ChangeResult> onResult) {
    String key = request.key();
    KeyOwner owner = owner(key);
    long nowMs = host.nowMs();
    if (owner.isServing() && !isIsolatedFromMajority(nowMs)) {
      owner.propose(request, onResult, nowMs);
      return;
    }
    String remoteOwner = membership.isActive() ? reachableOwner(key, nowMs) : null;
    Address forwardingAddress = membership.forwardingAddress(nowMs);
    if (remoteOwner == null && forwardingAddress == null) {
      onResult.accept(new ChangeResult.NoOwner());
      return;
    }
    long requestId = requestSequence.next();
    if (remoteOwner == null) {
      forwardedChanges.onForwarded(
          requestId, ANY_MEMBER, request.resultingNumber(), nowMs, onResult);
      sendToAddress(forwardingAddress, new ForwardedChangeRequest(requestId, request));
      return;
    }
    boolean anyNumber = request.requiredNumber() == ChangeRequest.ANY_NUMBER;
    long expected = anyNumber ? register(key).value().number() + 1 : request.resultingNumber();
    forwardedChanges.onForwarded(requestId, remoteOwner, expected, nowMs, onResult);
    send(remoteOwner, new ForwardedChangeRequest(requestId, request));
  }

  /**
   * Reads the newest value of a key from its owner, at this or another member. A majority confirms
   * the owner after the read arrived, so the result includes every change that was acknowledged
   * before. Without an owner the result says so within a second.
   */
  public void readNewest(String key, Consumer<ReadResult> onResult) {
    long nowMs = host.nowMs();
    String remoteOwner = membership.isActive() && !owns(key) ? reachableOwner(key, nowMs) : null;
    Address forwardingAddress = membership.forwardingAddress(nowMs);
    if (remoteOwner == null && forwardingAddress == null) {
      readHere(key, onResult, nowMs);
      return;
    }
    long requestId = requestSequence.next();
    if (remoteOwner == null) {
      forwardedReads.onForwarded(requestId, ANY_MEMBER, nowMs, onResult);
      sendToAddress(forwardingAddress, new ForwardedReadRequest(requestId, key));
      return;
    }
    forwardedReads.onForwarded(requestId, remoteOwner, nowMs, onResult);
    send(remoteOwner, new ForwardedReadRequest(requestId, key));
  }

  private void readHere(String key, Consumer<ReadResult> onResult, long nowMs) {
    KeyOwner owner = owners.get(key);
    if (owner == null || isIsolatedFromMajority(nowMs)) onResult.accept(ReadResult.NO_OWNER);
    else owner.read(onResult, nowMs);
  }

  void onValueCommitted(String key, VersionedValue value) {
    if (key.equals(StateKeys.CORE) && membership.pendingMembers(value.body()) != null)
      membership.seal(membership.pendingMembers(value.body()), host.nowMs());
  }

  // ---- data-plane processes

  /**
   * Handles a subscription request of a data-plane process. For keys that this member does not own
   * the request is relayed to the owners, so that a process that cannot reach an owner directly
   * still gets its lease.
   */
  public void onSubscriptionRequest(StateUpdate.SubscriptionRequest request) {
    long nowMs = host.nowMs();
    subscribers.onRequest(request, nowMs);
    if (!membership.isActive()) return;
    Set<String> notifiedOwners = new HashSet<>();
    for (StateUpdate.KnownVersion version : request.knownVersions()) {
      String owner =
          version.key().equals(StateKeys.CORE) || owns(version.key())
              ? null
              : reachableOwner(version.key(), nowMs);
      if (owner != null && notifiedOwners.add(owner))
        send(owner, new RelayedSubscriptionRequest(request));
    }
  }

  /** Sends the full value to a data-plane process that could not apply a delta of a key. */
  public void onFullValueRequested(String name, String key) {
    subscribers.onFullValueRequested(name, key, host.nowMs());
  }

  /** Pushes a new value of a key to all processes that subscribe at this member. */
  void pushChange(String key, long epoch, VersionedValue previous, VersionedValue value) {
    subscribers.pushChange(key, epoch, previous, value);
  }

  // ---- operators' requests

  String summarize(String key, byte[] oldBody, byte[] newBody) {
    String summary = ownerTasks.summarizeChange(key, oldBody, newBody);
    return summary.length() > MAX_SUMMARY_CHARS
        ? summary.substring(0, MAX_SUMMARY_CHARS) + "..."
        : summary;
  }

  PrefixSharing prefixSharing(String key, VersionedValue value, byte[] nextBody) {
    return ownerTasks.prefixSharing(key, value, nextBody);
  }

  void recordAcknowledged(String key, long number) {
    changeHistory.onAcknowledged(key, number);
  }

  /** Returns the remembered changes of a key, oldest first. */
  public List<ChangeRecord> changeHistory(String key) {
    KeyOwner owner = owners.get(key);
    VersionedValue value =
        owner != null && owner.isServing() ? owner.value() : register(key).value();
    return changeHistory.records(key, value);
  }

  /** Returns the machines that recently asked to join and may replace a member. */
  public List<MemberSet.Member> joinCandidates() {
    return membership.joinCandidates();
  }

  /**
   * Replaces a member on an operator's request. Returns an empty string, or the reason for a
   * refusal, after which nothing has changed and {@code onResult} is not called.
   */
  public String replaceMember(String removed, String replacement, Consumer<ChangeResult> onResult) {
    return membership.replaceMember(removed, replacement, onResult);
  }

  /**
   * Returns whether this member takes part in its generation, so that the state it shows is the
   * core's.
   */
  public boolean isActive() {
    return membership.isActive();
  }

  /** Returns whether this generation is sealed and the next one is not active yet. */
  public boolean isSealed() {
    return membership.isSealed();
  }

  /** Returns whether a later generation is active without this member. */
  public boolean isRetired() {
    return membership.isRetired();
  }

  /**
   * Returns the status of each key with its owner, as far as this member knows; shown to operators
   * only.
   */
  public List<KeyStatus> keyStatuses() {
    long nowMs = host.nowMs();
    List<KeyStatus> statuses = new ArrayList<>();
    for (KeyOwner owner : owners.values()) {
      if (owner.isServing())
        statuses.add(
            new KeyStatus(
                owner.key,
                self,
                owner.epoch,
                owner.value().number(),
                owner.value().digest(),
                owner.activeLeases(nowMs),
                owner.sinceConfirmedMs(nowMs)));
      else {
        String remoteOwner = isInitialized() ? reachableOwner(owner.key, nowMs) : null;
        Register register = register(owner.key);
        statuses.add(
            new KeyStatus(
                owner.key,
                remoteOwner == null ? "" : remoteOwner,
                register.acceptedEpoch(),
                register.value().number(),
                register.value().digest(),
                -1,
                -1));
      }
    }
    return statuses;
  }

  /**
   * Returns the data-plane processes that recently sent requests to this member; shown to operators
   * only.
   */
  public List<SubscriberStatus> subscribers() {
    return new ArrayList<>(subscribers.all());
  }

  /** Returns for each member, by name, whether this member considers it alive. */
  public Map<String, Boolean> memberLiveness() {
    long nowMs = host.nowMs();
    Map<String, Boolean> alive = new TreeMap<>();
    for (MemberSet.Member member : members().all())
      alive.put(member.name(), isAlive(member.name(), nowMs));
    return alive;
  }

  /**
   * Returns the version number and body of the value stored at this member. It may be outdated, so
   * no decision may depend on it.
   */
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
    public String claimedOwner(String key, long nowMs) {
      return CoreMember.this.claimedOwner(key, nowMs);
    }

    @Override
    public boolean isAliveAndNotDraining(String member, long nowMs) {
      return CoreMember.this.isAliveAndNotDraining(member, nowMs);
    }

    @Override
    public boolean isDraining() {
      return draining;
    }
  }
}
