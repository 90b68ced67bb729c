package gladelug.emulator.sim;

import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.state.ReplicatedStateView;
import java.util.HashMap;
import java.util.Map;

/**
 * One relay in the simulator: the product's NewsBook, asking every control machine it can reach,
 * and "starting a request" every few milliseconds wherever its leases let it. Each start is shown
 * to the invariants.
 */
final class SimRelay {
  final String name;
  private final Sim sim;
  private ReplicatedStateView book;
  boolean up;
  boolean paused;
  int life;
  double rate = 1;
  long starts;
  long refused;
  long lastStart = -1;
  long longestGap;
  final Map<String, String> digests = new HashMap<>();

  SimRelay(Sim sim, String name) {
    this.sim = sim;
    this.name = name;
  }

  void start() {
    up = true;
    paused = false;
    life++;
    book =
        new ReplicatedStateView(
            new Shuffle.Descriptor(name, "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
            life,
            p -> {
              sim.pushed(name, p);
              digests.put(p.key(), p.digest());
              return true;
            });
    ask(life);
    work(life);
  }

  void kill() {
    up = false;
    life++;
  }

  private long now() {
    return (long) (sim.now() * rate);
  }

  private void ask(int l) {
    if (l != life) return;
    if (!paused) askNow();
    sim.after(sim.askEach, () -> ask(l));
  }

  /** A new connection to a member stands. */
  void connected(String control) {
    if (!paused) sim.ask(name, control, book.subscriptionRequest(now()));
  }

  private void askNow() {
    StateUpdate.SubscriptionRequest a = book.subscriptionRequest(now());
    for (String c : sim.controlNames()) sim.ask(name, c, a);
  }

  private void work(int l) {
    if (l != life) return;
    if (!paused) {
      if (book.number(StateKeys.CONFIGURATION) > 0 && book.leases.isValid(now())) {
        starts++;
        if (lastStart >= 0) longestGap = Math.max(longestGap, sim.now() - lastStart);
        lastStart = sim.now();
        sim.started(this, book);
      } else refused++;
    }
    sim.after(7, () -> work(l));
  }

  void told(StateUpdate update) {
    if (!up || paused) return;
    long before =
        book.number(update instanceof StateUpdate.ValuePush p ? p.key() : StateKeys.CONFIGURATION);
    if (book.apply(update) == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
      sim.whole(name, ((StateUpdate.ValuePush) update).key());
    if (update instanceof StateUpdate.ValuePush p) {
      if (book.number(p.key()) < before)
        sim.violation(name + " went back from " + before + " to " + book.number(p.key()));
      askNow();
    }
  }

  long number(String key) {
    return book.number(key);
  }
}
