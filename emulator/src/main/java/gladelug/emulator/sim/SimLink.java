package gladelug.emulator.sim;

import gladelug.common.connection.Liveness;
import gladelug.common.connection.ReadTimeoutDetector;
import java.util.function.Consumer;

/**
 * A simulated link from one process to another that opens a new connection whenever the last one
 * ends. Silence is detected by the production liveness rule, or not at all in control experiments.
 */
final class SimLink {
  private final Simulation sim;
  private final String caller;
  private final String callee;
  private final Liveness liveness;
  private final ReadTimeoutDetector detector;
  private final int callerProcess;
  private final Consumer<SimTcpConnection> onOpened;
  private SimTcpConnection connection;
  private boolean closePending;

  SimLink(
      Simulation sim,
      String caller,
      String callee,
      Liveness liveness,
      Consumer<SimTcpConnection> onOpened) {
    this.sim = sim;
    this.caller = caller;
    this.callee = callee;
    this.liveness = liveness;
    this.detector = new ReadTimeoutDetector(liveness, sim::nowMs);
    this.callerProcess = sim.processNumber(caller);
    this.onOpened = onOpened;
    connect();
  }

  /** Returns whether the calling process has ended. */
  boolean isOver() {
    return sim.processNumber(caller) != callerProcess;
  }

  private void connect() {
    if (isOver()) return;
    boolean cut = sim.isCut(caller, callee) || sim.isCut(callee, caller);
    if (sim.refusesConnections(callee) && !cut || sim.answersWithResets(caller, callee))
      reconnectAfter(sim.linkDelayMs());
    else if (cut || sim.isPoweredOff(callee)) reconnectAfter(liveness.connectTimeoutMs());
    else sim.after(sim.linkDelayMs() + sim.linkDelayMs(), this::onConnected);
  }

  private void reconnectAfter(long delayMs) {
    sim.after(delayMs + liveness.reconnectDelayMs(), this::connect);
  }

  private void onConnected() {
    if (isOver()) return;
    SimTcpConnection current = new SimTcpConnection(sim, caller, callee, this::onEnded);
    connection = current;
    detector.onConnected();
    onOpened.accept(current);
  }

  private void onEnded() {
    connection = null;
    reconnectAfter(0);
  }

  /**
   * Sends bytes over the current connection; they are lost where there is none. The callback runs
   * at the other process and gets the connection they came by.
   */
  void send(int bytes, Consumer<SimTcpConnection> onReceived) {
    closeIfSilent();
    SimTcpConnection current = connection;
    if (current == null) return;
    boolean expectsAnswer = detector.onSending(bytes);
    current.toCallee.send(
        () -> {
          onReceived.accept(current);
          if (expectsAnswer) sim.runInProcess(callee, () -> sendBack(current, () -> {}));
        });
  }

  /** Sends bytes back over a connection of this link. */
  void sendBack(SimTcpConnection current, Runnable onReceived) {
    current.toCaller.send(
        () -> {
          if (current == connection) detector.onReceived();
          onReceived.run();
        });
  }

  void closeIfSilent() {
    if (!sim.usesHeartbeats || connection == null || closePending || !detector.isSilent()) return;
    SimTcpConnection current = connection;
    closePending = true;
    sim.after(
        Liveness.GRACE_MS,
        () -> {
          closePending = false;
          if (current == connection && detector.isSilent() && !isOver()) current.reset();
        });
  }

  /** Resets the current connection, as the network does. */
  void reset() {
    if (connection != null) connection.reset();
  }
}
