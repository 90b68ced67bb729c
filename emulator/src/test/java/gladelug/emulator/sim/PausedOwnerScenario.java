package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.common.message.WireRecord;
import gladelug.control.core.message.CoreMessage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * An owner's process is paused just after it sent a round of confirmation requests. Another member
 * takes over and acknowledges a change, then the former owner resumes and finds the answers. One
 * relay reaches only the former owner. Returns the violation of the first seed that shows one.
 */
public final class PausedOwnerScenario implements Supplier<String> {
  private static final int SEEDS = 20;

  /** Time from the start to the first change. */
  private static final long FOUNDING_MS = 4000;

  /** Longest time for a change or a takeover. */
  private static final long MAX_WAIT_MS = 5000;

  /** Time from the acknowledgement by the next owner until the former one resumes. */
  private static final long PAUSED_AFTERWARDS_MS = 100;

  /** Time from the resumption until all links are repaired, and from then to the end. */
  private static final long RESUMED_MS = 4000, SETTLE_MS = 8000;

  private final String relay = "r1";
  private boolean roundStarted;

  @Override
  public String get() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation sim = new Simulation(seed, 2);
      play(sim);
      if (!sim.violations.isEmpty()) return "seed " + seed + ": " + sim.violations.get(0);
    }
    return "";
  }

  private void play(Simulation sim) {
    sim.run(FOUNDING_MS);
    acknowledgeChange(sim, "c1");
    String former = sim.ownersOf(StateKeys.CONFIGURATION);
    for (String other : sim.controlNames())
      if (!other.equals(former)) {
        sim.cutLink(relay, other);
        sim.cutLink(other, relay);
      }
    runUntilRoundStarts(sim, former);
    sim.controls.get(former).pause();
    String next = former.equals("c1") ? "c2" : "c1";
    runUntil(sim, () -> sim.controls.get(next).node.owns(StateKeys.CONFIGURATION));
    acknowledgeChange(sim, next);
    sim.run(PAUSED_AFTERWARDS_MS);
    sim.controls.get(former).resume();
    sim.run(RESUMED_MS);
    sim.healAll();
    sim.settle(SETTLE_MS);
  }

  private void runUntilRoundStarts(Simulation sim, String owner) {
    roundStarted = false;
    sim.observer =
        new TrafficObserver() {
          @Override
          public void sent(long atMs, String startMs, String to, WireRecord message) {
            if (startMs.equals(owner)
                && message instanceof CoreMessage.Envelope envelope
                && envelope.message() instanceof CoreMessage.ConfirmRequest) roundStarted = true;
          }
        };
    runUntil(sim, () -> roundStarted);
    sim.observer = TrafficObserver.NONE;
  }

  private static void acknowledgeChange(Simulation sim, String member) {
    Simulation.SentChange sent = sim.send(member, StateKeys.CONFIGURATION, -1);
    runUntil(sim, () -> sent.answer()[0] != null);
  }

  private static void runUntil(Simulation sim, BooleanSupplier condition) {
    long startMs = sim.nowMs();
    while (!condition.getAsBoolean()) {
      if (sim.nowMs() - startMs > MAX_WAIT_MS) throw new IllegalStateException(sim.eventLogText());
      sim.run(1);
    }
  }
}
