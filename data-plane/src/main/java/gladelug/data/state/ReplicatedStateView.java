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
  public interface Taker {
    boolean take(StateUpdate.ValuePush p);
  }

  public enum Told {
    NOTHING,
    TAKEN,
    ALLOTTED,
    WANTS_WHOLE
  }

  private static final List<StateUpdate.QuotaDemand> NO_DEMAND = List.of();
  private static final StateUpdate.KnownVersion READS_PREFIX_SHARING =
      new StateUpdate.KnownVersion(StateKeys.READS_PREFIX_SHARING, 0, 0);
  public final Leases leases = new Leases();
  private final Shuffle.Descriptor self;
  private final long run;
  private final Taker taker;
  private final Map<String, Long> numbers = new HashMap<>();
  private final Map<String, byte[]> values = new HashMap<>();
  private long allotEpoch;

  public ReplicatedStateView(Shuffle.Descriptor self, long run, Taker taker) {
    this.self = self;
    this.run = run;
    this.taker = taker;
  }

  public long number(String key) {
    return numbers.getOrDefault(key, 0L);
  }

  public StateUpdate.SubscriptionRequest ask(long now) {
    return ask(now, NO_DEMAND, List.of());
  }

  public StateUpdate.SubscriptionRequest ask(
      long now, List<StateUpdate.QuotaDemand> demands, List<StateUpdate.ServiceCapacity> places) {
    List<StateUpdate.KnownVersion> l = new ArrayList<>();
    for (String k : StateKeys.PUSHED)
      l.add(new StateUpdate.KnownVersion(k, leases.epoch(k), number(k)));
    l.add(READS_PREFIX_SHARING);
    return new StateUpdate.SubscriptionRequest(
        now,
        self.name(),
        run,
        self.role(),
        self.recordsAddress(),
        self.operatorAddress(),
        self.zone(),
        l,
        demands,
        places);
  }

  public Told told(StateUpdate update) {
    if (update instanceof StateUpdate.LeaseGrants g) {
      for (StateUpdate.LeaseGrant x : g.grants())
        leases.granted(x, g.requestSentAtMs(), number(x.key()));
    } else if (update instanceof StateUpdate.CapacityGrant a) {
      if (a.epoch() < allotEpoch) return Told.NOTHING;
      allotEpoch = a.epoch();
      return Told.ALLOTTED;
    } else if (update instanceof StateUpdate.ValuePush p
        && p.number() > number(p.key())
        && p.epoch() >= leases.epoch(p.key())) {
      byte[] v = p.value();
      if (p.baseNumber() >= 0) {
        v =
            p.baseNumber() == number(p.key())
                ? BinaryDelta.apply(values.getOrDefault(p.key(), new byte[0]), p.value())
                : null;
        if (v == null || !Digest.hex(v).equals(p.digest())) return Told.WANTS_WHOLE;
      }
      if (!taker.take(
          new StateUpdate.ValuePush(
              p.key(), p.epoch(), p.number(), -1, p.digest(), v, p.sharingSince())))
        return Told.NOTHING;
      numbers.put(p.key(), p.number());
      values.put(p.key(), v);
      leases.seen(p.key(), p.epoch());
      return Told.TAKEN;
    }
    return Told.NOTHING;
  }
}
