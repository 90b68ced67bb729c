package gladelug.data.state;

import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.CoreMemberList;
import gladelug.common.configuration.PrefixSharing;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Weights;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * What a data-plane process has of the control state: its view of numbers and leases, the snapshot
 * made of it, and the newest capacity allocation. No connections and no clock of its own: the
 * subscription service feeds it, and so does the simulator. Written on one thread, read on any.
 */
public final class StateSubscription {
  /** milli: thousandths of a place by leaf; empty and not full where nothing is bounded. */
  public record Allotment(long receivedAtMs, boolean full, Map<String, Integer> milliSlotsByLeaf) {}

  public final Leases leases;
  private final Clock clock;
  private final Function<String, Result<Configuration>> configurationParser;
  private final ReplicatedStateView view;
  private final Consumer<ControlStateSnapshot> snapshotListener;
  private final Map<String, Allotment> allotments = new ConcurrentHashMap<>();
  private volatile ControlStateSnapshot current = ControlStateSnapshot.NONE;
  private volatile int relayCount;
  private volatile List<StateUpdate.QuotaDemand> demands = List.of();
  private volatile List<StateUpdate.ServiceCapacity> serviceCapacities = List.of();

  /** swapped is told of each new snapshot. */
  public StateSubscription(
      Clock clock, Shuffle.Descriptor self, long run, Consumer<ControlStateSnapshot> swapped) {
    this(clock, self, run, swapped, Configuration::parse);
  }

  /** reader: how the configuration, as operators sent it, is read. */
  public StateSubscription(
      Clock clock,
      Shuffle.Descriptor self,
      long run,
      Consumer<ControlStateSnapshot> swapped,
      Function<String, Result<Configuration>> reader) {
    this.configurationParser = reader;
    this.clock = clock;
    this.snapshotListener = swapped;
    this.view = new ReplicatedStateView(self, run, this::applyValue);
    this.leases = view.leases;
  }

  public ControlStateSnapshot snapshot() {
    return current;
  }

  /** Where a relay puts what it has waiting and sees free, for whoever divides. */
  public void reportDemand(List<StateUpdate.QuotaDemand> d, List<StateUpdate.ServiceCapacity> p) {
    demands = d;
    serviceCapacities = p;
  }

  /** The newest division for this process, or null. */
  public Allotment allotment(String service) {
    return allotments.get(service);
  }

  public StateUpdate.SubscriptionRequest subscriptionRequest() {
    return view.subscriptionRequest(clock.now(), demands, serviceCapacities);
  }

  public long number(String key) {
    return view.number(key);
  }

  /** How many relays the core hears, 0 where that isn't known. */
  public int relayCount() {
    return relayCount;
  }

  public ReplicatedStateView.UpdateResult apply(StateUpdate update) {
    if (update instanceof StateUpdate.LeaseGrants g) relayCount = g.relayCount();
    ReplicatedStateView.UpdateResult t = view.apply(update);
    if (t == ReplicatedStateView.UpdateResult.APPLIED) {
      StateUpdate.ValuePush p = (StateUpdate.ValuePush) update;
      Log.event(
          "state-update-applied",
          "key",
          p.key(),
          "number",
          p.number(),
          "epoch",
          p.epoch(),
          "bytes",
          p.value().length,
          "whole",
          p.baseNumber() < 0);
      snapshotListener.accept(current);
    } else if (t == ReplicatedStateView.UpdateResult.CAPACITY_GRANTED) {
      StateUpdate.CapacityGrant a = (StateUpdate.CapacityGrant) update;
      Map<String, Integer> m = new HashMap<>();
      for (StateUpdate.QuotaAllotment x : a.allotments()) m.put(x.leaf(), x.milliSlots());
      allotments.put(a.service(), new Allotment(clock.now(), a.limited(), m));
    }
    return t;
  }

  private static ControlStateSnapshot withConfiguration(
      ControlStateSnapshot before, StateUpdate.ValuePush push, Configuration configuration) {
    long sharingSince =
        PrefixSharing.effectiveSince(push.sharingSince(), configuration, push.number());
    return before.withConfiguration(push.number(), push.digest(), configuration, sharingSince);
  }

  private boolean applyValue(StateUpdate.ValuePush p) {
    String text = new String(p.value(), StandardCharsets.UTF_8);
    ControlStateSnapshot snapshot = current;
    Result<ControlStateSnapshot> r =
        switch (p.key()) {
          case StateKeys.CONFIGURATION ->
              configurationParser
                  .apply(text)
                  .flatMap(
                      configuration -> Result.good(withConfiguration(snapshot, p, configuration)));
          case StateKeys.WEIGHTS ->
              Weights.parse(text)
                  .flatMap(weights -> Result.good(snapshot.withWeights(p.number(), weights)));
          case StateKeys.REPLICAS ->
              Replicas.parse(text)
                  .flatMap(replicas -> Result.good(snapshot.withReplicas(p.number(), replicas)));
          case StateKeys.CORE ->
              CoreMemberList.parse(text)
                  .flatMap(x -> Result.good(snapshot.withCore(p.number(), x)));
          default -> Result.bad(p.key(), "is no key");
        };
    if (!(r instanceof Result.Good<ControlStateSnapshot> g)) {
      Log.warn("news-refused", "key", p.key(), "number", p.number(), "findings", r.toString());
      return false;
    }
    current = g.value();
    return true;
  }
}
