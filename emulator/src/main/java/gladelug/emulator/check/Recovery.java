package gladelug.emulator.check;

import gladelug.control.core.message.ReadResult;
import java.util.ArrayList;
import java.util.List;

/**
 * The end of a checked run: every machine is started, every disk is well, every message arrives in
 * order and every clock advances. Within a minute of that each key must be served.
 *
 * <p>Sees whether the core finds back to work.
 */
final class Recovery {
  private static final int MOST_ROUNDS = 600;
  private static final long ROUND = 100;
  private static final int MOST_DELIVERIES = 100_000;

  private final World world;
  private int deliveries;

  private Recovery(World world) {
    this.world = world;
  }

  /** Breaks a rule of the world where its core does not recover, or does so with less than told. */
  static void run(World world) {
    if (world.rules.broken() != null || !world.budget.recovers()) return;
    Recovery r = new Recovery(world);
    for (int round = 0; round < MOST_ROUNDS; round++) {
      r.round();
      if (world.rules.broken() != null || round % 10 == 9 && r.unserved().isEmpty()) return;
    }
    world.rules.breaks(Rules.Rule.RECOVERS, "not served after a minute: " + r.unserved());
  }

  private void round() {
    for (CheckedMachine m : world.machines()) {
      if (!m.up()) Replay.apply(world, Step.on(Step.Kind.RESTART, m.name));
      Replay.apply(world, Step.on(Step.Kind.HEALTH, m.name, 1));
      Replay.apply(world, Step.on(Step.Kind.TICK, m.name, ROUND));
    }
    settle();
  }

  /** Until nothing waits for a disk or is in flight. */
  private void settle() {
    boolean idle = false;
    while (!idle && deliveries++ < MOST_DELIVERIES && world.rules.broken() == null) {
      idle = true;
      for (CheckedMachine m : world.machines())
        if (Replay.apply(world, Step.on(Step.Kind.SYNC, m.name))) idle = false;
      if (world.network.flights().isEmpty()) continue;
      idle = false;
      Replay.apply(world, world.network.step(Step.Kind.DELIVER, 0));
    }
  }

  /** The keys that nobody answers a read of. */
  private List<String> unserved() {
    List<String> unserved = new ArrayList<>();
    for (String key : world.setup.keys()) if (!served(key)) unserved.add(key);
    return unserved;
  }

  private boolean served(String key) {
    List<ReadResult> answers = new ArrayList<>();
    for (CheckedMachine m : world.machines()) {
      if (!m.node.owns(key)) continue;
      long least = world.rules.newestTold(key);
      m.run(
          () ->
              m.node.readNewest(
                  key,
                  x -> {
                    answers.add(x);
                    world.rules.read(m.name, key, least, x);
                  }));
    }
    round();
    settle();
    return answers.stream().anyMatch(ReadResult::hasOwner);
  }
}
