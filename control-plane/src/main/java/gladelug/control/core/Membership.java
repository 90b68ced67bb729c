package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.message.StateKeys;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.Activate;
import gladelug.control.core.message.CoreMessage.BootstrapAnnouncement;
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
 * Who the core's members are, at one member: bootstrap, joining, draining, and the change to the
 * members of the next generation. All calls come on the core's thread.
 *
 * <pre>
 * uninitialized  no generation yet: announces for bootstrap, or asks to be let in
 *      |         all bootstrap members stored the same set, or a member sent an active generation
 *      v
 * active         takes part in its generation; the owner of the key core proposes the next members,
 *      |         which are written like any value of that key, so there is one next generation
 *      |         the change is committed, or another member asks to seal
 *      v
 * sealed         durably refuses the generation and says what it stores; whoever is sealed brings the
 *      |         change to an end: a majority of seals, then the registers merged (of every key the
 *      |         highest value and promise), then the next members told to activate
 *      |----->   active, where it is a member of the next generation
 *      v
 * retired        a generation without this member is active: asks to be let in again
 * </pre>
 */
final class Membership {
  /** Between two announcements while a fleet is being bootstrapped. */
  private static final long ANNOUNCE_INTERVAL_MS = 200;

  /** Between two requests to be let in, and between two looks at the members by the owner. */
  private static final long JOIN_INTERVAL_MS = 300;

  /** For how long a request to be let in counts. */
  private static final long JOIN_REQUEST_LIFETIME_MS = 3000;

  /** Between two transfers of the registers to one that lags; longer where they are large. */
  private static final long RESEND_GENERATION_INTERVAL_MS = 500;

  private final CoreMember context;
  private final MemberSet.Member self;
  private Bootstrap bootstrap;
  private MemberSet members = MemberSet.NONE;
  private boolean retired;

  /** The newest members heard of, though this may be none of them. */
  private MemberSet newestKnown = MemberSet.NONE;

  /** The newest generation that anything was said in. */
  private long newestGenerationHeard;

  private MemberSet bootstrapSetBeingStored;

  /** Nodes other than the bootstrap members are known to this bootstrap member. */
  private boolean hasOtherContacts;

  private final JoinCandidates joinCandidates = new JoinCandidates();

  /** While this is no member: when each member last told it who the members are. */
  private final Map<String, Long> generationReceivedAtMs = new HashMap<>();

  /** Members of earlier generations, to be told that they are none any more. */
  private final Map<String, MemberSet.Member> formerMembers = new HashMap<>();

  /** By name: when it may be told again of this generation. */
  private final Map<String, Long> resendGenerationAtMs = new HashMap<>();

  /** By member: when its last notice that it is draining arrived. */
  private final Map<String, Long> drainNoticeReceivedAtMs = new HashMap<>();

  /** By member: the newest generation that it is known to take part in. */
  private final Map<String, Long> activeGenerations = new HashMap<>();

  /** The change to the next generation, while there is one. */
  private final Reconfiguration reconfiguration;

  private long lastAnnouncedAtMs = CoreHost.NEVER;
  private long lastPlannedAtMs = CoreHost.NEVER;
  private long drainNoticeSentAtMs = CoreHost.NEVER;

  Membership(CoreMember context, MemberSet.Member self, BootstrapMembers bootstrapMembers) {
    this.context = context;
    this.self = self;
    this.reconfiguration = new Reconfiguration(context, this, self);
    this.bootstrap =
        bootstrapMembers == null
            ? null
            : new Bootstrap(self.name(), self.diskId(), bootstrapMembers.members());
  }

  /**
   * From what is on disk; each may be missing. What is there goes before what was given at the
   * start.
   */
  void recover(byte[] storedMembers, byte[] storedNextMembers, byte[] storedBootstrapSet) {
    if (storedBootstrapSet != null && bootstrap != null)
      bootstrap.onSetStored(MemberSet.of(storedBootstrapSet));
    if (storedMembers != null) {
      activate(MemberSet.of(storedMembers));
      bootstrap = null;
    }
    if (storedNextMembers != null
        && MemberSet.of(storedNextMembers).generation() > members.generation())
      reconfiguration.recover(MemberSet.of(storedNextMembers), context.host.nowMs());
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

  /** Whether this member takes part in its generation. */
  boolean isActive() {
    return isInitialized() && !isSealed() && !retired;
  }

  private void activate(MemberSet next) {
    for (MemberSet.Member member : members.all())
      if (next.find(member.name()) == null) formerMembers.put(member.name(), member);
    MemberSet before = members;
    members = next;
    reconfiguration.clear();
    retired = false;
    context.onGenerationStarted(before, next);
  }

  Envelope newEnvelope(CoreMessage message) {
    return new Envelope(members.generation(), context.self, context.disk, message);
  }

  void announceForBootstrap(long now) {
    if (bootstrap == null || now - lastAnnouncedAtMs < ANNOUNCE_INTERVAL_MS) return;
    lastAnnouncedAtMs = now;
    Set<Address> addresses = new HashSet<>(context.host.contactAddresses());
    for (MemberSet.Member founder : bootstrap.members().all())
      addresses.remove(founder.recordsAddress());
    addresses.remove(self.recordsAddress());
    hasOtherContacts = !addresses.isEmpty();
    for (MemberSet.Member founder : bootstrap.members().all())
      addresses.add(founder.recordsAddress());
    addresses.remove(self.recordsAddress());
    for (Address address : addresses)
      context.host.sendTo(
          address,
          newEnvelope(
              new BootstrapAnnouncement(
                  self.recordsAddress().toString(),
                  self.operatorAddress().toString(),
                  bootstrap.storedSet())));
    agreeOnBootstrapSet();
  }

  /** One set at a time is put on disk, and is said to the others only from there. */
  private void agreeOnBootstrapSet() {
    if (isInitialized() || bootstrap == null) return;
    // who knows others than the founders gives them the time to say that there is a fleet already
    boolean mayPropose =
        !hasOtherContacts
            || context.host.nowMs() - context.startedAtMs >= 2L * context.config.peerTimeoutMs();
    MemberSet toStore =
        bootstrapSetBeingStored == null ? bootstrap.nextSetToStore(mayPropose) : null;
    if (toStore != null) {
      bootstrapSetBeingStored = toStore;
      context.host.sync(
          DurableState.BOOTSTRAP_SET,
          toStore.toBytes(),
          () -> {
            bootstrapSetBeingStored = null;
            if (bootstrap == null) return;
            bootstrap.onSetStored(toStore);
            lastAnnouncedAtMs = CoreHost.NEVER;
            agreeOnBootstrapSet();
          });
    }
    MemberSet agreed = bootstrap.agreedSet();
    if (agreed != null) installGeneration(agreed, List.of());
  }

  /**
   * A machine that is no member and founds nothing asks to be let in; it votes on nothing
   * meanwhile.
   */
  void requestToJoin(long now) {
    if (bootstrap != null || now - lastAnnouncedAtMs < JOIN_INTERVAL_MS) return;
    lastAnnouncedAtMs = now;
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

  /** Whether a later generation than this member's is in force somewhere. */
  boolean isBehind() {
    return newestGenerationHeard > members.generation();
  }

  /** What is said across generations; true where that was all. */
  boolean onMembershipMessage(Envelope envelope, long now) {
    CoreMessage message = envelope.message();
    newestGenerationHeard = Math.max(newestGenerationHeard, envelope.generation());
    if (message instanceof BootstrapAnnouncement announcement)
      onBootstrapAnnouncement(envelope, announcement, now);
    else if (message instanceof Activate activation) {
      generationReceivedAtMs.put(envelope.sender(), now);
      activeGenerations.merge(envelope.sender(), envelope.generation(), Math::max);
      onActivate(activation);
    } else if (message instanceof JoinRequest request) onJoinRequest(envelope, request, now);
    else if (message instanceof DrainNotice) onDrainNotice(envelope, now);
    else if (message instanceof SealRequest request)
      reconfiguration.onSealRequest(envelope, request, now);
    else if (message instanceof SealResponse response)
      reconfiguration.onSealResponse(envelope.sender(), response);
    else return false;
    return true;
  }

  private void onBootstrapAnnouncement(
      Envelope envelope, BootstrapAnnouncement announcement, long now) {
    if (isInitialized()) {
      MemberSet.Member member = members.find(envelope.sender());
      if (member != null && member.diskId().equals(envelope.senderDisk()))
        sendGeneration(envelope.sender(), now);
      else {
        // it founds what was founded already, with another disk or long after: it shall join
        context.host.logEvent("unknown-node-at-bootstrap", "name", envelope.sender());
        context.host.sendTo(
            Address.of(announcement.recordsAddress()),
            newEnvelope(new Activate(members, List.of())));
      }
      return;
    }
    if (bootstrap == null) return;
    MemberSet.Member founder = bootstrap.members().find(envelope.sender());
    if (founder == null) return;
    bootstrap.onAnnouncement(
        envelope.sender(), envelope.senderDisk(), announcement.storedBootstrapSet());
    agreeOnBootstrapSet();
  }

  /**
   * To a member of this generation that seems not to know it: the members, and all that is kept
   * here. A sealed member tells it too: without the one that lags there may be too few to seal.
   */
  void sendGeneration(String name, long now) {
    MemberSet.Member member = members.find(name);
    if (now < resendGenerationAtMs.getOrDefault(name, Long.MIN_VALUE)) return;
    List<RegisterRecord> registers = member == null ? List.of() : context.registers.records();
    resendGenerationAtMs.put(
        name, now + RESEND_GENERATION_INTERVAL_MS + Reconfiguration.transferTimeMs(registers));
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
        bootstrap = null;
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
    // told as to a stranger, at an address that another machine had before: all that is kept is
    // still to come
    if (received.generation() > 1 && activation.registers().isEmpty()) return;
    installGeneration(received, activation.registers());
  }

  /** The cells first, the members last: only with these on disk does the generation count here. */
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
            bootstrap = null;
            activate(received);
          }
        });
  }

  private void onJoinRequest(Envelope envelope, JoinRequest request, long now) {
    MemberSet.Member candidate =
        new MemberSet.Member(
            envelope.sender(),
            envelope.senderDisk(),
            Address.of(request.recordsAddress()),
            Address.of(request.operatorAddress()));
    if (!isInitialized() && bootstrap != null) {
      bootstrap.onJoinRequest(candidate);
      agreeOnBootstrapSet();
    }
    if (!isInitialized() || retired) return;
    MemberSet.Member member = members.find(envelope.sender());
    if (member != null && member.diskId().equals(envelope.senderDisk())) {
      if (envelope.generation() < members.generation()) sendGeneration(envelope.sender(), now);
      return;
    }
    if (isSealed()) return;
    if (joinCandidates.onRequest(candidate, now))
      context.host.logEvent(
          "join-requested", "name", candidate.name(), "records", candidate.recordsAddress());
    context.host.sendTo(candidate.recordsAddress(), newEnvelope(new Activate(members, List.of())));
  }

  private void onDrainNotice(Envelope envelope, long now) {
    if (envelope.generation() < members.generation()) {
      sendGeneration(envelope.sender(), now);
      return;
    }
    MemberSet.Member member = members.find(envelope.sender());
    if (member != null && member.diskId().equals(envelope.senderDisk()))
      drainNoticeReceivedAtMs.put(member.name(), now);
  }

  boolean isDraining(String name, long now) {
    Long receivedAtMs = drainNoticeReceivedAtMs.get(name);
    return receivedAtMs != null && now - receivedAtMs < context.config.peerTimeoutMs();
  }

  /**
   * Says to all who may be members that this one leaves, and hears from them who took its place.
   */
  void announceDraining(long now) {
    if (now - drainNoticeSentAtMs < context.config.heartbeatMs()) return;
    drainNoticeSentAtMs = now;
    context.sendToAll(new DrainNotice());
    for (MemberSet.Member member : newestKnown.all())
      if (!member.equals(members.find(member.name())))
        context.host.sendTo(member.recordsAddress(), newEnvelope(new DrainNotice()));
  }

  /**
   * Whether the others can do without this machine, and lose as many more as they bear: it is no
   * member, or its successor's generation is in force at a majority, or nobody stands by to succeed
   * it and a majority lives without it.
   */
  boolean isSafeToStop(long now) {
    if (!isInitialized()) return true;
    if (retired) return countActive(newestKnown) >= newestKnown.majoritySize();
    if (isSealed() || hasStandbySuccessor()) return false;
    int others = 0;
    for (MemberSet.Member member : members.all())
      if (!member.name().equals(context.self) && context.isAliveAndStays(member.name(), now))
        others++;
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
   * Where a machine that stands by hands on what operators send it: the member heard last, or null.
   */
  Address forwardingAddress(long now) {
    if (isInitialized() && !retired) return null;
    MemberSet.Member latest = null;
    for (MemberSet.Member member : newestKnown.all()) {
      Long receivedAtMs = generationReceivedAtMs.get(member.name());
      if (receivedAtMs == null
          || now - receivedAtMs >= 2L * context.config.peerTimeoutMs()
          || member.recordsAddress().equals(self.recordsAddress())) continue;
      if (latest == null || receivedAtMs > generationReceivedAtMs.get(latest.name()))
        latest = member;
    }
    return latest == null ? null : latest.recordsAddress();
  }

  /** Where whoever stands by is answered; null for all others and where this member can't help. */
  Address standbyAddress(Envelope envelope) {
    MemberSet.Member candidate = isActive() ? joinCandidates.find(envelope.sender()) : null;
    return candidate == null
            || !candidate.diskId().equals(envelope.senderDisk())
            || members.find(envelope.sender()) != null
        ? null
        : candidate.recordsAddress();
  }

  /** What an operator may let in: machines that ask to join, lately heard. */
  List<MemberSet.Member> joinCandidates() {
    return joinCandidates(JOIN_REQUEST_LIFETIME_MS);
  }

  private List<MemberSet.Member> joinCandidates(long withinMs) {
    return joinCandidates.recent(withinMs, members, context.host.nowMs());
  }

  /**
   * A next set can't be taken back, so nobody is let in unasked who may have died since it was
   * heard.
   */
  private MembershipPlan plan(long now) {
    return new MembershipPlan(
        members,
        joinCandidates(context.config.peerTimeoutMs()),
        name -> context.isAliveAndStays(name, now));
  }

  /** The owner of the key core looks whether the members should change, which needs no operator. */
  void proposeMembershipChange(long now) {
    if (now - lastPlannedAtMs < JOIN_INTERVAL_MS
        || !context.owns(StateKeys.CORE)
        || context.owner(StateKeys.CORE).hasPendingChanges()) return;
    lastPlannedAtMs = now;
    if (pendingMembers(context.owner(StateKeys.CORE).value().body()) != null) return;
    MembershipPlan.MembershipChange change =
        plan(now)
            .nextChange(
                name -> context.silenceMs(name, now),
                name -> isDraining(name, now),
                context.config);
    if (change != null) writeMembershipChange(change, result -> {});
  }

  /**
   * One at a time: the next set is written like any value of the key core, then the old generation
   * is sealed.
   */
  private void writeMembershipChange(
      MembershipPlan.MembershipChange change, Consumer<ChangeResult> answer) {
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
    owner.propose(request, answer, context.host.nowMs());
  }

  /**
   * Replaces a member on an operator's order. Returns why it can't be, and then nothing changed, or
   * an empty text.
   */
  String replaceMember(String leaver, String replacement, Consumer<ChangeResult> answer) {
    if (members.find(leaver) == null) return leaver + " is not a member of the core";
    if (members.find(replacement) != null && !replacement.equals(leaver))
      return replacement + " is already a member of the core";
    MemberSet.Member candidate =
        joinCandidates().stream()
            .filter(joining -> joining.name().equals(replacement))
            .findFirst()
            .orElse(null);
    if (candidate == null)
      return replacement
          + " is not asking to join; start `control-plane run` there with an empty data folder first";
    if (!context.owns(StateKeys.CORE))
      return "ask "
          + context.keyStatuses().stream()
              .filter(key -> key.key().equals(StateKeys.CORE))
              .map(KeyStatus::owner)
              .findFirst()
              .orElse("another machine")
          + ", which owns the core's members at the moment";
    if (pendingMembers(context.owner(StateKeys.CORE).value().body()) != null)
      return "another replacement is under way";
    MembershipPlan.MembershipChange change =
        plan(context.host.nowMs())
            .change(MembershipChangeReason.OPERATOR_REQUEST, List.of(leaver), List.of(candidate));
    if (change == null) return "fewer than a majority of the members would be alive then";
    writeMembershipChange(change, answer);
    return "";
  }

  MemberSet pendingMembers(byte[] body) {
    if (body.length == 0) return null;
    MemberSet written = MemberSet.of(body);
    return written.generation() > members.generation() ? written : null;
  }

  /**
   * Whether this member has to bring a change of members to an end. One that leaves by the change
   * has to as well, until a majority of those who come next takes part: before, what is kept here
   * may be the only copy beside one that may still be lost.
   */
  boolean mustCompleteReconfiguration() {
    return isSealed() && !(retired && countActive(newestKnown) >= newestKnown.majoritySize());
  }

  /** The generation is refused from now on, durably; these are to be the next members. */
  void seal(MemberSet next, long now) {
    reconfiguration.seal(next, now);
  }

  /** Brings a sealed generation to its end, once it is this member's turn. */
  void completeReconfiguration(long now) {
    reconfiguration.complete(now);
  }
}
