package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import gladelug.emulator.LinkProxy;
import gladelug.emulator.StandInReplica;
import java.util.ArrayList;
import java.util.List;

/**
 * Repeatedly breaks connections between relays and replicas and between callers and relays, and
 * drops all packets between a relay and a replica for a while. Replicas also break streams and
 * close connections before the first piece of an answer.
 */
public final class ConnectionResets implements ControlFaultRun.FaultScenario {
  private static final long STEP_MS = 150;
  private static final long SILENCE_MS = 2500;
  private static final int STEPS_PER_SILENCE = 40;
  private static final double CLOSED_BEFORE_FIRST_PROBABILITY = 0.05;
  private final long durationMs;

  /** Creates a scenario that lasts the given time. */
  public ConnectionResets(long durationMs) {
    this.durationMs = durationMs;
  }

  @Override
  public void play(ControlFaultRun run) {
    run.keepChanging(1);
    List<StandInReplica> modelReplicas = new ArrayList<>();
    for (StandInReplica replica : run.fleet.replicas.values()) {
      if (replica.kind == StandInReplica.Kind.MODEL) modelReplicas.add(replica);
    }
    for (StandInReplica replica : modelReplicas)
      replica.faults.earlyCloseRate = CLOSED_BEFORE_FIRST_PROBABILITY;
    long steps = durationMs / STEP_MS;
    for (long step = 1; step <= steps; step++) {
      StandInReplica replica = modelReplicas.get(run.random.nextInt(modelReplicas.size()));
      String relay = Fleet.edgeMachine(1 + run.random.nextInt(run.fleet.deployment.relays()));
      if (step % STEPS_PER_SILENCE == 0) {
        silence(run, relay, replica.instance);
      } else if (step % 2 == 0) {
        run.fleet.links.breakConnections(relay, replica.instance);
      } else {
        run.fleet.links.breakConnections(LinkProxy.OUTSIDE, relay);
      }
      replica.faults.cutStreams = step % 5 == 0;
      Fleet.pause(STEP_MS);
    }
    for (StandInReplica replica : modelReplicas) replica.faults.clear();
  }

  private static void silence(ControlFaultRun run, String relay, String replica) {
    run.fleet.links.cut(relay, replica);
    Fleet.pause(SILENCE_MS);
    run.fleet.links.heal();
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}
