package gladelug.emulator.day;

import gladelug.emulator.Fleet;
import gladelug.emulator.StandInReplica;
import java.util.List;
import java.util.Map;

/**
 * Faults of the stand-in replicas and the store: crashed, hanging, removed, replaced, emptied,
 * slow, or with broken streams.
 */
final class ReplicaEpisodes {
  private static final long LEAVING_MS = 2500;
  private final DayFleet machines;
  private final Map<String, StandInReplica> replicas;

  ReplicaEpisodes(DayFleet machines) {
    this.machines = machines;
    this.replicas = machines.fleet.replicas;
  }

  List<Episode> episodes() {
    return List.of(
        Episode.of(
            "a replica crashes and returns",
            () -> replicas.get("replica-3").kill(),
            () -> replicas.get("replica-3").start()),
        Episode.of(
            "a replica hangs",
            () -> replicas.get("replica-4").faults.hang = true,
            () -> replicas.get("replica-4").faults.hang = false),
        Episode.of(
            "a replica disappears permanently",
            () -> replicas.get("replica-5").kill(),
            () -> removeReplica("replica-5")),
        new Episode(
            "two replicas are replaced one by one",
            () -> {
              for (String name : List.of("replica-6", "replica-7")) replaceReplica(name);
            },
            () -> {},
            true),
        Episode.of(
            "the store goes down and comes back empty",
            () -> replicas.get("store").kill(),
            () -> replicas.get("store").start()),
        Episode.of(
            "links slow down and cache events are delayed or lost",
            () -> replicas.values().forEach(ReplicaEpisodes::slowDown),
            () -> replicas.values().forEach(replica -> replica.faults.clear())),
        Episode.of(
            "streams break at one replica, and another refuses half of its requests",
            () -> {
              replicas.get("replica-1").faults.cutStreams = true;
              replicas.get("replica-2").faults.refusalRate = 0.5;
            },
            () -> {
              replicas.get("replica-1").faults.clear();
              replicas.get("replica-2").faults.clear();
            }));
  }

  private static void slowDown(StandInReplica replica) {
    replica.faults.linkFactor = 60;
    replica.faults.eventLossRate = 0.2;
    replica.faults.eventDelayRate = 0.3;
  }

  private void removeReplica(String name) {
    machines.fleet.platform.unlist(name);
    replicas.remove(name);
  }

  /** Lists a replica as leaving, kills it, and adds a replacement under a new name. */
  private void replaceReplica(String name) throws Exception {
    StandInReplica leaving = replicas.get(name);
    machines.fleet.platform.list(leaving.service, name, leaving.address(), "zone-a", false);
    Fleet.pause(LEAVING_MS);
    leaving.kill();
    removeReplica(name);
    StandInReplica next =
        machines.fleet.addReplica(
            StandInReplica.Kind.MODEL,
            leaving.service,
            name + "-next",
            machines.allocateHost(),
            "zone-a",
            machines.random.nextLong());
    Day.printLine(name + " was replaced by " + next.instance);
  }
}
