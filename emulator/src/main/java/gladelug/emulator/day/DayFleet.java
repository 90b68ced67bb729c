package gladelug.emulator.day;

import gladelug.emulator.Fleet;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What troubles of a day do to the fleet's processes, and what they ask of it.
 *
 * <p>The fleet as the troubles of a day see it.
 */
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

  /** The number of a machine that nothing runs on yet. */
  int allocateHost() {
    return nextHost++;
  }

  /** The names of the core's members. */
  List<String> members() {
    return fleet.members();
  }

  /** One of the three members, by chance. */
  String randomMember() {
    return members().get(random.nextInt(3));
  }

  /** Who owns a key of the control state; the first member where nobody does. */
  String ownerOf(String key) {
    return fleet.ownerOf(key);
  }

  /** The members and all machines of relays and indexes. */
  Set<String> membersAndEdges() {
    Set<String> machines = new LinkedHashSet<>(members());
    for (int i = 1; i <= fleet.deployment.relays(); i++) machines.add(Fleet.edgeMachine(i));
    return machines;
  }

  /** The members, as machines. */
  Set<String> coreMachines() {
    return new LinkedHashSet<>(members());
  }

  /** Machines lose power. */
  void kill(String... names) {
    for (String name : names) fleet.children.get(name).kill();
  }

  /** Machines are started again; returns when all are ready. */
  void restart(String... names) throws IOException {
    for (String name : names) fleet.children.get(name).start();
    for (String name : names) {
      Fleet.waitUntil(name + " ready", READY_TIMEOUT_MS, () -> fleet.isReady(name));
    }
  }

  /** A machine stops where it is. */
  void freeze(String name) throws IOException {
    fleet.frozen.add(name);
    fleet.children.get(name).freeze(true);
  }

  /** A frozen machine goes on. */
  void thaw(String name) throws IOException {
    fleet.children.get(name).freeze(false);
    fleet.frozen.remove(name);
  }
}
