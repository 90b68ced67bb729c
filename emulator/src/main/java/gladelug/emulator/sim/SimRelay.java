package gladelug.emulator.sim;

import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.state.ReplicatedStateView;
import java.util.HashMap;
import java.util.Map;

/**
 * One simulated relay: the production ReplicatedStateView, subscribed at every control machine it
 * can reach. It starts a request every few milliseconds while its leases are valid; each start is
 * checked against the invariants.
 */
final class SimRelay {
  final String name;
  private final Simulation sim;
  private ReplicatedStateView stateView;
  boolean up;
  boolean paused;
  int processNumber;
  double clockRate = 1;
  long startCount;
  long refusedCount;
  long lastStartMs = -1;
  long longestGapMs;
  final Map<String, String> digests = new HashMap<>();

  SimRelay(Simulation sim, String name) {
    this.sim = sim;
    this.name = name;
  }

  void start() {
    up = true;
    paused = false;
    processNumber++;
    stateView =
        new ReplicatedStateView(
            new Shuffle.Descriptor(name, "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
            processNumber,
            push -> {
              sim.onValuePushed(name, push);
              digests.put(push.key(), push.digest());
              return true;
            });
    subscribeRegularly(processNumber);
    startRequests(processNumber);
  }

  void kill() {
    up = false;
    processNumber++;
  }

  private long nowMs() {
    return (long) (sim.nowMs() * clockRate);
  }

  private void subscribeRegularly(int ownProcess) {
    if (ownProcess != processNumber) return;
    if (!paused) subscribe();
    sim.after(sim.subscriptionIntervalMs, () -> subscribeRegularly(ownProcess));
  }

  /** Called when a new connection to a member has been established. */
  void onConnected(String control) {
    if (!paused) sim.sendSubscriptionRequest(name, control, stateView.subscriptionRequest(nowMs()));
  }

  private void subscribe() {
    StateUpdate.SubscriptionRequest subscriptionRequest = stateView.subscriptionRequest(nowMs());
    for (String control : sim.controlNames())
      sim.sendSubscriptionRequest(name, control, subscriptionRequest);
  }

  private void startRequests(int ownProcess) {
    if (ownProcess != processNumber) return;
    if (!paused) {
      if (stateView.number(StateKeys.CONFIGURATION) > 0 && stateView.leases.isValid(nowMs())) {
        startCount++;
        if (lastStartMs >= 0) longestGapMs = Math.max(longestGapMs, sim.nowMs() - lastStartMs);
        lastStartMs = sim.nowMs();
        sim.onRequestStarted(this, stateView);
      } else refusedCount++;
    }
    sim.after(7, () -> startRequests(ownProcess));
  }

  void onUpdate(StateUpdate update) {
    if (!up || paused) return;
    long numberBefore =
        stateView.number(
            update instanceof StateUpdate.ValuePush push ? push.key() : StateKeys.CONFIGURATION);
    if (stateView.apply(update) == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
      sim.requestFullValue(name, ((StateUpdate.ValuePush) update).key());
    if (update instanceof StateUpdate.ValuePush push) {
      if (stateView.number(push.key()) < numberBefore)
        sim.violation(
            name + " regressed from " + numberBefore + " to " + stateView.number(push.key()));
      subscribe();
    }
  }

  long versionOf(String key) {
    return stateView.number(key);
  }
}
