package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import gladelug.emulator.StandInReplica;
import gladelug.emulator.Wires;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections between relays and replicas, and between callers and relays, break again and again,
 * and links to replicas fall silent for a while; replicas break streams and close connections
 * before the first piece.
 *
 * <p>Resets at replicas and callers.
 */
public final class ConnectionResets implements ControlFaultRun.FaultScenario {
  private static final long STEP_MS = 150;
  private static final long SILENCE_MS = 2500;
  private static final int STEPS_PER_SILENCE = 40;
  private static final double CLOSED_BEFORE_FIRST_PROBABILITY = 0.05;
  private final long durationMs;

  /** Lasts so many milliseconds. */
  public ConnectionResets(long durationMs) {
    this.durationMs = durationMs;
  }

  @Override
  public void play(ControlFaultRun day) {
    day.keepChanging(1);
    List<StandInReplica> models = new ArrayList<>();
    for (StandInReplica replica : day.fleet.replicas.values()) {
      if (replica.kind == StandInReplica.Kind.MODEL) models.add(replica);
    }
    for (StandInReplica replica : models)
      replica.faults.cutBeforeFirst = CLOSED_BEFORE_FIRST_PROBABILITY;
    long steps = durationMs / STEP_MS;
    for (long step = 1; step <= steps; step++) {
      StandInReplica replica = models.get(day.random.nextInt(models.size()));
      String edge = Fleet.edge(1 + day.random.nextInt(day.fleet.deployment.relays()));
      if (step % STEPS_PER_SILENCE == 0) {
        silence(day, edge, replica.instance);
      } else if (step % 2 == 0) {
        day.fleet.wires.breakConnections(edge, replica.instance);
      } else {
        day.fleet.wires.breakConnections(Wires.OUTSIDE, edge);
      }
      replica.faults.cutStreams = step % 5 == 0;
      Fleet.pause(STEP_MS);
    }
    for (StandInReplica replica : models) replica.faults.none();
  }

  private static void silence(ControlFaultRun day, String edge, String replica) {
    day.fleet.wires.cut(edge, replica);
    Fleet.pause(SILENCE_MS);
    day.fleet.wires.mend();
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}
