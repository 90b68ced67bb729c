package gladelug.data.relay;

import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.state.StateSubscription;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A relay on simulated time that was told a configuration and replicas, with leases for long. */
final class SimulatedRelay {
  private static final int LEASE_MS = 3_600_000;

  private SimulatedRelay() {}

  static Relay started(
      SimulatedTime time,
      Configuration configuration,
      List<Replicas.Replica> replicas,
      RelaySettings settings,
      int relayCount) {
    Relay[] made = new Relay[1];
    StateSubscription state =
        new StateSubscription(
            time::nowMs,
            new Shuffle.Descriptor("r", "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
            1,
            snapshot -> made[0].applySnapshot(snapshot),
            text -> Result.good(configuration));
    made[0] =
        new Relay(
            time::nowMs,
            state,
            relay -> new Backends(time::nowMs, null, relay::admitWaiting),
            "z",
            settings,
            () -> relayCount);
    push(state, StateKeys.CONFIGURATION, "{}");
    push(state, StateKeys.WEIGHTS, "{}");
    push(state, StateKeys.REPLICAS, new Replicas(replicas).toJson());
    List<StateUpdate.LeaseGrant> grants = new ArrayList<>();
    for (String key : StateKeys.LEASED)
      grants.add(new StateUpdate.LeaseGrant(key, 1, state.number(key), LEASE_MS, LEASE_MS));
    state.apply(new StateUpdate.LeaseGrants(time.nowMs(), grants, 1));
    return made[0];
  }

  private static void push(StateSubscription state, String key, String value) {
    byte[] body = value.getBytes(StandardCharsets.UTF_8);
    state.apply(new StateUpdate.ValuePush(key, 1, 1, -1, "", body));
  }

  /** A replica's connection that nobody lets go of. */
  static final class IgnoringHandle implements Exchange.Handle {
    @Override
    public void reset() {}

    @Override
    public void pause() {}

    @Override
    public void resume() {}
  }
}
