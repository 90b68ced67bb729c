package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.KeyStatus;
import gladelug.control.core.QuorumConfig;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Watches how long each key of the core is without a working owner while trouble comes to one. */
final class Takeover {
  private static final long STEP = 25;

  /** When a majority last confirmed an owner of the key, by key. */
  private final Map<String, Long> confirmed = new HashMap<>();

  private final Sim sim;

  /** The longest time that any leased key went without a majority confirming its owner, ms. */
  long longestUnconfirmed;

  Takeover(Sim sim) {
    this.sim = sim;
  }

  /** A fleet that serves, with connections as TCP's and the platform's times. */
  static Sim fleet(long seed, boolean heartbeats) {
    return fleet(seed, 3, heartbeats);
  }

  static Sim fleet(long seed, int members, boolean heartbeats) {
    QuorumConfig tunables = CoreTimes.PLATFORM.with().targetMembers(members).build();
    Sim world = new Sim(seed, 2, members, members, tunables);
    world.connections = true;
    world.heartbeats = heartbeats;
    world.askEach = CoreTimes.ASK;
    world.run(6000);
    world.send("c1", StateKeys.CONFIGURATION, -1);
    world.run(3000);
    for (SimRelay relay : world.relays.values()) relay.longestGap = 0;
    return world;
  }

  /** How long the relay that was worst off could not start anything, ms. */
  static long longestGap(Sim world) {
    long gap = 0;
    for (SimRelay relay : world.relays.values())
      gap = Math.max(gap, Math.max(relay.longestGap, world.now() - relay.lastStart));
    return gap;
  }

  static List<String> keys() {
    List<String> l = new ArrayList<>(StateKeys.PUSHED);
    l.add(StateKeys.SHARES);
    return l;
  }

  void run(long ms) {
    long end = sim.now() + ms;
    while (sim.now() < end) {
      sim.run(Math.min(STEP, end - sim.now()));
      look();
    }
  }

  private void look() {
    for (SimControl control : sim.controls.values())
      if (control.up && control.node.isInitialized())
        for (KeyStatus k : control.node.keyStatuses()) look(control, k);
    for (String k : StateKeys.LEASED)
      if (confirmed.containsKey(k))
        longestUnconfirmed = Math.max(longestUnconfirmed, sim.now() - confirmed.get(k));
  }

  private void look(SimControl control, KeyStatus k) {
    long at = sim.now() - k.confirmedAgoMs();
    if (k.owner().equals(control.name) && at > 0) confirmed.merge(k.key(), at, Math::max);
  }

  /** The member that serves the key, other than this one; null for none. */
  SimControl owner(String key, SimControl but) {
    for (SimControl control : sim.controls.values())
      if (control != but
          && control.up
          && !control.paused
          && control.node.isInitialized()
          && control.node.owns(key)) return control;
    return null;
  }

  /** Until each of these keys has another owner, by key; missing where none came in this time. */
  Map<String, Long> untilOthersServe(List<String> keys, SimControl troubled, long within) {
    Map<String, Long> after = new HashMap<>();
    long from = sim.now();
    while (sim.now() - from < within) {
      run(STEP);
      for (String k : keys) if (owner(k, troubled) != null) after.putIfAbsent(k, sim.now() - from);
    }
    return after;
  }
}
