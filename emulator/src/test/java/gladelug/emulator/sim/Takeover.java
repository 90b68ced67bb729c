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

  private final Simulation sim;

  /** The longest time that any leased key went without a majority confirming its owner, ms. */
  long longestUnconfirmed;

  Takeover(Simulation sim) {
    this.sim = sim;
  }

  /** A fleet that serves, with connections as TCP's and the platform's times. */
  static Simulation fleet(long seed, boolean heartbeats) {
    return fleet(seed, 3, heartbeats);
  }

  static Simulation fleet(long seed, int members, boolean heartbeats) {
    QuorumConfig tunables = CoreTimes.PLATFORM.with().targetMembers(members).build();
    Simulation world = new Simulation(seed, 2, members, members, tunables);
    world.usesConnections = true;
    world.usesHeartbeats = heartbeats;
    world.subscriptionIntervalMs = CoreTimes.ASK;
    world.run(6000);
    world.send("c1", StateKeys.CONFIGURATION, -1);
    world.run(3000);
    for (SimRelay relay : world.relays.values()) relay.longestGapMs = 0;
    return world;
  }

  /** How long the relay that was worst off could not start anything, ms. */
  static long longestGap(Simulation world) {
    long gap = 0;
    for (SimRelay relay : world.relays.values())
      gap = Math.max(gap, Math.max(relay.longestGapMs, world.nowMs() - relay.lastStartMs));
    return gap;
  }

  static List<String> keys() {
    List<String> l = new ArrayList<>(StateKeys.PUSHED);
    l.add(StateKeys.SHARES);
    return l;
  }

  void run(long ms) {
    long end = sim.nowMs() + ms;
    while (sim.nowMs() < end) {
      sim.run(Math.min(STEP, end - sim.nowMs()));
      look();
    }
  }

  private void look() {
    for (SimControlMachine control : sim.controls.values())
      if (control.up && control.node.isInitialized())
        for (KeyStatus k : control.node.keyStatuses()) look(control, k);
    for (String k : StateKeys.LEASED)
      if (confirmed.containsKey(k))
        longestUnconfirmed = Math.max(longestUnconfirmed, sim.nowMs() - confirmed.get(k));
  }

  private void look(SimControlMachine control, KeyStatus k) {
    long at = sim.nowMs() - k.confirmedAgoMs();
    if (k.owner().equals(control.name) && at > 0) confirmed.merge(k.key(), at, Math::max);
  }

  /** The member that serves the key, other than this one; null for none. */
  SimControlMachine owner(String key, SimControlMachine but) {
    for (SimControlMachine control : sim.controls.values())
      if (control != but
          && control.up
          && !control.paused
          && control.node.isInitialized()
          && control.node.owns(key)) return control;
    return null;
  }

  /** Until each of these keys has another owner, by key; missing where none came in this time. */
  Map<String, Long> untilOthersServe(List<String> keys, SimControlMachine troubled, long within) {
    Map<String, Long> after = new HashMap<>();
    long from = sim.nowMs();
    while (sim.nowMs() - from < within) {
      run(STEP);
      for (String k : keys)
        if (owner(k, troubled) != null) after.putIfAbsent(k, sim.nowMs() - from);
    }
    return after;
  }
}
