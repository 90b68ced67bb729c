package gladelug.emulator.check;

import gladelug.control.core.message.ReadResult;
import java.util.ArrayList;
import java.util.List;

/**
 * The end of a checked run: every machine is started, every disk is healthy, every message arrives
 * in order, and every clock advances. Within a minute each key must be served.
 */
final class Recovery {
  private static final int MAX_ROUNDS = 600;
  private static final long ROUND_MS = 100;
  private static final int MAX_DELIVERIES = 100_000;

  private final CheckedWorld world;
  private int deliveries;

  private Recovery(CheckedWorld world) {
    this.world = world;
  }

  /**
   * Lets the core recover, and reports a broken rule if it does not or if it lost something that
   * was acknowledged.
   */
  static void run(CheckedWorld world) {
    if (world.rules.brokenRule() != null || !world.faultBudget.mustRecover()) return;
    Recovery recovery = new Recovery(world);
    for (int round = 0; round < MAX_ROUNDS; round++) {
      recovery.runRound();
      if (world.rules.brokenRule() != null
          || !world.faultBudget.mustRecover()
          || round % 10 == 9 && recovery.unservedKeys().isEmpty()) return;
    }
    world.rules.report(
        Rules.Rule.RECOVERS, "not served after a minute: " + recovery.unservedKeys());
  }

  private void runRound() {
    for (CheckedMachine machine : world.machines()) {
      if (!machine.isRunning()) Replay.apply(world, Step.on(Step.Kind.RESTART, machine.name));
      Replay.apply(world, Step.on(Step.Kind.HEALTH, machine.name, 1));
      Replay.apply(world, Step.on(Step.Kind.TICK, machine.name, ROUND_MS));
    }
    deliverAll();
  }

  /** Delivers messages and syncs disks until no write is pending and no message is in flight. */
  private void deliverAll() {
    boolean idle = false;
    while (!idle && deliveries++ < MAX_DELIVERIES && world.rules.brokenRule() == null) {
      idle = true;
      for (CheckedMachine machine : world.machines())
        if (Replay.apply(world, Step.on(Step.Kind.SYNC, machine.name))) idle = false;
      if (world.network.inFlight().isEmpty()) continue;
      idle = false;
      Replay.apply(world, world.network.step(Step.Kind.DELIVER, 0));
    }
  }

  /** Returns the keys for which no member answers a read. */
  private List<String> unservedKeys() {
    List<String> unserved = new ArrayList<>();
    for (String key : world.setup.keys()) if (!isServed(key)) unserved.add(key);
    return unserved;
  }

  private boolean isServed(String key) {
    List<ReadResult> answers = new ArrayList<>();
    for (CheckedMachine machine : world.machines()) {
      if (!machine.isRunning() || !machine.node.owns(key)) continue;
      long minNumber = world.rules.newestTold(key);
      machine.run(
          () ->
              machine.node.readNewest(
                  key,
                  answer -> {
                    answers.add(answer);
                    world.rules.onRead(machine.name, key, minNumber, answer);
                  }));
    }
    runRound();
    deliverAll();
    return answers.stream().anyMatch(ReadResult::hasOwner);
  }
}
