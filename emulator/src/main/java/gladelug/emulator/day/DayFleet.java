package gladelug.emulator.day;

import gladelug.emulator.Fleet;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Gives the episodes of a day access to the fleet: kills, restarts and freezes its processes. */
final class DayFleet {
  static final String CONFIGURATION_KEY = "policy";
  static final String REPLICAS_KEY = "replicas";
  private static final long READY_TIMEOUT_MS = 40_000;
  private static final int FIRST_FREE_HOST = 150;

  final Fleet fleet;
  final Random random;
  private int nextHost = FIRST_FREE_HOST;

  DayFleet(Fleet fleet, Random random) {
    this.fleet = fleet;
    this.random = random;
  }

  /** Returns the host number of an unused machine. */
  int allocateHost() {
    return nextHost++;
  }

  /** Returns the names of the core's members. */
  List<String> members() {
    return fleet.members();
  }

  /** Returns a random one of the three members. */
  String randomMember() {
    return members().get(random.nextInt(3));
  }

  /** Returns the owner of a key of the control state, or the first member if nobody owns it. */
  String ownerOf(String key) {
    return fleet.ownerOf(key);
  }

  /** Returns the core members and all machines of relays and indexes. */
  Set<String> membersAndEdges() {
    Set<String> machines = new LinkedHashSet<>(members());
    for (int i = 1; i <= fleet.deployment.relays(); i++) machines.add(Fleet.edgeMachine(i));
    return machines;
  }

  /** Returns the machines of the core members. */
  Set<String> coreMachines() {
    return new LinkedHashSet<>(members());
  }

  /** Kills processes at once, as a power loss does. */
  void kill(String... names) {
    for (String name : names) fleet.children.get(name).kill();
  }

  /** Restarts processes and returns when all are ready. */
  void restart(String... names) throws IOException {
    for (String name : names) fleet.children.get(name).start();
    for (String name : names) {
      Fleet.waitUntil(name + " ready", READY_TIMEOUT_MS, () -> fleet.isReady(name));
    }
  }

  /** Suspends a process. */
  void freeze(String name) throws IOException {
    fleet.frozen.add(name);
    fleet.children.get(name).freeze(true);
  }

  /** Resumes a suspended process. */
  void thaw(String name) throws IOException {
    fleet.children.get(name).freeze(false);
    fleet.frozen.remove(name);
  }
}
