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
  public record Allotment(long at, boolean full, Map<String, Integer> milli) {}

  public final Leases leases;
  private final Clock clock;
  private final Function<String, Result<Configuration>> reader;
  private final ReplicatedStateView book;
  private final Consumer<ControlStateSnapshot> swapped;
  private final Map<String, Allotment> allotments = new ConcurrentHashMap<>();
  private volatile ControlStateSnapshot tables = ControlStateSnapshot.NONE;
  private volatile int relays;
  private volatile List<StateUpdate.QuotaDemand> demands = List.of();
  private volatile List<StateUpdate.ServiceCapacity> places = List.of();

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
    this.reader = reader;
    this.clock = clock;
    this.swapped = swapped;
    this.book = new ReplicatedStateView(self, run, this::take);
    this.leases = book.leases;
  }

  public ControlStateSnapshot tables() {
    return tables;
  }

  /** Where a relay puts what it has waiting and sees free, for whoever divides. */
  public void demand(List<StateUpdate.QuotaDemand> d, List<StateUpdate.ServiceCapacity> p) {
    demands = d;
    places = p;
  }

  /** The newest division for this process, or null. */
  public Allotment allotment(String service) {
    return allotments.get(service);
  }

  public StateUpdate.SubscriptionRequest ask() {
    return book.ask(clock.now(), demands, places);
  }

  public long number(String key) {
    return book.number(key);
  }

  /** How many relays the core hears, 0 where that isn't known. */
  public int relays() {
    return relays;
  }

  public ReplicatedStateView.Told told(StateUpdate update) {
    if (update instanceof StateUpdate.LeaseGrants g) relays = g.relayCount();
    ReplicatedStateView.Told t = book.told(update);
    if (t == ReplicatedStateView.Told.TAKEN) {
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
      swapped.accept(tables);
    } else if (t == ReplicatedStateView.Told.ALLOTTED) {
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
    return before.configuration(push.number(), push.digest(), configuration, sharingSince);
  }

  private boolean take(StateUpdate.ValuePush p) {
    String text = new String(p.value(), StandardCharsets.UTF_8);
    ControlStateSnapshot snapshot = tables;
    Result<ControlStateSnapshot> r =
        switch (p.key()) {
          case StateKeys.CONFIGURATION ->
              reader
                  .apply(text)
                  .flatMap(
                      configuration -> Result.good(withConfiguration(snapshot, p, configuration)));
          case StateKeys.WEIGHTS ->
              Weights.parse(text)
                  .flatMap(weights -> Result.good(snapshot.weights(p.number(), weights)));
          case StateKeys.REPLICAS ->
              Replicas.parse(text)
                  .flatMap(replicas -> Result.good(snapshot.replicas(p.number(), replicas)));
          case StateKeys.CORE ->
              CoreMemberList.parse(text).flatMap(x -> Result.good(snapshot.core(p.number(), x)));
          default -> Result.bad(p.key(), "is no key");
        };
    if (!(r instanceof Result.Good<ControlStateSnapshot> g)) {
      Log.warn("news-refused", "key", p.key(), "number", p.number(), "findings", r.toString());
      return false;
    }
    tables = g.value();
    return true;
  }
}
