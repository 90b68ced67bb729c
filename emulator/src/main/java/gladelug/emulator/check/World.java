package gladelug.emulator.check;

import gladelug.common.Address;
import gladelug.common.message.StateKeys;
import gladelug.control.core.StateDecoder;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small core under a model checker: the product's state machines on checked machines, a network
 * that is a set of messages, disks whose writes are durable when the run says so, and operators. A
 * run is a sequence of steps; the same steps always give the same run.
 *
 * <p>The state of one run.
 */
final class World {
  private static final long FIRST_GENERATION = 1;

  final Setup setup;
  final CheckedNetwork network = new CheckedNetwork(this);
  final CheckedDisks disks;
  final FaultBudget budget = new FaultBudget(this);
  final Rules rules = new Rules(this);
  final Operators operators = new Operators(this);
  private final Map<String, CheckedMachine> machines = new LinkedHashMap<>();
  private final List<MemberSet.Member> founders = new ArrayList<>();
  private int addressesGiven;
  private final boolean recordsEvents;
  private final boolean digests;

  /** For playing a run; drawn: whether what happens is kept for people. */
  static World toPlay(Setup setup, boolean drawn) {
    return new World(setup, drawn, false);
  }

  /** For exploring: worlds can be compared by their digests. */
  static World toCompare(Setup setup) {
    return new World(setup, false, true);
  }

  private World(Setup setup, boolean recordsEvents, boolean digests) {
    this.setup = setup;
    this.recordsEvents = recordsEvents;
    this.digests = digests;
    this.disks = new CheckedDisks(setup.mutation());
    for (int i = 0; i < setup.members() + setup.spares(); i++) {
      String name = String.valueOf((char) ('a' + i));
      machines.put(name, new CheckedMachine(this, name, i, newAddress()));
    }
    for (CheckedMachine m : machines.values()) {
      if (founders.size() == setup.members()) break;
      founders.add(new MemberSet.Member(m.name, "", m.address, m.address));
      m.founder = !setup.founded();
    }
    if (setup.founded()) writeFirstGeneration();
    for (CheckedMachine m : machines.values()) m.start();
    for (CheckedMachine m : machines.values()) rules.look(m);
  }

  private void writeFirstGeneration() {
    List<MemberSet.Member> all = new ArrayList<>();
    for (MemberSet.Member f : founders) all.add(machine(f.name()).member());
    MemberSet first = new MemberSet(FIRST_GENERATION, all);
    for (MemberSet.Member f : founders)
      machine(f.name()).disk.format(StateDecoder.MEMBERS_ENTRY, StateDecoder.encodeMembers(first));
  }

  private Address newAddress() {
    return new Address("10.0.0." + ++addressesGiven, 100);
  }

  boolean recordsEvents() {
    return recordsEvents;
  }

  List<MemberSet.Member> founders() {
    return founders;
  }

  boolean isFounder(CheckedMachine m) {
    return founders.stream().anyMatch(f -> f.name().equals(m.name));
  }

  CheckedMachine machine(String name) {
    return machines.get(name);
  }

  List<CheckedMachine> machines() {
    return new ArrayList<>(machines.values());
  }

  CheckedMachine at(Address address) {
    for (CheckedMachine m : machines.values()) if (m.address.equals(address)) return m;
    return null;
  }

  List<Address> addresses() {
    return machines.values().stream().map(m -> m.address).toList();
  }

  /** Whether messages like this are part of the run; others are as good as lost. */
  boolean modelled(CoreMessage message) {
    String key = Flight.key(message);
    return key.isEmpty() || setup.keys().contains(key);
  }

  /** Does the step; false where it is not possible now, and then nothing happened. */
  boolean apply(Step step) {
    CheckedMachine m = machine(step.machine());
    m.events.clear();
    boolean done = possible(step, m);
    if (!done) return false;
    perform(step, m);
    for (CheckedMachine x : machines.values()) rules.look(x);
    return true;
  }

  private boolean possible(Step step, CheckedMachine m) {
    return switch (step.kind()) {
      case TICK, PROPOSE, RESEND, READ, HEALTH, CRASH -> m.up();
      case SWAP -> m.up() && m.node.owns(StateKeys.CORE);
      case SYNC -> m.up() && m.disk.pending() > 0;
      case DELIVER, DUPLICATE -> m.up() && network.find(step) != null;
      case DROP -> network.find(step) != null;
      case RESTART -> !m.up();
      case WIPE -> budget.mayWipe(m, (step.amount() & Step.FOUNDING_AGAIN) != 0);
    };
  }

  private void perform(Step step, CheckedMachine m) {
    if (step.kind() != Step.Kind.DELIVER && step.kind() != Step.Kind.DUPLICATE)
      m.history = Mixing.mix(m.history, step.hashCode());
    switch (step.kind()) {
      case TICK -> {
        m.advance(step.amount());
        m.run(m.node::tick);
      }
      case DELIVER, DUPLICATE -> {
        Flight flight = network.find(step);
        if (step.kind() == Step.Kind.DELIVER) network.remove(flight);
        if (digests) m.history = Mixing.mix(m.history, flight.digest());
        m.deliver(flight.envelope());
      }
      case DROP -> network.remove(network.find(step));
      case SYNC -> m.sync(step.amount());
      case CRASH -> {
        network.ended(m);
        m.crash(step.amount());
      }
      case RESTART -> m.start();
      case WIPE -> wipe(step, m);
      case PROPOSE -> operators.propose(m, step.what(), step.amount() == 1);
      case RESEND -> operators.resend(m, step.amount());
      case READ -> operators.read(m, step.what());
      case SWAP -> operators.swap(m, step.other(), step.what());
      case HEALTH -> m.run(() -> m.node.updateDiskHealth(step.amount() == 1));
    }
  }

  private void wipe(Step step, CheckedMachine m) {
    boolean foundingAgain = (step.amount() & Step.FOUNDING_AGAIN) != 0;
    network.ended(m);
    m.founder = foundingAgain && isFounder(m);
    budget.wiped(m, m.founder);
    m.wipe();
    if ((step.amount() & Step.NEW_ADDRESS) != 0 && !m.founder) m.address = newAddress();
  }

  /** Equal for worlds that can't be told apart by what may follow or be judged. */
  long digest() {
    long h = rules.digest();
    for (CheckedMachine m : machines.values()) h = Mixing.mix(h, m.digest());
    return Mixing.mix(h, network.digest());
  }
}
