package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * A hand-written run of the model checker: machines are isolated, stopped or made owners in a given
 * order, and everything else proceeds without races. A broken rule ends the run.
 */
final class Schedule {
  private static final long TICK_MS = 100;
  private static final int MAX_TICKS = 600;

  /** The key that schedules change. */
  static final String KEY = StateKeys.CONFIGURATION;

  final CheckedWorld world;
  private final Set<String> isolated = new HashSet<>();
  private final Set<String> stoppedMachines = new HashSet<>();
  private Predicate<InFlightMessage> isLostMessage = message -> false;
  private Predicate<InFlightMessage> isDelayed = message -> false;
  private int steps;

  Schedule(Setup setup) {
    world = CheckedWorld.forReplay(setup, false);
  }

  CheckedMachine machine(String name) {
    return world.machine(name);
  }

  /** Cuts a machine off in both directions. */
  void isolate(String machine) {
    isolated.add(machine);
  }

  void reconnect(String machine) {
    isolated.remove(machine);
  }

  /** Stops a machine's timers and clock; messages still arrive. */
  void stopMachine(String machine) {
    stoppedMachines.add(machine);
  }

  /** Drops matching messages from now on. */
  void loseMessages(Predicate<InFlightMessage> messages) {
    isLostMessage = messages;
  }

  /** Keeps matching messages in flight from now on. */
  void delayMessages(Predicate<InFlightMessage> messages) {
    isDelayed = messages;
  }

  boolean apply(Step step) {
    if (world.rules.brokenRule() != null) return false;
    boolean done = Replay.apply(world, step);
    if (done) steps++;
    return done;
  }

  /** Lets only this machine try for keys, and runs until it serves all of them. */
  void makeOwner(String owner) {
    for (CheckedMachine machine : world.machines())
      if (!isolated.contains(machine.name))
        apply(Step.on(Step.Kind.HEALTH, machine.name, machine.name.equals(owner) ? 1 : 0));
    runUntil(() -> world.setup.keys().stream().allMatch(key -> machine(owner).node.owns(key)));
  }

  /** Sends a new value to a machine, whatever the answer. */
  void propose(String machine) {
    apply(Step.key(Step.Kind.PROPOSE, machine, KEY, 0));
    deliverAll();
  }

  /** Sends a new value to a machine and runs until it is acknowledged. */
  void acknowledgeChange(String machine) {
    int acknowledgedBefore = world.operators.acknowledgedCount();
    propose(machine);
    runUntil(() -> world.operators.acknowledgedCount() > acknowledgedBefore);
  }

  /** Runs until the condition holds. */
  void runUntil(BooleanSupplier condition) {
    for (int i = 0; i < MAX_TICKS && world.rules.brokenRule() == null; i++) {
      if (condition.getAsBoolean()) return;
      tick();
    }
    if (world.rules.brokenRule() == null)
      throw new IllegalStateException("the condition did not hold after " + steps + " steps");
  }

  /** Fires the timers of each machine once. */
  void tick() {
    for (CheckedMachine machine : world.machines())
      if (!stoppedMachines.contains(machine.name))
        apply(Step.on(Step.Kind.TICK, machine.name, TICK_MS));
    deliverAll();
  }

  /** Runs until everything that may arrive has arrived and is durable. */
  void deliverAll() {
    boolean idle = false;
    while (!idle && world.rules.brokenRule() == null) {
      idle = true;
      for (CheckedMachine machine : world.machines())
        if (apply(Step.on(Step.Kind.SYNC, machine.name))) idle = false;
      List<InFlightMessage> messages = world.network.inFlight();
      for (int i = 0; i < messages.size(); i++) {
        InFlightMessage message = messages.get(i);
        if (isDelayed.test(message)) continue;
        apply(world.network.step(isLost(message) ? Step.Kind.DROP : Step.Kind.DELIVER, i));
        idle = false;
        break;
      }
    }
  }

  private boolean isLost(InFlightMessage message) {
    return isolated.contains(message.from())
        || isolated.contains(message.to())
        || isLostMessage.test(message);
  }

  /** Lets all machines run and reach each other; returns the broken rule, or an empty string. */
  String finish() {
    isolated.clear();
    stoppedMachines.clear();
    loseMessages(message -> false);
    delayMessages(message -> false);
    Recovery.run(world);
    Rules.Broken broken = world.rules.brokenRule();
    return broken == null ? "" : "after " + steps + " steps: " + broken;
  }
}
