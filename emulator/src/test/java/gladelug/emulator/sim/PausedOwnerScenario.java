package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.common.message.WireRecord;
import gladelug.control.core.message.CoreMessage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The process of an owner is paused just after a round of confirmations went out; meanwhile another
 * member takes over and acknowledges a change, and then the former owner wakes to the answers. One
 * relay reaches the former owner alone. The violation of the first seed that brings one.
 */
public final class PausedOwnerScenario implements Supplier<String> {
  private static final int SEEDS = 5;

  /** From the start to the first change, ms. */
  private static final long FOUNDING = 4000;

  /** How long a change or a takeover may take, ms. */
  private static final long LONGEST = 5000;

  /** From the acknowledgement by the next owner until the former one wakes, ms. */
  private static final long ASLEEP_AFTERWARDS = 100;

  /** From the waking until all links are well, and from then to the end, ms. */
  private static final long AWAKE = 4000, SETTLES = 8000;

  private final String relay = "r1";
  private boolean confirming;

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
    sim.run(FOUNDING);
    change(sim, "c1");
    String former = sim.ownersOf(StateKeys.CONFIGURATION);
    for (String other : sim.controlNames())
      if (!other.equals(former)) {
        sim.cutLink(relay, other);
        sim.cutLink(other, relay);
      }
    untilRoundBegins(sim, former);
    sim.controls.get(former).pause();
    String next = former.equals("c1") ? "c2" : "c1";
    until(sim, () -> sim.controls.get(next).node.owns(StateKeys.CONFIGURATION));
    change(sim, next);
    sim.run(ASLEEP_AFTERWARDS);
    sim.controls.get(former).resume();
    sim.run(AWAKE);
    sim.healAll();
    sim.settle(SETTLES);
  }

  private void untilRoundBegins(Simulation sim, String owner) {
    confirming = false;
    sim.observer =
        new TrafficObserver() {
          @Override
          public void sent(long atMs, String from, String to, WireRecord message) {
            if (from.equals(owner)
                && message instanceof CoreMessage.Envelope envelope
                && envelope.message() instanceof CoreMessage.ConfirmRequest) confirming = true;
          }
        };
    until(sim, () -> confirming);
    sim.observer = TrafficObserver.NONE;
  }

  private static void change(Simulation sim, String member) {
    Simulation.SentChange sent = sim.send(member, StateKeys.CONFIGURATION, -1);
    until(sim, () -> sent.answer()[0] != null);
  }

  private static void until(Simulation sim, BooleanSupplier holds) {
    long from = sim.nowMs();
    while (!holds.getAsBoolean()) {
      if (sim.nowMs() - from > LONGEST) throw new IllegalStateException(sim.eventLogText());
      sim.run(1);
    }
  }
}
