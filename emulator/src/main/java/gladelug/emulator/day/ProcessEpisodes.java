package gladelug.emulator.day;

import gladelug.emulator.Fleet;
import java.util.List;

/**
 * Faults of the fleet's own processes: core members, relays and indexes are killed or suspended,
 * and return with or without their disks.
 */
final class ProcessEpisodes {
  private static final long JOIN_TIMEOUT_MS = 30_000;
  private final DayFleet machines;
  private String killedOwner;
  private String frozenOwner;
  private String emptyMember;
  private String firstOfTwo;
  private String secondOfTwo;

  ProcessEpisodes(DayFleet machines) {
    this.machines = machines;
  }

  List<Episode> episodes() {
    return List.of(
        Episode.of(
            "the owner of the configuration is killed",
            () -> {
              killedOwner = machines.ownerOf(DayFleet.CONFIGURATION_KEY);
              machines.kill(killedOwner);
            },
            () -> machines.restart(killedOwner)),
        Episode.of(
            "the owner of the list of replicas freezes for 5 s",
            () -> {
              frozenOwner = machines.ownerOf(DayFleet.REPLICAS_KEY);
              machines.freeze(frozenOwner);
            },
            () -> machines.thaw(frozenOwner)),
        Episode.of(
            "a core machine returns with an empty disk at a new address",
            this::returnWithEmptyDisk,
            () ->
                Fleet.waitUntil(
                    emptyMember + " joins the core",
                    JOIN_TIMEOUT_MS,
                    () -> machines.fleet.isReady(emptyMember))),
        Episode.of(
            "two core machines are killed at once",
            this::killTwo,
            () -> machines.restart(firstOfTwo, secondOfTwo)),
        Episode.of(
            "a relay freezes for 4 s",
            () -> machines.freeze("relay-2"),
            () -> machines.thaw("relay-2")),
        Episode.of(
            "a relay and an index are killed at once",
            () -> machines.kill("relay-1", "index-1"),
            () -> machines.restart("relay-1", "index-1")));
  }

  private void returnWithEmptyDisk() throws Exception {
    emptyMember = machines.randomMember();
    machines.kill(emptyMember);
    machines.fleet.addControlMachine(emptyMember, machines.allocateHost()).start();
  }

  private void killTwo() {
    List<String> members = machines.members();
    firstOfTwo = members.get(0);
    secondOfTwo = members.get(1);
    machines.kill(firstOfTwo, secondOfTwo);
  }
}
