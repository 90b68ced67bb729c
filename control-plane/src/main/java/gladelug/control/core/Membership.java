package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.message.StateKeys;
import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.Activate;
import gladelug.control.core.message.CoreMessage.BootstrapAnnouncement;
import gladelug.control.core.message.CoreMessage.BootstrapBallot;
import gladelug.control.core.message.CoreMessage.DrainNotice;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.message.CoreMessage.JoinRequest;
import gladelug.control.core.message.CoreMessage.SealRequest;
import gladelug.control.core.message.CoreMessage.SealResponse;
import gladelug.control.core.register.DurableState;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.RegisterRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The membership of the core as one member sees it: bootstrap, joining, draining, and the change to
 * the members of the next generation. Called on the core's thread only.
 *
 * <pre>
 * uninitialized  no generation yet: votes on the first members, or asks to join
 *      |         a majority of the voters accepted a set, or a member sent an active generation
 *      v
 * active         takes part in its generation; the owner of the key core proposes the next members,
 *      |         which are written like any value of that key, so there is one next generation
 *      |         the change is committed, or another member asks to seal
 *      v
 * sealed         durably refuses the generation and reports what it stores; each sealed member can
 *      |         complete the change: it collects a majority of seal responses, merges the registers
 *      |         (highest value and promise of each key) and tells the next members to activate
 *      |----->   active, if it is a member of the next generation
 *      v
 * retired        a generation without this member is active: asks to join again
 * </pre>
 */
final class Membership {
  /**
   * Interval between two join requests, and between two checks by the owner whether the members
   * should change.
   */
  private static final long JOIN_INTERVAL_MS = 300;

  /** How long a join request is valid. */
  private static final long JOIN_REQUEST_LIFETIME_MS = 3000;

  /**
   * Minimum interval between two transfers of the registers to a member that lags behind; the
   * transfer time of large registers is added.
   */
  private static final long RESEND_GENERATION_INTERVAL_MS = 500;

  private final CoreMember context;
  private final MemberSet.Member self;

  /** The voters given at the first start; null for a process that is no voter. */
  private final BootstrapMembers bootstrapMembers;

  /** The vote on the first members; null if this process takes no part in it, or no more. */
  private BootstrapVoter bootstrap;

  private MemberSet members = MemberSet.NONE;

  /** Whether a later generation is active without this member. */
  private boolean retired;

  /** The members of the newest known generation, to which this member may not belong. */
  private MemberSet newestKnown = MemberSet.NONE;

  /** The newest generation of which a message arrived. */
  private long newestGenerationHeard;

  private final JoinCandidates joinCandidates = new JoinCandidates();

  /** By member: when it last sent this node its generation; used while this node is no member. */
  private final Map<String, Long> generationReceivedAtMs = new HashMap<>();

  /** Members of earlier generations, which have to be told that they were removed. */
  private final Map<String, MemberSet.Member> formerMembers = new HashMap<>();

  /** By name: when this generation may be sent to the member again. */
  private final Map<String, Long> resendGenerationAtMs = new HashMap<>();

  /** By member: when its last notice that it is draining arrived. */
  private final Map<String, Long> drainNoticeReceivedAtMs = new HashMap<>();

  /** By member: the newest generation that it is known to take part in. */
  private final Map<String, Long> activeGenerations = new HashMap<>();

  /** The change to the next generation. */
  private final Reconfiguration reconfiguration;

  private long joinRequestedAtMs = CoreHost.NEVER;
  private long lastPlannedAtMs = CoreHost.NEVER;
  private long drainNoticeSentAtMs = CoreHost.NEVER;

  Membership(CoreMember context, MemberSet.Member self, BootstrapMembers bootstrapMembers) {
    this.context = context;
    this.self = self;
    this.reconfiguration = new Reconfiguration(context, this, self);
    this.bootstrapMembers = bootstrapMembers;
  }

  /** Restores the state found on disk. Stored members take precedence over the given voters. */
  void recover(Map<String, byte[]> storedState) {
    byte[] storedMembers = storedState.get(DurableState.ACTIVE_MEMBERS);
    byte[] storedNextMembers = storedState.get(DurableState.SEALED_FOR);
    if (storedMembers != null) activate(MemberSet.of(storedMembers));
    else if (bootstrapMembers != null) bootstrap = newVoter(storedState);
    if (storedNextMembers != null
        && MemberSet.of(storedNextMembers).generation() > members.generation())
      reconfiguration.recover(MemberSet.of(storedNextMembers), context.host.nowMs());
  }

  private BootstrapVoter newVoter(Map<String, byte[]> storedState) {
    byte[] vote = storedState.get(DurableState.BOOTSTRAP_VOTE);
    byte[] earlierSet = storedState.get(DurableState.BOOTSTRAP_SET);
    BootstrapVote storedVote = BootstrapVote.NONE;
    if (vote != null) storedVote = BootstrapVote.of(vote);
    else if (earlierSet != null)
      storedVote = BootstrapVote.ofEarlierRelease(MemberSet.of(earlierSet));
    return new BootstrapVoter(
        context.host,
        context.config,
        self,
        bootstrapMembers,
        storedVote,
        this::newEnvelope,
        this::onBootstrapAgreed);
  }

  private boolean isWitness() {
    return bootstrapMembers != null && bootstrapMembers.witness();
  }

  MemberSet members() {
    return members;
  }

  boolean isInitialized() {
    return members.generation() > 0;
  }

  boolean isSealed() {
    return reconfiguration.isSealed();
  }

  boolean isRetired() {
    return retired;
  }

  /** Returns whether this member takes part in its generation. */
  boolean isActive() {
    return isInitialized() && !isSealed() && !retired;
  }

  private void activate(MemberSet next) {
    for (MemberSet.Member member : members.all())
      if (next.find(member.name()) == null) formerMembers.put(member.name(), member);
    MemberSet previous = members;
    members = next;
    reconfiguration.clear();
    retired = false;
    context.onGenerationStarted(previous, next);
  }

  Envelope newEnvelope(CoreMessage message) {
    return new Envelope(members.generation(), context.self, context.disk, message);
  }

  boolean isBootstrapping() {
    return bootstrap != null;
  }

  void tickBootstrap(long nowMs) {
    if (bootstrap != null) bootstrap.tick(nowMs);
  }

  private void onBootstrapAgreed(MemberSet agreed) {
    if (!isWitness()) {
      if (!isInitialized()) installGeneration(agreed, List.of());
      return;
    }
    endBootstrap();
    newestKnown = agreed;
    context.host.logEvent("witnessed-bootstrap", "generation", agreed.generation());
  }

  private void endBootstrap() {
    if (bootstrap != null) bootstrap.end();
    bootstrap = null;
  }

  /**
   * Sends join requests from a machine that is neither a member nor a bootstrap member. It has no
   * vote until it has joined.
   */
  void requestToJoin(long nowMs) {
    if (bootstrap != null || isWitness() || nowMs - joinRequestedAtMs < JOIN_INTERVAL_MS) return;
    joinRequestedAtMs = nowMs;
    Set<Address> addresses = new HashSet<>(context.host.contactAddresses());
    for (MemberSet.Member member : newestKnown.all()) addresses.add(member.recordsAddress());
    for (MemberSet.Member member : members.all()) addresses.add(member.recordsAddress());
    addresses.remove(self.recordsAddress());
    for (Address address : addresses)
      context.host.sendTo(
          address,
          newEnvelope(
              new JoinRequest(
                  self.recordsAddress().toString(), self.operatorAddress().toString())));
  }

  /** Returns whether a message of a later generation than this member's has arrived. */
  boolean isBehind() {
    return newestGenerationHeard > members.generation();
  }

  /**
   * Handles messages that are valid across generations. Returns whether the message was one of
   * them.
   */
  boolean onMembershipMessage(Envelope envelope, long nowMs) {
    CoreMessage message = envelope.message();
    newestGenerationHeard = Math.max(newestGenerationHeard, envelope.generation());
    if (message instanceof BootstrapAnnouncement announcement)
      onBootstrapping(envelope, announcement.recordsAddress(), nowMs);
    else if (message instanceof BootstrapBallot announcement) {
      if (bootstrap != null) bootstrap.onAnnouncement(envelope, announcement, nowMs);
      else onBootstrapping(envelope, announcement.recordsAddress(), nowMs);
    } else if (message instanceof Activate activation) {
      generationReceivedAtMs.put(envelope.sender(), nowMs);
      activeGenerations.merge(envelope.sender(), envelope.generation(), Math::max);
      onActivate(activation);
    } else if (message instanceof JoinRequest request) onJoinRequest(envelope, request, nowMs);
    else if (message instanceof DrainNotice) onDrainNotice(envelope, nowMs);
    else if (message instanceof SealRequest request)
      reconfiguration.onSealRequest(envelope, request, nowMs);
    else if (message instanceof SealResponse response)
      reconfiguration.onSealResponse(envelope.sender(), response);
    else return false;
    return true;
  }

  /** Tells a process that takes part in a bootstrap that the fleet exists, if this one knows. */
  private void onBootstrapping(Envelope envelope, String recordsAddress, long nowMs) {
    MemberSet.Member member = members.find(envelope.sender());
    if (member != null && member.diskId().equals(envelope.senderDisk())) {
      sendGeneration(envelope.sender(), nowMs);
      return;
    }
    MemberSet known = isInitialized() ? members : newestKnown;
    if (known.generation() == 0) return;
    // the sender has another disk or is no member: it has to join, or only learns the first members
    context.host.logEvent("unknown-node-at-bootstrap", "name", envelope.sender());
    context.host.sendTo(Address.of(recordsAddress), newEnvelope(new Activate(known, List.of())));
  }

  /**
   * Sends this generation's members to a node that seems not to know them, and all registers too if
   * it is a member. A sealed member also does so: without the member that lags behind there may be
   * too few members to seal the generation.
   */
  void sendGeneration(String name, long nowMs) {
    MemberSet.Member member = members.find(name);
    if (nowMs < resendGenerationAtMs.getOrDefault(name, Long.MIN_VALUE)) return;
    List<RegisterRecord> registers = member == null ? List.of() : context.registers.records();
    resendGenerationAtMs.put(
        name, nowMs + RESEND_GENERATION_INTERVAL_MS + Reconfiguration.transferTimeMs(registers));
    if (member != null)
      context.host.sendTo(member.recordsAddress(), newEnvelope(new Activate(members, registers)));
    else if (formerMembers.containsKey(name))
      context.host.sendTo(
          formerMembers.get(name).recordsAddress(), newEnvelope(new Activate(members, List.of())));
  }

  private void onActivate(Activate activation) {
    MemberSet received = activation.members();
    if (received.generation() > newestKnown.generation()) newestKnown = received;
    if (received.generation() <= members.generation()) return;
    MemberSet.Member ownEntry = received.find(context.self);
    if (ownEntry == null || !ownEntry.diskId().equals(context.disk)) {
      if (!isInitialized() && bootstrap != null) {
        endBootstrap();
        context.host.logEvent(
            "bootstrapped-without-this-disk", "generation", received.generation());
      }
      if (isInitialized() && !retired) {
        retired = true;
        context.stepDownAll(StepDownReason.MEMBER_REMOVED);
        context.host.logEvent("member-removed", "generation", received.generation());
      }
      return;
    }
    // sent to an address that a non-member had before, so the registers are still to come
    if (received.generation() > 1 && activation.registers().isEmpty()) return;
    installGeneration(received, activation.registers());
  }

  /**
   * Stores a generation: first the registers, then the members. The generation becomes active only
   * once its members are on disk.
   */
  private void installGeneration(MemberSet received, List<RegisterRecord> registers) {
    for (RegisterRecord register : registers)
      context.store(
          register.key(),
          Register.merge(context.register(register.key()), Register.of(register.register())),
          () -> {});
    context.host.sync(
        DurableState.ACTIVE_MEMBERS,
        received.toBytes(),
        () -> {
          if (received.generation() > members.generation()) {
            endBootstrap();
            activate(received);
          }
        });
  }

  private void onJoinRequest(Envelope envelope, JoinRequest request, long nowMs) {
    MemberSet.Member candidate =
        new MemberSet.Member(
            envelope.sender(),
            envelope.senderDisk(),
            Address.of(request.recordsAddress()),
            Address.of(request.operatorAddress()));
    if (bootstrap != null) bootstrap.onJoinRequest(candidate, nowMs);
    else if (isWitness() && newestKnown.generation() > 0)
      context.host.sendTo(
          candidate.recordsAddress(), newEnvelope(new Activate(newestKnown, List.of())));
    if (!isInitialized() || retired) return;
    MemberSet.Member member = members.find(envelope.sender());
    if (member != null && member.diskId().equals(envelope.senderDisk())) {
      if (envelope.generation() < members.generation()) sendGeneration(envelope.sender(), nowMs);
      return;
    }
    if (isSealed()) return;
    if (joinCandidates.onRequest(candidate, nowMs))
      context.host.logEvent(
          "join-requested", "name", candidate.name(), "records", candidate.recordsAddress());
    context.host.sendTo(candidate.recordsAddress(), newEnvelope(new Activate(members, List.of())));
  }

  private void onDrainNotice(Envelope envelope, long nowMs) {
    if (envelope.generation() < members.generation()) {
      sendGeneration(envelope.sender(), nowMs);
      return;
    }
    MemberSet.Member member = members.find(envelope.sender());
    if (member != null && member.diskId().equals(envelope.senderDisk()))
      drainNoticeReceivedAtMs.put(member.name(), nowMs);
  }

  boolean isDraining(String name, long nowMs) {
    Long receivedAtMs = drainNoticeReceivedAtMs.get(name);
    return receivedAtMs != null && nowMs - receivedAtMs < context.config.peerTimeoutMs();
  }

  /**
   * Notifies all nodes that may be members that this member is draining. They respond with a newer
   * generation if there is one.
   */
  void announceDraining(long nowMs) {
    if (nowMs - drainNoticeSentAtMs < context.config.heartbeatMs()) return;
    drainNoticeSentAtMs = nowMs;
    context.sendToAll(new DrainNotice());
    for (MemberSet.Member member : newestKnown.all())
      if (!member.equals(members.find(member.name())))
        context.host.sendTo(member.recordsAddress(), newEnvelope(new DrainNotice()));
  }

  /**
   * Returns whether this member may stop without reducing the fault tolerance of the others: it is
   * no member, or a majority takes part in a generation without it, or there is no standby machine
   * to replace it and a majority is alive without it.
   */
  boolean isSafeToStop(long nowMs) {
    if (!isInitialized()) return true;
    if (retired) return countActive(newestKnown) >= newestKnown.majoritySize();
    if (isSealed() || hasStandbySuccessor()) return false;
    int others = 0;
    for (MemberSet.Member member : members.all())
      if (!member.name().equals(context.self)
          && context.isAliveAndNotDraining(member.name(), nowMs)) others++;
    return others >= Math.min(members.majoritySize(), members.all().size() - 1);
  }

  private int countActive(MemberSet generation) {
    int active = 0;
    for (MemberSet.Member member : generation.all())
      if (activeGenerations.getOrDefault(member.name(), 0L) >= generation.generation()) active++;
    return active;
  }

  private boolean hasStandbySuccessor() {
    return context.config.replaceDeadAfterMs() > 0
        && joinCandidates(JOIN_REQUEST_LIFETIME_MS).stream()
            .anyMatch(candidate -> members.find(candidate.name()) == null);
  }

  /**
   * Returns the address to which a standby machine forwards operators' requests: that of the member
   * heard from last. Null if there is none or this node is a member itself.
   */
  Address forwardingAddress(long nowMs) {
    if (isInitialized() && !retired) return null;
    MemberSet.Member latest = null;
    for (MemberSet.Member member : newestKnown.all()) {
      Long receivedAtMs = generationReceivedAtMs.get(member.name());
      if (receivedAtMs == null
          || nowMs - receivedAtMs >= 2L * context.config.peerTimeoutMs()
          || member.recordsAddress().equals(self.recordsAddress())) continue;
      if (latest == null || receivedAtMs > generationReceivedAtMs.get(latest.name()))
        latest = member;
    }
    return latest == null ? null : latest.recordsAddress();
  }

  /**
   * Returns the address at which a standby machine receives responses. Null for other senders, and
   * if this member is not active.
   */
  Address standbyAddress(Envelope envelope) {
    MemberSet.Member candidate = isActive() ? joinCandidates.find(envelope.sender()) : null;
    return candidate == null
            || !candidate.diskId().equals(envelope.senderDisk())
            || members.find(envelope.sender()) != null
        ? null
        : candidate.recordsAddress();
  }

  /** Returns the machines that recently asked to join, which an operator may make members. */
  List<MemberSet.Member> joinCandidates() {
    return joinCandidates(JOIN_REQUEST_LIFETIME_MS);
  }

  private List<MemberSet.Member> joinCandidates(long withinMs) {
    return joinCandidates.recent(withinMs, members, context.host.nowMs());
  }

  /**
   * Creates a plan from the recent join candidates. A committed next member set cannot be
   * withdrawn, so only candidates heard within the peer time-out are added.
   */
  private MembershipPlan newPlan(long nowMs) {
    return new MembershipPlan(
        members,
        joinCandidates(context.config.peerTimeoutMs()),
        name -> context.isAliveAndNotDraining(name, nowMs));
  }

  /**
   * Checks, if this member owns the key core, whether the members should change without an
   * operator's request.
   */
  void proposeMembershipChange(long nowMs) {
    if (nowMs - lastPlannedAtMs < JOIN_INTERVAL_MS
        || !context.owns(StateKeys.CORE)
        || context.owner(StateKeys.CORE).hasPendingChanges()) return;
    lastPlannedAtMs = nowMs;
    if (pendingMembers(context.owner(StateKeys.CORE).value().body()) != null) return;
    MembershipPlan.MembershipChange change =
        newPlan(nowMs)
            .nextChange(
                name -> context.silenceMs(name, nowMs),
                name -> isDraining(name, nowMs),
                context.config);
    if (change != null) writeMembershipChange(change, result -> {});
  }

  /**
   * Proposes the next member set as a value of the key core; once committed the current generation
   * is sealed. Only one change is made at a time.
   */
  private void writeMembershipChange(
      MembershipPlan.MembershipChange change, Consumer<ChangeResult> onResult) {
    KeyOwner owner = context.owner(StateKeys.CORE);
    context.host.logEvent(
        "membership-change",
        "reason",
        change.reason(),
        "out",
        change.removed(),
        "in",
        change.added().stream().map(member -> member.name() + "/" + member.diskId()).toList(),
        "generation",
        change.next().generation());
    ChangeRequest request =
        ChangeRequest.withoutBase(StateKeys.CORE, owner.value().number(), change.next().toBytes());
    owner.propose(request, onResult, context.host.nowMs());
  }

  /**
   * Replaces a member on an operator's request. Returns an empty string, or the reason for a
   * refusal, after which nothing has changed.
   */
  String replaceMember(String removed, String replacement, Consumer<ChangeResult> onResult) {
    if (members.find(removed) == null) return removed + " is not a member of the core";
    if (members.find(replacement) != null && !replacement.equals(removed))
      return replacement + " is already a member of the core";
    MemberSet.Member candidate =
        joinCandidates().stream()
            .filter(joining -> joining.name().equals(replacement))
            .findFirst()
            .orElse(null);
    if (candidate == null)
      return replacement
          + " has not asked to join; first run `control-plane run` there with an empty data folder";
    if (!context.owns(StateKeys.CORE))
      return "send this request to "
          + context.keyStatuses().stream()
              .filter(key -> key.key().equals(StateKeys.CORE))
              .map(KeyStatus::owner)
              .findFirst()
              .orElse("another machine")
          + ", which currently owns the core's members";
    if (pendingMembers(context.owner(StateKeys.CORE).value().body()) != null)
      return "another change of members is in progress";
    MembershipPlan.MembershipChange change =
        newPlan(context.host.nowMs())
            .change(MembershipChangeReason.OPERATOR_REQUEST, List.of(removed), List.of(candidate));
    if (change == null)
      return "fewer than a majority of the members would be alive after the replacement";
    writeMembershipChange(change, onResult);
    return "";
  }

  MemberSet pendingMembers(byte[] body) {
    if (body.length == 0) return null;
    MemberSet written = MemberSet.of(body);
    return written.generation() > members.generation() ? written : null;
  }

  /**
   * Returns whether this member has to work on completing a change of members. A member removed by
   * the change continues as well until a majority of the next members takes part: before that, its
   * registers may be the only other copy besides one that may still be lost.
   */
  boolean mustCompleteReconfiguration() {
    return isSealed() && !(retired && countActive(newestKnown) >= newestKnown.majoritySize());
  }

  /** Seals the generation durably for the given next members. */
  void seal(MemberSet next, long nowMs) {
    reconfiguration.seal(next, nowMs);
  }

  /** Completes the change from a sealed generation, once it is this member's turn. */
  void completeReconfiguration(long nowMs) {
    reconfiguration.complete(nowMs);
  }
}
