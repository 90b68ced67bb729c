package gladelug.emulator.check;

import gladelug.common.Address;
import gladelug.control.core.StateDecoder;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import gladelug.control.core.message.CoreMessage.AcceptResponse;
import gladelug.control.core.message.CoreMessage.Activate;
import gladelug.control.core.message.CoreMessage.ConfirmRequest;
import gladelug.control.core.message.CoreMessage.ConfirmResponse;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.message.CoreMessage.EpochStatus;
import gladelug.control.core.message.CoreMessage.KeyEpoch;
import gladelug.control.core.message.CoreMessage.PrepareResponse;
import gladelug.control.core.message.CoreMessage.SealResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The multiset of messages in flight between checked machines. Any of them may arrive next, arrive
 * twice, or never arrive. Mutations that let responses count for more than they are worth are
 * implemented here.
 */
final class CheckedNetwork {
  /**
   * Limit on messages in flight; beyond it the oldest is lost, so that old messages do not dominate
   * a run.
   */
  private static final int MAX_IN_FLIGHT = 90;

  private final CheckedWorld world;
  private final List<InFlightMessage> inFlight = new ArrayList<>();
  private final Set<String> forgedAccepts = new HashSet<>();

  CheckedNetwork(CheckedWorld world) {
    this.world = world;
  }

  List<InFlightMessage> inFlight() {
    return inFlight;
  }

  void send(CheckedMachine sender, Address address, Envelope envelope) {
    CheckedMachine receiver = world.machineAt(address);
    if (receiver == null || !receiver.isRunning() || !world.isModelled(envelope.message())) return;
    if (world.setup.mutation() == Mutation.NEXT_NEVER_TOLD
        && envelope.message() instanceof Activate) return;
    inFlight.add(new InFlightMessage(sender.name, receiver.name, applyMutation(envelope)));
    if (inFlight.size() > MAX_IN_FLIGHT) inFlight.remove(0);
    world.faultBudget.onSent(envelope.message());
  }

  /** Drops all messages to a process that ended. */
  void dropMessagesTo(CheckedMachine machine) {
    inFlight.removeIf(message -> message.to().equals(machine.name));
  }

  /** Returns the message that a step refers to, or null if there is none. */
  InFlightMessage findMessage(Step step) {
    List<InFlightMessage> matching = new ArrayList<>();
    for (InFlightMessage message : inFlight)
      if (message.to().equals(step.machine())
          && message.from().equals(step.other())
          && message.type().equals(step.what())) matching.add(message);
    return matching.isEmpty()
        ? null
        : matching.get((int) Math.min(step.amount(), matching.size() - 1));
  }

  /** Returns the step of the given kind for the message at this index. */
  Step step(Step.Kind kind, int index) {
    InFlightMessage message = inFlight.get(index);
    int before = 0;
    for (int i = 0; i < index; i++) {
      InFlightMessage other = inFlight.get(i);
      if (other.to().equals(message.to())
          && other.from().equals(message.from())
          && other.type().equals(message.type())) before++;
    }
    return new Step(kind, message.to(), message.from(), message.type(), before);
  }

  void remove(InFlightMessage message) {
    inFlight.remove(message);
  }

  /** Returns a digest that does not depend on the order in which the messages were sent. */
  long digest() {
    long sum = 0;
    for (InFlightMessage message : inFlight) sum += message.digest();
    return sum;
  }

  // ---- mutations

  /** Returns the message that is sent in place of the given one. */
  Envelope applyMutation(Envelope envelope) {
    if (world.setup.mutation() != Mutation.CONFIRM_BELOW_PROMISE
        || !(envelope.message() instanceof ConfirmResponse response)) return envelope;
    List<EpochStatus> statuses =
        response.statuses().stream().map(CheckedNetwork::withRaisedPromise).toList();
    return new Envelope(
        envelope.generation(),
        envelope.sender(),
        envelope.senderDisk(),
        new ConfirmResponse(response.round(), statuses));
  }

  private static EpochStatus withRaisedPromise(EpochStatus status) {
    return new EpochStatus(
        status.key(),
        status.epoch(),
        true,
        status.epoch(),
        status.acceptedEpoch(),
        status.acceptedNumber());
  }

  /**
   * Forges the responses of other members to a message that a member sends to itself, where the
   * mutation requires it.
   */
  void onLocalMessage(CheckedMachine machine, Envelope envelope) {
    world.faultBudget.onSent(envelope.message());
    CoreMessage forged = forgedResponse(envelope.message());
    if (forged == null) return;
    for (MemberSet.Member other : machine.node.members().all())
      if (!other.name().equals(machine.name))
        machine.deliverLocally(
            new Envelope(envelope.generation(), other.name(), other.diskId(), forged));
  }

  private CoreMessage forgedResponse(CoreMessage message) {
    return switch (world.setup.mutation()) {
      case MAJORITY_OF_ONE -> isGranted(message) ? message : null;
      case SERVING_WITHOUT_REWRITE ->
          message instanceof AcceptRequest request ? forgedAcceptResponse(request) : null;
      case READ_WITHOUT_ROUND ->
          message instanceof ConfirmRequest request ? forgedConfirmResponse(request) : null;
      case SEAL_WITHOUT_MAJORITY ->
          message instanceof SealResponse response
              ? new SealResponse(
                  response.nextGeneration(),
                  response.requesterIncarnation(),
                  List.of(),
                  response.versions())
              : null;
      default -> null;
    };
  }

  private static boolean isGranted(CoreMessage message) {
    return message instanceof PrepareResponse prepare && prepare.granted()
        || message instanceof AcceptResponse accept && accept.granted();
  }

  private CoreMessage forgedAcceptResponse(AcceptRequest request) {
    if (!forgedAccepts.add(request.key() + request.epoch())) return null;
    return new AcceptResponse(
        request.key(),
        request.epoch(),
        StateDecoder.decodeValue(request).number(),
        true,
        request.epoch());
  }

  private static CoreMessage forgedConfirmResponse(ConfirmRequest request) {
    List<EpochStatus> statuses = new ArrayList<>();
    for (KeyEpoch keyEpoch : request.epochs())
      statuses.add(
          new EpochStatus(
              keyEpoch.key(),
              keyEpoch.epoch(),
              true,
              keyEpoch.epoch(),
              keyEpoch.epoch(),
              Long.MAX_VALUE));
    return new ConfirmResponse(request.round(), statuses);
  }
}
