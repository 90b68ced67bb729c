package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * A run of the model checker written by hand: machines are set apart, stand still or are made to
 * serve in a given order, and everything else goes on as on a quiet day.
 *
 * <p>Plays steps in one world; a rule that breaks ends whatever goes on.
 */
final class Schedule {
  private static final long TICK_MS = 100;
  private static final int MAX_TICKS = 600;

  /** The key that all is about. */
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

  /** Nothing that it sends arrives, nor anything sent to it. */
  void isolate(String machine) {
    isolated.add(machine);
  }

  void reconnect(String machine) {
    isolated.remove(machine);
  }

  /** Its timers don't fire and its clock stands; messages still arrive. */
  void stopMachine(String machine) {
    stoppedMachines.add(machine);
  }

  /** Messages like these are lost from now on. */
  void loseMessages(Predicate<InFlightMessage> messages) {
    isLostMessage = messages;
  }

  /** Messages like these stay in flight from now on. */
  void delayMessages(Predicate<InFlightMessage> messages) {
    isDelayed = messages;
  }

  boolean apply(Step step) {
    if (world.rules.brokenRule() != null) return false;
    boolean done = Replay.apply(world, step);
    if (done) steps++;
    return done;
  }

  /** Only this one tries for keys; runs until it serves all of them. */
  void makeOwner(String owner) {
    for (CheckedMachine machine : world.machines())
      if (!isolated.contains(machine.name))
        apply(Step.on(Step.Kind.HEALTH, machine.name, machine.name.equals(owner) ? 1 : 0));
    runUntil(() -> world.setup.keys().stream().allMatch(key -> machine(owner).node.owns(key)));
  }

  /** A new value is sent to a machine, whatever comes of it. */
  void propose(String machine) {
    apply(Step.key(Step.Kind.PROPOSE, machine, KEY, 0));
    deliverAll();
  }

  /** A new value is acknowledged there. */
  void acknowledgeChange(String machine) {
    int acknowledgedBefore = world.operators.acknowledgedCount();
    propose(machine);
    runUntil(() -> world.operators.acknowledgedCount() > acknowledgedBefore);
  }

  /** Time passes until this holds. */
  void runUntil(BooleanSupplier condition) {
    for (int i = 0; i < MAX_TICKS && world.rules.brokenRule() == null; i++) {
      if (condition.getAsBoolean()) return;
      tick();
    }
    if (world.rules.brokenRule() == null)
      throw new IllegalStateException("the schedule comes to nothing after " + steps + " steps");
  }

  /** Each machine's timers fire once. */
  void tick() {
    for (CheckedMachine machine : world.machines())
      if (!stoppedMachines.contains(machine.name))
        apply(Step.on(Step.Kind.TICK, machine.name, TICK_MS));
    deliverAll();
  }

  /** Until all that may arrive has arrived and is durable. */
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

  /** All machines run and reach each other to the end; the rule broken, or nothing. */
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
