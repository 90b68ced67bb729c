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
 * The messages in flight between checked machines. Any of them may arrive next, twice, or never.
 * Mutations that let answers be taken for more than they are live here.
 *
 * <p>A multiset of messages.
 */
final class CheckedNetwork {
  /** Beyond this many the oldest is lost, so that a run does not drown in old messages. */
  private static final int MOST = 90;

  private final World world;
  private final List<Flight> flights = new ArrayList<>();
  private final Set<String> rewritten = new HashSet<>();

  CheckedNetwork(World world) {
    this.world = world;
  }

  List<Flight> flights() {
    return flights;
  }

  void send(CheckedMachine from, Address address, Envelope m) {
    CheckedMachine receiver = world.at(address);
    if (receiver == null || !receiver.up() || !world.modelled(m.message())) return;
    if (world.setup.mutation() == Mutation.NEXT_NEVER_TOLD && m.message() instanceof Activate)
      return;
    flights.add(new Flight(from.name, receiver.name, mutated(m)));
    if (flights.size() > MOST) flights.remove(0);
    world.budget.sent(m.message());
  }

  /** A process ended: what was on its way to it is lost. */
  void ended(CheckedMachine m) {
    flights.removeIf(flight -> flight.to().equals(m.name));
  }

  /** The message a step means, or null where there is none such. */
  Flight find(Step step) {
    List<Flight> of = new ArrayList<>();
    for (Flight flight : flights)
      if (flight.to().equals(step.machine())
          && flight.from().equals(step.other())
          && flight.type().equals(step.what())) of.add(flight);
    return of.isEmpty() ? null : of.get((int) Math.min(step.amount(), of.size() - 1));
  }

  /** The step that delivers, repeats or loses the message at this place. */
  Step step(Step.Kind kind, int place) {
    Flight f = flights.get(place);
    int before = 0;
    for (int i = 0; i < place; i++) {
      Flight x = flights.get(i);
      if (x.to().equals(f.to()) && x.from().equals(f.from()) && x.type().equals(f.type())) before++;
    }
    return new Step(kind, f.to(), f.from(), f.type(), before);
  }

  void remove(Flight flight) {
    flights.remove(flight);
  }

  /** Independent of the order in which the messages were sent. */
  long digest() {
    long sum = 0;
    for (Flight flight : flights) sum += flight.digest();
    return sum;
  }

  // ---- mutations

  /** What goes out in place of a message. */
  Envelope mutated(Envelope m) {
    if (world.setup.mutation() != Mutation.CONFIRM_BELOW_PROMISE
        || !(m.message() instanceof ConfirmResponse c)) return m;
    List<EpochStatus> all = c.statuses().stream().map(CheckedNetwork::confirmed).toList();
    return new Envelope(
        m.generation(), m.sender(), m.senderDisk(), new ConfirmResponse(c.round(), all));
  }

  private static EpochStatus confirmed(EpochStatus s) {
    return new EpochStatus(
        s.key(), s.epoch(), true, s.epoch(), s.acceptedEpoch(), s.acceptedNumber());
  }

  /** Lets answers of others be made up where a mutation says so. */
  void sentToItself(CheckedMachine m, Envelope e) {
    world.budget.sent(e.message());
    CoreMessage forged = forged(e.message());
    if (forged == null) return;
    for (MemberSet.Member other : m.node.members().all())
      if (!other.name().equals(m.name))
        m.tellItself(new Envelope(e.generation(), other.name(), other.diskId(), forged));
  }

  private CoreMessage forged(CoreMessage said) {
    return switch (world.setup.mutation()) {
      case MAJORITY_OF_ONE -> isOwnConsent(said) ? said : null;
      case SERVING_WITHOUT_REWRITE -> said instanceof AcceptRequest a ? firstAccepted(a) : null;
      case READ_WITHOUT_ROUND -> said instanceof ConfirmRequest c ? confirmedByAll(c) : null;
      case SEAL_WITHOUT_MAJORITY ->
          said instanceof SealResponse s
              ? new SealResponse(
                  s.nextGeneration(), s.requesterIncarnation(), List.of(), s.versions())
              : null;
      default -> null;
    };
  }

  private static boolean isOwnConsent(CoreMessage said) {
    return said instanceof PrepareResponse p && p.granted()
        || said instanceof AcceptResponse a && a.granted();
  }

  private CoreMessage firstAccepted(AcceptRequest a) {
    if (!rewritten.add(a.key() + a.epoch())) return null;
    return new AcceptResponse(
        a.key(), a.epoch(), StateDecoder.decodeValue(a).number(), true, a.epoch());
  }

  private static CoreMessage confirmedByAll(ConfirmRequest c) {
    List<EpochStatus> all = new ArrayList<>();
    for (KeyEpoch x : c.epochs())
      all.add(new EpochStatus(x.key(), x.epoch(), true, x.epoch(), x.epoch(), Long.MAX_VALUE));
    return new ConfirmResponse(c.round(), all);
  }
}
