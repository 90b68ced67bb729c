package gladelug.emulator.sim;

import java.util.ArrayDeque;

/**
 * One simulated TCP connection between two processes, as those who use it see it. Bytes keep their
 * order. What meets a cut is sent again after a time that doubles, so that after a cut the
 * connection is silent for about as long again, unless it is reset; a connection begun anew works
 * at once. A process that ends resets its connections, a machine without power says nothing.
 */
final class SimTcpConnection {
  private static final long MIN_RETRANSMISSION_MS = 200, MAX_RETRANSMISSION_MS = 60_000;

  /** What one side sends, in order. */
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

    /** Has the other side receive this, unless the connection ends first. */
    void send(Runnable onReceived) {
      if (isOver()) return;
      waiting.add(onReceived);
      if (stalled) return;
      if (canTransmit()) flush();
      else stall(MIN_RETRANSMISSION_MS);
    }

    /** Bytes may pass for a moment while their acknowledgements don't; then TCP holds back. */
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

  /** ended: told where the connection is reset by anyone, after it was. */
  SimTcpConnection(Simulation sim, String caller, String callee, Runnable onReset) {
    this.sim = sim;
    this.caller = caller;
    this.onReset = onReset;
    this.callerProcess = sim.processNumber(caller);
    this.calleeProcess = sim.processNumber(callee);
    this.toCallee = new Stream(caller, callee);
    this.toCaller = new Stream(callee, caller);
  }

  private int processOf(String who) {
    return who.equals(caller) ? callerProcess : calleeProcess;
  }

  private boolean isOver() {
    return reset || sim.processNumber(caller) != callerProcess;
  }

  boolean isOpen() {
    return !isOver();
  }

  /** Nothing that is still on its way arrives. */
  void reset() {
    if (reset) return;
    reset = true;
    onReset.run();
  }
}
