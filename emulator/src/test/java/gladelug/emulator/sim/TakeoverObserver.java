package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.KeyStatus;
import gladelug.control.core.QuorumConfig;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Observes how long each key of the core has no working owner while a fault affects one. */
final class TakeoverObserver {
  private static final long STEP_MS = 25;

  /** Time at which a majority last confirmed an owner, by key. */
  private final Map<String, Long> confirmedAtMs = new HashMap<>();

  private final Simulation sim;

  /** The longest time for which any leased key had no owner confirmed by a majority. */
  long longestUnconfirmedMs;

  TakeoverObserver(Simulation sim) {
    this.sim = sim;
  }

  /** Starts a fleet that serves, on simulated TCP connections with the platform's timing. */
  static Simulation startFleet(long seed, boolean heartbeats) {
    return startFleet(seed, 3, heartbeats);
  }

  static Simulation startFleet(long seed, int members, boolean heartbeats) {
    QuorumConfig tunables = CoreTimes.PLATFORM.with().targetMembers(members).build();
    Simulation world = new Simulation(seed, 2, members, members, tunables);
    world.usesConnections = true;
    world.usesHeartbeats = heartbeats;
    world.subscriptionIntervalMs = CoreTimes.SUBSCRIPTION_INTERVAL_MS;
    world.run(6000);
    world.send("c1", StateKeys.CONFIGURATION, -1);
    world.run(3000);
    for (SimRelay relay : world.relays.values()) relay.longestGapMs = 0;
    return world;
  }

  /** Returns the longest time for which any relay could not start a request, in ms. */
  static long longestGapMs(Simulation world) {
    long gapMs = 0;
    for (SimRelay relay : world.relays.values())
      gapMs = Math.max(gapMs, Math.max(relay.longestGapMs, world.nowMs() - relay.lastStartMs));
    return gapMs;
  }

  static List<String> keys() {
    List<String> l = new ArrayList<>(StateKeys.PUSHED);
    l.add(StateKeys.SHARES);
    return l;
  }

  void run(long ms) {
    long end = sim.nowMs() + ms;
    while (sim.nowMs() < end) {
      sim.run(Math.min(STEP_MS, end - sim.nowMs()));
      observe();
    }
  }

  private void observe() {
    for (SimControlMachine control : sim.controls.values())
      if (control.up && control.node.isInitialized())
        for (KeyStatus key : control.node.keyStatuses()) observe(control, key);
    for (String key : StateKeys.LEASED)
      if (confirmedAtMs.containsKey(key))
        longestUnconfirmedMs = Math.max(longestUnconfirmedMs, sim.nowMs() - confirmedAtMs.get(key));
  }

  private void observe(SimControlMachine control, KeyStatus key) {
    long confirmedAt = sim.nowMs() - key.confirmedAgoMs();
    if (key.owner().equals(control.name) && confirmedAt > 0)
      confirmedAtMs.merge(key.key(), confirmedAt, Math::max);
  }

  /** Returns the member that serves the key, other than the excluded one, or null. */
  SimControlMachine owner(String key, SimControlMachine excluded) {
    for (SimControlMachine control : sim.controls.values())
      if (control != excluded
          && control.up
          && !control.paused
          && control.node.isInitialized()
          && control.node.owns(key)) return control;
    return null;
  }

  /**
   * Returns the time in ms until each key had another owner; a key without one in this time is
   * missing.
   */
  Map<String, Long> takeoverTimesMs(List<String> keys, SimControlMachine faulty, long withinMs) {
    Map<String, Long> takeoverMs = new HashMap<>();
    long startMs = sim.nowMs();
    while (sim.nowMs() - startMs < withinMs) {
      run(STEP_MS);
      for (String key : keys)
        if (owner(key, faulty) != null) takeoverMs.putIfAbsent(key, sim.nowMs() - startMs);
    }
    return takeoverMs;
  }
}
