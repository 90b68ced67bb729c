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
 * The change from one generation of members to the next at one member: seal, transfer, activate. A
 * sealed member durably refuses its generation and reports what it stores. Each sealed member can
 * collect the responses of a majority, merge the registers (the highest value and the highest
 * promise of each key) and tell the next members to activate with them. Called on the core's thread
 * only; times are of the host's monotonic clock, in ms.
 */
final class Reconfiguration {
  /** Lowest throughput assumed for a link between members. */
  private static final long MIN_LINK_BYTES_PER_MS = 2000;

  private final CoreMember context;
  private final Membership membership;
  private final MemberSet.Member self;

  /** The members of the next generation; null while the generation is not sealed. */
  private MemberSet nextMembers;

  private long sealedAtMs;

  /** By member: its response to this member's seal request. */
  private final Map<String, SealResponse> sealResponses = new HashMap<>();

  /** By member of the next set: when the activation may be sent to it again. */
  private final Map<String, Long> resendActivationAtMs = new HashMap<>();

  private long lastCompletionAttemptAtMs = CoreHost.NEVER;

  Reconfiguration(CoreMember context, Membership membership, MemberSet.Member self) {
    this.context = context;
    this.membership = membership;
    this.self = self;
  }

  /** Returns whether the generation is sealed and the next one is not active at this member yet. */
  boolean isSealed() {
    return nextMembers != null;
  }

  /** Restores a seal found on disk. */
  void recover(MemberSet storedNextMembers, long nowMs) {
    nextMembers = storedNextMembers;
    sealedAtMs = nowMs;
  }

  /** Resets the state of a change once its generation is active. */
  void clear() {
    nextMembers = null;
    sealResponses.clear();
    resendActivationAtMs.clear();
  }

  /** Handles a request to seal the current generation; answered once the seal is durable. */
  void onSealRequest(Envelope envelope, SealRequest request, long nowMs) {
    MemberSet next = request.next();
    if (!membership.isInitialized()) return;
    if (next.generation() <= membership.members().generation()) {
      membership.sendGeneration(envelope.sender(), nowMs);
      return;
    }
    if (next.generation() != membership.members().generation() + 1
        || nextMembers != null && !nextMembers.equals(next)) return;
    if (nextMembers == null) seal(next, nowMs);
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

  /** Seals the generation durably; the owners at this member step down. */
  void seal(MemberSet next, long nowMs) {
    nextMembers = next;
    sealedAtMs = nowMs;
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
   * Works on completing the change: the first live member in the order of the key core starts at
   * once, each further one after a delay.
   */
  void complete(long nowMs) {
    int rank = 0;
    for (String member : membership.members().preferenceOrder(StateKeys.CORE)) {
      if (member.equals(context.self)) break;
      if (sealedAtMs - context.lastRoundTripAtMs(member) < context.config.peerTimeoutMs()) rank++;
    }
    if (nowMs - sealedAtMs < (long) rank * context.config.electionRankDelayMs()
        || nowMs - lastCompletionAttemptAtMs < context.config.confirmIntervalMs()) return;
    lastCompletionAttemptAtMs = nowMs;
    if (sealResponses.size() < membership.members().majoritySize()) {
      SealRequest request =
          new SealRequest(nextMembers, context.incarnation, context.registers.versions());
      for (MemberSet.Member member : membership.members().all())
        context.host.sendTo(member.recordsAddress(), membership.newEnvelope(request));
      return;
    }
    Map<String, Register> merged = mergedRegisters();
    for (MemberSet.Member member : nextMembers.all()) sendActivation(member, merged, nowMs);
  }

  /**
   * Sends the next members and registers to one of them, but not while an earlier copy may still be
   * in transfer.
   */
  private void sendActivation(
      MemberSet.Member recipient, Map<String, Register> merged, long nowMs) {
    if (nowMs < resendActivationAtMs.getOrDefault(recipient.name(), Long.MIN_VALUE)) return;
    SealResponse response =
        recipient.equals(membership.members().find(recipient.name()))
            ? sealResponses.get(recipient.name())
            : null;
    List<RegisterVersion> stored = response == null ? List.of() : response.versions();
    List<RegisterRecord> registers = RegisterStore.recordsWithoutKnownValues(merged, stored);
    resendActivationAtMs.put(
        recipient.name(), nowMs + context.config.confirmIntervalMs() + transferTimeMs(registers));
    context.host.sendTo(
        recipient.recordsAddress(), membership.newEnvelope(new Activate(nextMembers, registers)));
  }

  /**
   * Returns the time in ms that a transfer of the registers takes on the slowest permitted link.
   */
  static long transferTimeMs(List<RegisterRecord> registers) {
    long bytes = 0;
    for (RegisterRecord register : registers) bytes += register.register().length;
    return bytes / MIN_LINK_BYTES_PER_MS;
  }

  /** Records a member's seal response, which reports what that member stores. */
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
   * Returns for each key the highest value and the highest promise among a sealed majority and this
   * member. The others leave out values that this member already stores.
   */
  private Map<String, Register> mergedRegisters() {
    Map<String, Register> registers = context.registers.snapshot();
    for (SealResponse response : sealResponses.values())
      for (RegisterRecord register : response.registers())
        registers.merge(register.key(), Register.of(register.register()), Register::merge);
    return registers;
  }
}
