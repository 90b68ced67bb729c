package gladelug.emulator.sim;

import java.util.ArrayDeque;

/**
 * One simulated TCP connection between two processes, as its users see it. Bytes keep their order.
 * Bytes sent into a cut are retransmitted with exponential backoff, so that after a cut the
 * connection stays silent for about as long again unless it is reset; a new connection works at
 * once. A process that ends resets its connections; a machine without power stays silent.
 */
final class SimTcpConnection {
  private static final long MIN_RETRANSMISSION_MS = 200, MAX_RETRANSMISSION_MS = 60_000;

  /** The ordered bytes of one direction. */
  final class Stream {
    private final String from;
    private final String to;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private boolean stalled;
    private long retransmissionMs;
    private long lastArrivalMs;
    private long unacknowledgedSinceMs = -1;

    private Stream(String from, String to) {
      this.from = from;
      this.to = to;
    }

    /** Delivers the callback to the other side, unless the connection ends first. */
    void send(Runnable onReceived) {
      if (isOver()) return;
      waiting.add(onReceived);
      if (stalled) return;
      if (canTransmit()) flush();
      else stall(MIN_RETRANSMISSION_MS);
    }

    /**
     * Returns whether bytes arrive now. They may arrive for a moment while their acknowledgements
     * do not; then TCP stops sending.
     */
    private boolean canTransmit() {
      if (sim.isCut(from, to) || sim.isPoweredOff(to) || sim.random.nextDouble() < sim.lossRate)
        return false;
      if (!sim.isCut(to, from)) {
        unacknowledgedSinceMs = -1;
        return true;
      }
      if (unacknowledgedSinceMs < 0) unacknowledgedSinceMs = sim.nowMs();
      return sim.nowMs() - unacknowledgedSinceMs < MIN_RETRANSMISSION_MS;
    }

    private void stall(long delayMs) {
      stalled = true;
      retransmissionMs = Math.min(delayMs, MAX_RETRANSMISSION_MS);
      sim.after(
          retransmissionMs,
          () -> {
            if (isOver()) return;
            stalled = !canTransmit();
            if (stalled) stall(2 * retransmissionMs);
            else flush();
          });
    }

    private void flush() {
      while (!waiting.isEmpty()) {
        Runnable task = waiting.poll();
        lastArrivalMs = Math.max(lastArrivalMs, sim.nowMs() + sim.linkDelayMs());
        sim.after(
            lastArrivalMs - sim.nowMs(),
            () -> {
              if (isOver()) return;
              if (sim.processNumber(to) == processOf(to)) task.run();
              else reset();
            });
      }
    }
  }

  private final Simulation sim;
  private final String caller;
  private final int callerProcess;
  private final int calleeProcess;
  private final Runnable onReset;
  private boolean reset;
  final Stream toCallee;
  final Stream toCaller;

  /**
   * Creates an open connection. The callback runs after the connection was reset by either side or
   * by the network.
   */
  SimTcpConnection(Simulation sim, String caller, String callee, Runnable onReset) {
    this.sim = sim;
    this.caller = caller;
    this.onReset = onReset;
    this.callerProcess = sim.processNumber(caller);
    this.calleeProcess = sim.processNumber(callee);
    this.toCallee = new Stream(caller, callee);
    this.toCaller = new Stream(callee, caller);
  }

  private int processOf(String name) {
    return name.equals(caller) ? callerProcess : calleeProcess;
  }

  private boolean isOver() {
    return reset || sim.processNumber(caller) != callerProcess;
  }

  boolean isOpen() {
    return !isOver();
  }

  /** Resets the connection: nothing that is still in flight arrives. */
  void reset() {
    if (reset) return;
    reset = true;
    onReset.run();
  }
}
