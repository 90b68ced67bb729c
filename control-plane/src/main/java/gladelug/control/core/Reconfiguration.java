package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.message.StateKeys;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage.Activate;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.message.CoreMessage.SealRequest;
import gladelug.control.core.message.CoreMessage.SealResponse;
import gladelug.control.core.register.DurableState;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.RegisterRecord;
import gladelug.control.core.register.RegisterStore;
import gladelug.control.core.register.RegisterVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The change from one generation of members to the next, at one member: seal, transfer, activate.
 * Sealed, it durably refuses its generation and says what it stores; whoever is sealed gathers the
 * answers of a majority, merges the registers (of every key the highest value and the highest
 * promise) and tells the next members to activate with them. All calls come on the core's thread;
 * times are monotonic, in ms.
 */
final class Reconfiguration {
  /** Of the links between members, in bytes a ms. */
  private static final long MIN_LINK_BYTES_PER_MS = 2000;

  private final CoreMember context;
  private final Membership membership;
  private final MemberSet.Member self;

  /** The members that are to come next; null while the generation is not sealed. */
  private MemberSet nextMembers;

  private long sealedAtMs;

  /** By member: what it answered to this member's request to seal. */
  private final Map<String, SealResponse> sealResponses = new HashMap<>();

  /** By member of the next set: when it may be told of it again. */
  private final Map<String, Long> resendActivationAtMs = new HashMap<>();

  private long lastCompletionAttemptAtMs = CoreHost.NEVER;

  Reconfiguration(CoreMember context, Membership membership, MemberSet.Member self) {
    this.context = context;
    this.membership = membership;
    this.self = self;
  }

  /** Whether the generation is sealed and the next is not active here yet. */
  boolean isSealed() {
    return nextMembers != null;
  }

  /** A seal that was found on the disk. */
  void recover(MemberSet storedNextMembers, long now) {
    nextMembers = storedNextMembers;
    sealedAtMs = now;
  }

  /** A generation is active: nothing of the change to it is left. */
  void clear() {
    nextMembers = null;
    sealResponses.clear();
    resendActivationAtMs.clear();
  }

  /** Another member asks to refuse the present generation; answered once that is durable. */
  void onSealRequest(Envelope envelope, SealRequest request, long now) {
    MemberSet next = request.next();
    if (!membership.isInitialized()) return;
    if (next.generation() <= membership.members().generation()) {
      membership.sendGeneration(envelope.sender(), now);
      return;
    }
    if (next.generation() != membership.members().generation() + 1
        || nextMembers != null && !nextMembers.equals(next)) return;
    if (nextMembers == null) seal(next, now);
    context.host.sync(
        DurableState.SEALED_FOR,
        next.toBytes(),
        () -> {
          if (nextMembers != null)
            context.host.sendTo(
                envelope.sender().equals(context.self)
                    ? self.recordsAddress()
                    : addressOf(envelope.sender()),
                membership.newEnvelope(newSealResponse(next, request)));
        });
  }

  private SealResponse newSealResponse(MemberSet next, SealRequest request) {
    return new SealResponse(
        next.generation(),
        request.incarnation(),
        context.registers.recordsWithoutKnownValues(request.versions()),
        context.registers.versions());
  }

  private Address addressOf(String name) {
    MemberSet.Member member = membership.members().find(name);
    return member == null ? self.recordsAddress() : member.recordsAddress();
  }

  /** Refuses the generation from now on, durably; its owners step down. */
  void seal(MemberSet next, long now) {
    nextMembers = next;
    sealedAtMs = now;
    sealResponses.clear();
    resendActivationAtMs.clear();
    context.stepDownAll(StepDownReason.GENERATION_SEALED);
    context.host.logEvent(
        "generation-sealed",
        "generation",
        membership.members().generation(),
        "next",
        next.generation());
    context.host.sync(DurableState.SEALED_FOR, next.toBytes(), () -> {});
  }

  /**
   * Whoever is sealed brings it to an end, the first live one in the order of the key core at once,
   * the others if that takes long.
   */
  void complete(long now) {
    int rank = 0;
    for (String member : membership.members().preferenceOrder(StateKeys.CORE)) {
      if (member.equals(context.self)) break;
      if (sealedAtMs - context.lastRoundTripAtMs(member) < context.config.peerTimeoutMs()) rank++;
    }
    if (now - sealedAtMs < (long) rank * context.config.electionRankDelayMs()
        || now - lastCompletionAttemptAtMs < context.config.confirmIntervalMs()) return;
    lastCompletionAttemptAtMs = now;
    if (sealResponses.size() < membership.members().majoritySize()) {
      SealRequest request =
          new SealRequest(nextMembers, context.incarnation, context.registers.versions());
      for (MemberSet.Member member : membership.members().all())
        context.host.sendTo(member.recordsAddress(), membership.newEnvelope(request));
      return;
    }
    Map<String, Register> merged = mergedRegisters();
    for (MemberSet.Member member : nextMembers.all()) sendActivation(member, merged, now);
  }

  /** A copy is not sent again while the one before it may still be on its way. */
  private void sendActivation(MemberSet.Member recipient, Map<String, Register> merged, long now) {
    if (now < resendActivationAtMs.getOrDefault(recipient.name(), Long.MIN_VALUE)) return;
    SealResponse response =
        recipient.equals(membership.members().find(recipient.name()))
            ? sealResponses.get(recipient.name())
            : null;
    List<RegisterVersion> stored = response == null ? List.of() : response.versions();
    List<RegisterRecord> registers = RegisterStore.recordsWithoutKnownValues(merged, stored);
    resendActivationAtMs.put(
        recipient.name(), now + context.config.confirmIntervalMs() + transferTimeMs(registers));
    context.host.sendTo(
        recipient.recordsAddress(), membership.newEnvelope(new Activate(nextMembers, registers)));
  }

  /** How long registers may take on the slowest link that members are to have, ms. */
  static long transferTimeMs(List<RegisterRecord> registers) {
    long bytes = 0;
    for (RegisterRecord register : registers) bytes += register.register().length;
    return bytes / MIN_LINK_BYTES_PER_MS;
  }

  /** Another member refuses the generation and says what it stores. */
  void onSealResponse(String sender, SealResponse response) {
    if (nextMembers == null
        || response.nextGeneration() != nextMembers.generation()
        || response.requesterIncarnation() != context.incarnation) return;
    if (membership.members().find(sender) == null) return;
    sealResponses.put(sender, response);
    if (sealResponses.size() >= membership.members().majoritySize())
      lastCompletionAttemptAtMs = CoreHost.NEVER;
  }

  /**
   * Of every key the highest value and the highest promise among a sealed majority and this member,
   * whose values the others didn't send again.
   */
  private Map<String, Register> mergedRegisters() {
    Map<String, Register> registers = context.registers.snapshot();
    for (SealResponse response : sealResponses.values())
      for (RegisterRecord register : response.registers())
        registers.merge(register.key(), Register.of(register.register()), Register::merge);
    return registers;
  }
}
