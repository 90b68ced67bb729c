package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import gladelug.emulator.LinkProxy;
import gladelug.emulator.StandInReplica;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections between relays and replicas, and between callers and relays, break again and again,
 * and links to replicas fall silent for a while; replicas break streams and close connections
 * before the first piece.
 *
 * <p>Resets at replicas and callers.
 */
public final class ConnectionResets implements ControlDay.Trouble {
  private static final long STEP_MS = 150;
  private static final long SILENCE_MS = 2500;
  private static final int STEPS_A_SILENCE = 40;
  private static final double CLOSED_BEFORE_FIRST = 0.05;
  private final long lastsMs;

  /** Lasts so many milliseconds. */
  public ConnectionResets(long lastsMs) {
    this.lastsMs = lastsMs;
  }

  @Override
  public void play(ControlDay day) {
    day.keepChanging(1);
    List<StandInReplica> models = new ArrayList<>();
    for (StandInReplica replica : day.fleet.replicas.values()) {
      if (replica.kind == StandInReplica.Kind.MODEL) models.add(replica);
    }
    for (StandInReplica replica : models) replica.faults.earlyCloseRate = CLOSED_BEFORE_FIRST;
    long steps = lastsMs / STEP_MS;
    for (long step = 1; step <= steps; step++) {
      StandInReplica replica = models.get(day.random.nextInt(models.size()));
      String edge = Fleet.edgeMachine(1 + day.random.nextInt(day.fleet.deployment.relays()));
      if (step % STEPS_A_SILENCE == 0) {
        silence(day, edge, replica.instance);
      } else if (step % 2 == 0) {
        day.fleet.links.breakConnections(edge, replica.instance);
      } else {
        day.fleet.links.breakConnections(LinkProxy.OUTSIDE, edge);
      }
      replica.faults.cutStreams = step % 5 == 0;
      Fleet.pause(STEP_MS);
    }
    for (StandInReplica replica : models) replica.faults.clear();
  }

  private static void silence(ControlDay day, String edge, String replica) {
    day.fleet.links.cut(edge, replica);
    Fleet.pause(SILENCE_MS);
    day.fleet.links.heal();
  }

  @Override
  public long longestGapMs() {
    return 12_000;
  }
}
