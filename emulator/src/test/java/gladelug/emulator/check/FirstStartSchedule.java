package gladelug.emulator.check;

import java.util.Set;

/**
 * A first start in which only some machines run and reach each other, step by step: time passes for
 * them, their writes become durable, and messages to or from any other machine are lost.
 */
final class FirstStartSchedule {
  private static final long ROUND_MS = 100;
  private static final int MAX_DELIVERIES_PER_ROUND = 2000;

  final CheckedWorld world;

  FirstStartSchedule(Setup setup) {
    world = CheckedWorld.forReplay(setup, false);
  }

  /** Lets the machines run for a number of rounds. */
  void run(Set<String> machines, int rounds) {
    for (int round = 0; round < rounds; round++) runRound(machines, MAX_DELIVERIES_PER_ROUND);
  }

  /** Lets the machines run for a round in which at most this many messages arrive or are lost. */
  void runRound(Set<String> machines, int maxDeliveries) {
    for (String machine : machines) Replay.apply(world, Step.on(Step.Kind.TICK, machine, ROUND_MS));
    for (int i = 0; i < maxDeliveries; i++) {
      for (String machine : machines) Replay.apply(world, Step.on(Step.Kind.SYNC, machine));
      if (world.network.inFlight().isEmpty()) return;
      InFlightMessage message = world.network.inFlight().get(0);
      boolean connected = machines.contains(message.from()) && machines.contains(message.to());
      Replay.apply(world, world.network.step(connected ? Step.Kind.DELIVER : Step.Kind.DROP, 0));
    }
  }

  /** Lets every message in flight to a machine arrive, and its writes become durable. */
  void deliverTo(String machine) {
    for (int index = 0; index < world.network.inFlight().size(); )
      if (world.network.inFlight().get(index).to().equals(machine))
        Replay.apply(world, world.network.step(Step.Kind.DELIVER, index));
      else index++;
    Replay.apply(world, Step.on(Step.Kind.SYNC, machine));
  }

  /** Ends the process of a machine; its messages in flight are lost. */
  void crash(String machine) {
    Replay.apply(world, Step.on(Step.Kind.CRASH, machine));
  }

  /** Replaces the disk of a founder by an empty one, and lets it bootstrap again. */
  void wipe(String machine) {
    Replay.apply(world, Step.on(Step.Kind.WIPE, machine, Step.BOOTSTRAP_AGAIN));
    restart(machine);
  }

  /** Starts the process of a machine again. Returns whether it may start. */
  boolean restart(String machine) {
    return Replay.apply(world, Step.on(Step.Kind.RESTART, machine));
  }

  /** Returns how many machines take part in a generation. */
  long memberCount() {
    return world.machines().stream()
        .filter(machine -> machine.isRunning() && machine.node.isInitialized())
        .count();
  }
}
