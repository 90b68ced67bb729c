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
 * The control state of a data-plane process: its view of version numbers and leases, the snapshot
 * built from it, and the newest capacity allocation. Has no connections and no timers of its own;
 * the subscription service or the simulator feeds it. Written on one thread, readable from any.
 */
public final class StateSubscription {
  /**
   * The capacity of a service allocated to this process. milliSlotsByLeaf holds thousandths of a
   * slot by quota leaf; it is empty, and full is false, if nothing is limited.
   */
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

  /** Creates a subscription; snapshotListener receives each new snapshot. */
  public StateSubscription(
      Clock clock,
      Shuffle.Descriptor self,
      long processRun,
      Consumer<ControlStateSnapshot> snapshotListener) {
    this(clock, self, processRun, snapshotListener, Configuration::parse);
  }

  /**
   * Creates a subscription; configurationParser parses the configuration text as operators sent it.
   */
  public StateSubscription(
      Clock clock,
      Shuffle.Descriptor self,
      long processRun,
      Consumer<ControlStateSnapshot> snapshotListener,
      Function<String, Result<Configuration>> configurationParser) {
    this.configurationParser = configurationParser;
    this.clock = clock;
    this.snapshotListener = snapshotListener;
    this.view = new ReplicatedStateView(self, processRun, this::applyValue);
    this.leases = view.leases;
  }

  /** Returns the current snapshot. */
  public ControlStateSnapshot snapshot() {
    return current;
  }

  /** Sets a relay's queued demand and free capacity, sent to the core that allocates capacity. */
  public void reportDemand(
      List<StateUpdate.QuotaDemand> newDemands, List<StateUpdate.ServiceCapacity> newCapacities) {
    demands = newDemands;
    serviceCapacities = newCapacities;
  }

  /** Returns the newest capacity allocation of a service for this process, or null. */
  public Allotment allotment(String service) {
    return allotments.get(service);
  }

  /** Returns a subscription request for the current state. */
  public StateUpdate.SubscriptionRequest subscriptionRequest() {
    return view.subscriptionRequest(clock.now(), demands, serviceCapacities);
  }

  public long number(String key) {
    return view.number(key);
  }

  /** Returns the number of relays that the core hears; 0 if not known. */
  public int relayCount() {
    return relayCount;
  }

  /** Applies an update from the core, and notifies the listener if the snapshot changed. */
  public ReplicatedStateView.UpdateResult apply(StateUpdate update) {
    if (update instanceof StateUpdate.LeaseGrants grants) relayCount = grants.relayCount();
    ReplicatedStateView.UpdateResult result = view.apply(update);
    if (result == ReplicatedStateView.UpdateResult.APPLIED) {
      StateUpdate.ValuePush push = (StateUpdate.ValuePush) update;
      Log.event(
          "state-update-applied",
          "key",
          push.key(),
          "number",
          push.number(),
          "epoch",
          push.epoch(),
          "bytes",
          push.value().length,
          "whole",
          push.baseNumber() < 0);
      snapshotListener.accept(current);
    } else if (result == ReplicatedStateView.UpdateResult.CAPACITY_GRANTED) {
      StateUpdate.CapacityGrant grant = (StateUpdate.CapacityGrant) update;
      Map<String, Integer> milliSlotsByLeaf = new HashMap<>();
      for (StateUpdate.QuotaAllotment allotment : grant.allotments())
        milliSlotsByLeaf.put(allotment.leaf(), allotment.milliSlots());
      allotments.put(
          grant.service(), new Allotment(clock.now(), grant.limited(), milliSlotsByLeaf));
    }
    return result;
  }

  private static ControlStateSnapshot withConfiguration(
      ControlStateSnapshot before, StateUpdate.ValuePush push, Configuration configuration) {
    long sharingSince =
        PrefixSharing.effectiveSince(push.sharingSince(), configuration, push.number());
    return before.withConfiguration(push.number(), push.digest(), configuration, sharingSince);
  }

  private boolean applyValue(StateUpdate.ValuePush push) {
    String text = new String(push.value(), StandardCharsets.UTF_8);
    ControlStateSnapshot snapshot = current;
    Result<ControlStateSnapshot> result =
        switch (push.key()) {
          case StateKeys.CONFIGURATION ->
              configurationParser
                  .apply(text)
                  .flatMap(
                      configuration ->
                          Result.good(withConfiguration(snapshot, push, configuration)));
          case StateKeys.WEIGHTS ->
              Weights.parse(text)
                  .flatMap(weights -> Result.good(snapshot.withWeights(push.number(), weights)));
          case StateKeys.REPLICAS ->
              Replicas.parse(text)
                  .flatMap(replicas -> Result.good(snapshot.withReplicas(push.number(), replicas)));
          case StateKeys.CORE ->
              CoreMemberList.parse(text)
                  .flatMap(core -> Result.good(snapshot.withCore(push.number(), core)));
          default -> Result.bad(push.key(), "is not a known key");
        };
    if (!(result instanceof Result.Good<ControlStateSnapshot> parsed)) {
      Log.warn(
          "news-refused",
          "key",
          push.key(),
          "number",
          push.number(),
          "findings",
          result.toString());
      return false;
    }
    current = parsed.value();
    return true;
  }
}
