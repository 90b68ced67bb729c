package gladelug.emulator.sim;

import gladelug.common.connection.Liveness;
import gladelug.common.connection.ReadTimeoutDetector;
import java.util.function.Consumer;

/**
 * The simulated counterpart of Held: one connection of a process to another, begun anew after it
 * ends, with the product's own rule for when silence ends it, or with none as a control.
 */
final class SimHeld {
  private final Sim sim;
  private final String caller;
  private final String callee;
  private final Liveness liveness;
  private final ReadTimeoutDetector detector;
  private final int life;
  private final Consumer<SimTcp> opened;
  private SimTcp connection;
  private boolean suspected;

  SimHeld(Sim sim, String caller, String callee, Liveness liveness, Consumer<SimTcp> opened) {
    this.sim = sim;
    this.caller = caller;
    this.callee = callee;
    this.liveness = liveness;
    this.detector = new ReadTimeoutDetector(liveness, sim::now);
    this.life = sim.life(caller);
    this.opened = opened;
    connect();
  }

  /** Whether it belongs to a process that has ended. */
  boolean over() {
    return sim.life(caller) != life;
  }

  private void connect() {
    if (over()) return;
    boolean cut = sim.isCut(caller, callee) || sim.isCut(callee, caller);
    if (sim.refuses(callee) && !cut || sim.rejects(caller, callee)) again(sim.delay());
    else if (cut || sim.dark(callee)) again(liveness.connectTimeoutMs());
    else sim.after(sim.delay() + sim.delay(), this::connected);
  }

  private void again(long ms) {
    sim.after(ms + liveness.reconnectDelayMs(), this::connect);
  }

  private void connected() {
    if (over()) return;
    SimTcp c = new SimTcp(sim, caller, callee, this::ended);
    connection = c;
    detector.onConnected();
    opened.accept(c);
  }

  private void ended() {
    connection = null;
    again(0);
  }

  /** received: at the other process, with the connection it came by. Lost without a connection. */
  void send(int bytes, Consumer<SimTcp> received) {
    closeIfSilent();
    SimTcp c = connection;
    if (c == null) return;
    boolean asks = detector.onSending(bytes);
    c.there.send(
        () -> {
          received.accept(c);
          if (asks) sim.process(callee, () -> answer(c, () -> {}));
        });
  }

  /** What the other process sends by a connection of this one. */
  void answer(SimTcp c, Runnable received) {
    c.back.send(
        () -> {
          if (c == connection) detector.onReceived();
          received.run();
        });
  }

  void closeIfSilent() {
    if (!sim.heartbeats || connection == null || suspected || !detector.isSilent()) return;
    SimTcp c = connection;
    suspected = true;
    sim.after(
        Liveness.GRACE_MS,
        () -> {
          suspected = false;
          if (c == connection && detector.isSilent() && !over()) c.reset();
        });
  }

  /** The network resets the connection. */
  void reset() {
    if (connection != null) connection.reset();
  }
}
