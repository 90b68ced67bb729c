package gladelug.data.state;

import gladelug.common.Digest;
import gladelug.common.message.BinaryDelta;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A data-plane process's side of a subscription, without I/O: which number it has of each key,
 * under which leases, what it requests and what it accepts. A lower number is never accepted,
 * nothing under an epoch below the highest seen, and a delta only on exactly the number it is based
 * on and only if the result has the digest that came with it.
 */
public final class ReplicatedStateView {
  /** Makes use of a push, always whole; false where it can't be read. */
  public interface ValueConsumer {
    boolean acceptValue(StateUpdate.ValuePush p);
  }

  public enum UpdateResult {
    IGNORED,
    APPLIED,
    CAPACITY_GRANTED,
    NEEDS_FULL_VALUE
  }

  private static final List<StateUpdate.QuotaDemand> NO_DEMAND = List.of();
  private static final StateUpdate.KnownVersion READS_PREFIX_SHARING =
      new StateUpdate.KnownVersion(StateKeys.READS_PREFIX_SHARING, 0, 0);
  public final Leases leases = new Leases();
  private final Shuffle.Descriptor self;
  private final long processRun;
  private final ValueConsumer valueConsumer;
  private final Map<String, Long> numbers = new HashMap<>();
  private final Map<String, byte[]> values = new HashMap<>();
  private long capacityEpoch;

  public ReplicatedStateView(Shuffle.Descriptor self, long run, ValueConsumer taker) {
    this.self = self;
    this.processRun = run;
    this.valueConsumer = taker;
  }

  public long number(String key) {
    return numbers.getOrDefault(key, 0L);
  }

  public StateUpdate.SubscriptionRequest subscriptionRequest(long now) {
    return subscriptionRequest(now, NO_DEMAND, List.of());
  }

  public StateUpdate.SubscriptionRequest subscriptionRequest(
      long now, List<StateUpdate.QuotaDemand> demands, List<StateUpdate.ServiceCapacity> places) {
    List<StateUpdate.KnownVersion> l = new ArrayList<>();
    for (String k : StateKeys.PUSHED)
      l.add(new StateUpdate.KnownVersion(k, leases.epoch(k), number(k)));
    l.add(READS_PREFIX_SHARING);
    return new StateUpdate.SubscriptionRequest(
        now,
        self.name(),
        processRun,
        self.role(),
        self.recordsAddress(),
        self.operatorAddress(),
        self.zone(),
        l,
        demands,
        places);
  }

  public UpdateResult apply(StateUpdate update) {
    if (update instanceof StateUpdate.LeaseGrants g) {
      for (StateUpdate.LeaseGrant x : g.grants())
        leases.applyGrant(x, g.requestSentAtMs(), number(x.key()));
    } else if (update instanceof StateUpdate.CapacityGrant a) {
      if (a.epoch() < capacityEpoch) return UpdateResult.IGNORED;
      capacityEpoch = a.epoch();
      return UpdateResult.CAPACITY_GRANTED;
    } else if (update instanceof StateUpdate.ValuePush p
        && p.number() > number(p.key())
        && p.epoch() >= leases.epoch(p.key())) {
      byte[] v = p.value();
      if (p.baseNumber() >= 0) {
        v =
            p.baseNumber() == number(p.key())
                ? BinaryDelta.apply(values.getOrDefault(p.key(), new byte[0]), p.value())
                : null;
        if (v == null || !Digest.hex(v).equals(p.digest())) return UpdateResult.NEEDS_FULL_VALUE;
      }
      if (!valueConsumer.acceptValue(
          new StateUpdate.ValuePush(
              p.key(), p.epoch(), p.number(), -1, p.digest(), v, p.sharingSince())))
        return UpdateResult.IGNORED;
      numbers.put(p.key(), p.number());
      values.put(p.key(), v);
      leases.recordEpoch(p.key(), p.epoch());
      return UpdateResult.APPLIED;
    }
    return UpdateResult.IGNORED;
  }
}
