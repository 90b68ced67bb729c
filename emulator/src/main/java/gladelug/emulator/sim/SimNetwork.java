package gladelug.emulator.sim;

import gladelug.common.connection.Liveness;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The connections of a simulated fleet: which process holds one to which, and by which of them news
 * goes back to a relay.
 */
final class SimNetwork {
  /** Without heartbeats attempts to connect took this long, ms. */
  private static final Liveness BEFORE = new Liveness(1, 1, 1000, 200);

  private record Pair(String caller, String callee) {}

  private record Asked(SimHeld held, SimTcp connection) {}

  private final Sim sim;
  private final Map<Pair, SimHeld> held = new HashMap<>();

  /** By member and relay: the connection that the relay asked by last. */
  private final Map<Pair, Asked> asked = new HashMap<>();

  SimNetwork(Sim sim) {
    this.sim = sim;
  }

  private SimHeld hold(String caller, String callee) {
    Pair p = new Pair(caller, callee);
    SimHeld h = held.get(p);
    if (h == null || h.over()) held.put(p, h = begin(caller, callee));
    return h;
  }

  private SimHeld begin(String caller, String callee) {
    boolean member = sim.controls.containsKey(caller);
    Liveness l =
        member
            ? Liveness.forMembers(sim.tunables.heartbeatMs(), sim.tunables.peerTimeoutMs())
            : Liveness.DATA_PLANE;
    Consumer<SimTcp> opened = c -> sim.opened(caller, callee);
    return new SimHeld(sim, caller, callee, sim.heartbeats ? l : BEFORE, opened);
  }

  /** received: at the callee, by the process that runs there. */
  void send(String caller, String callee, int bytes, Runnable received) {
    hold(caller, callee).send(bytes, c -> received.run());
  }

  /** What a relay asks, so that news can go back by the same connection. */
  void ask(String relay, String member, int bytes, Runnable received) {
    SimHeld h = hold(relay, member);
    h.send(
        bytes,
        c -> {
          asked.put(new Pair(member, relay), new Asked(h, c));
          received.run();
        });
  }

  void news(String member, String relay, Runnable received) {
    Asked a = asked.get(new Pair(member, relay));
    if (a != null && a.connection.open()) a.held.answer(a.connection, received);
  }

  void closeIfSilent(String caller) {
    held.forEach(
        (p, h) -> {
          if (p.caller.equals(caller)) h.closeIfSilent();
        });
  }

  /** Resets all connections of this process, begun by it or by others. */
  void reset(String who) {
    held.forEach(
        (p, h) -> {
          if (p.caller.equals(who) || p.callee.equals(who)) h.reset();
        });
  }
}
