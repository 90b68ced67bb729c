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
 * A small core under a model checker, and the state of one run: the production state machines on
 * checked machines, a network that is a multiset of messages, disks whose writes become durable
 * when the run says so, and operators. A run is a sequence of steps; the same steps always give the
 * same run.
 */
final class CheckedWorld {
  private static final long FIRST_GENERATION = 1;

  final Setup setup;
  final CheckedNetwork network = new CheckedNetwork(this);
  final DiskLayer disks;
  final FaultBudget faultBudget = new FaultBudget(this);
  final Rules rules = new Rules(this);
  final OperatorActions operators = new OperatorActions(this);
  private final Map<String, CheckedMachine> machines = new LinkedHashMap<>();
  private final List<MemberSet.Member> founders = new ArrayList<>();
  private int addressCount;
  private final boolean recordsEvents;
  private final boolean tracksHistory;

  /**
   * Creates a world for replaying a run. recordsEvents: whether events are kept for a step table.
   */
  static CheckedWorld forReplay(Setup setup, boolean recordsEvents) {
    return new CheckedWorld(setup, recordsEvents, false);
  }

  /** Creates a world for an exploration: such worlds can be compared by their digests. */
  static CheckedWorld forExploration(Setup setup) {
    return new CheckedWorld(setup, false, true);
  }

  private CheckedWorld(Setup setup, boolean recordsEvents, boolean digests) {
    this.setup = setup;
    this.recordsEvents = recordsEvents;
    this.tracksHistory = digests;
    this.disks = new DiskLayer(setup.mutation());
    for (int i = 0; i < setup.memberCount() + setup.spareCount(); i++) {
      String name = String.valueOf((char) ('a' + i));
      machines.put(name, new CheckedMachine(this, name, i, newAddress()));
    }
    for (CheckedMachine machine : machines.values()) {
      if (founders.size() == setup.memberCount()) break;
      founders.add(new MemberSet.Member(machine.name, "", machine.address, machine.address));
      machine.isFounder = !setup.isFounded();
    }
    if (setup.isFounded()) writeFirstGeneration();
    for (CheckedMachine machine : machines.values()) machine.start();
    for (CheckedMachine machine : machines.values()) rules.inspect(machine);
  }

  private void writeFirstGeneration() {
    List<MemberSet.Member> members = new ArrayList<>();
    for (MemberSet.Member founder : founders) members.add(machine(founder.name()).member());
    MemberSet firstMembers = new MemberSet(FIRST_GENERATION, members);
    for (MemberSet.Member founder : founders)
      machine(founder.name())
          .disk
          .writeDurably(StateDecoder.MEMBERS_ENTRY, StateDecoder.encodeMembers(firstMembers));
  }

  private Address newAddress() {
    return new Address("10.0.0." + ++addressCount, 100);
  }

  boolean recordsEvents() {
    return recordsEvents;
  }

  List<MemberSet.Member> founders() {
    return founders;
  }

  boolean isFounder(CheckedMachine machine) {
    return founders.stream().anyMatch(founder -> founder.name().equals(machine.name));
  }

  CheckedMachine machine(String name) {
    return machines.get(name);
  }

  List<CheckedMachine> machines() {
    return new ArrayList<>(machines.values());
  }

  CheckedMachine machineAt(Address address) {
    for (CheckedMachine machine : machines.values())
      if (machine.address.equals(address)) return machine;
    return null;
  }

  List<Address> addresses() {
    return machines.values().stream().map(machine -> machine.address).toList();
  }

  /** Returns whether messages about this key are part of the run; all others are dropped. */
  boolean isModelled(CoreMessage message) {
    String key = InFlightMessage.keyOf(message);
    return key.isEmpty() || setup.keys().contains(key);
  }

  /** Performs the step. Returns false, without any effect, where it is not possible now. */
  boolean apply(Step step) {
    CheckedMachine machine = machine(step.machine());
    machine.events.clear();
    boolean isPossible = isPossible(step, machine);
    if (!isPossible) return false;
    perform(step, machine);
    for (CheckedMachine other : machines.values()) rules.inspect(other);
    return true;
  }

  private boolean isPossible(Step step, CheckedMachine machine) {
    return switch (step.kind()) {
      case TICK, PROPOSE, RESEND, READ, HEALTH -> machine.isRunning();
      case CRASH -> machine.isRunning() && (machine.hasDisk || faultBudget.mayForget(machine));
      case SWAP -> machine.isRunning() && machine.node.owns(StateKeys.CORE);
      case SYNC -> machine.isRunning() && machine.disk.pendingWrites() > 0;
      case DELIVER, DUPLICATE -> machine.isRunning() && network.findMessage(step) != null;
      case DROP -> network.findMessage(step) != null;
      case RESTART -> !machine.isRunning() && machine.mayRestart();
      case WIPE ->
          machine.hasDisk
              && faultBudget.mayWipe(machine, (step.amount() & Step.BOOTSTRAP_AGAIN) != 0);
    };
  }

  private void perform(Step step, CheckedMachine machine) {
    if (step.kind() != Step.Kind.DELIVER && step.kind() != Step.Kind.DUPLICATE)
      machine.history = HashMixer.mix(machine.history, step.hashCode());
    switch (step.kind()) {
      case TICK -> {
        machine.advance(step.amount());
        machine.run(machine.node::tick);
      }
      case DELIVER, DUPLICATE -> {
        InFlightMessage message = network.findMessage(step);
        if (step.kind() == Step.Kind.DELIVER) network.remove(message);
        if (tracksHistory) machine.history = HashMixer.mix(machine.history, message.digest());
        machine.deliver(message.envelope());
      }
      case DROP -> network.remove(network.findMessage(step));
      case SYNC -> machine.sync(step.amount());
      case CRASH -> {
        network.dropMessagesTo(machine);
        if (machine.hasDisk) machine.crash(step.amount());
        else forget(machine);
      }
      case RESTART -> machine.start();
      case WIPE -> wipe(step, machine);
      case PROPOSE -> operators.propose(machine, step.what(), step.amount() == 1);
      case RESEND -> operators.resend(machine, step.amount());
      case READ -> operators.read(machine, step.what());
      case SWAP -> operators.replaceMember(machine, step.other(), step.what());
      case HEALTH -> machine.run(() -> machine.node.updateDiskHealth(step.amount() == 1));
    }
  }

  private void forget(CheckedMachine witness) {
    faultBudget.onForgotten(witness);
    witness.forget();
  }

  private void wipe(Step step, CheckedMachine machine) {
    boolean bootstrapsAgain = (step.amount() & Step.BOOTSTRAP_AGAIN) != 0;
    network.dropMessagesTo(machine);
    machine.isFounder = bootstrapsAgain && isFounder(machine);
    faultBudget.onWipe(machine, machine.isFounder);
    machine.replaceDisk();
    if ((step.amount() & Step.NEW_ADDRESS) != 0 && !machine.isFounder)
      machine.address = newAddress();
  }

  /** Returns a digest that is equal for worlds with the same possible continuations and checks. */
  long digest() {
    long hash = rules.digest();
    for (CheckedMachine machine : machines.values()) hash = HashMixer.mix(hash, machine.digest());
    return HashMixer.mix(hash, network.digest());
  }
}
