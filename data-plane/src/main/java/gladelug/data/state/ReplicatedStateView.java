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
 * The state of a data-plane process's subscription, without I/O: the version number of each key,
 * its leases, what it requests and what it accepts. A lower number is never accepted, nothing under
 * an epoch below the highest seen, and a delta only on exactly the number it is based on and only
 * if the result has the digest sent with it.
 */
public final class ReplicatedStateView {
  /** Receives pushed values, always in full; returns false if a value cannot be parsed. */
  public interface ValueConsumer {
    /** Takes over a pushed value; returns false, without any change, if it cannot be parsed. */
    boolean take(StateUpdate.ValuePush push);
  }

  /** The effect of an update. */
  public enum UpdateResult {
    /** Nothing changed. */
    IGNORED,
    /** A new value was accepted. */
    APPLIED,
    /** A new capacity allocation was accepted. */
    CAPACITY_GRANTED,
    /** A delta could not be applied; the full value must be requested. */
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

  public ReplicatedStateView(
      Shuffle.Descriptor self, long processRun, ValueConsumer valueConsumer) {
    this.self = self;
    this.processRun = processRun;
    this.valueConsumer = valueConsumer;
  }

  /** Returns the version number held of a key; 0 for none. */
  public long number(String key) {
    return numbers.getOrDefault(key, 0L);
  }

  /** Returns a subscription request without demand. */
  public StateUpdate.SubscriptionRequest subscriptionRequest(long nowMs) {
    return subscriptionRequest(nowMs, NO_DEMAND, List.of());
  }

  /**
   * Returns a subscription request with the versions held, the queued demand and the free capacity.
   */
  public StateUpdate.SubscriptionRequest subscriptionRequest(
      long nowMs,
      List<StateUpdate.QuotaDemand> demands,
      List<StateUpdate.ServiceCapacity> serviceCapacities) {
    List<StateUpdate.KnownVersion> knownVersions = new ArrayList<>();
    for (String key : StateKeys.PUSHED)
      knownVersions.add(new StateUpdate.KnownVersion(key, leases.epoch(key), number(key)));
    knownVersions.add(READS_PREFIX_SHARING);
    return new StateUpdate.SubscriptionRequest(
        nowMs,
        self.name(),
        processRun,
        self.role(),
        self.recordsAddress(),
        self.operatorAddress(),
        self.zone(),
        knownVersions,
        demands,
        serviceCapacities);
  }

  /** Applies an update from the core. */
  public UpdateResult apply(StateUpdate update) {
    if (update instanceof StateUpdate.LeaseGrants grants) {
      for (StateUpdate.LeaseGrant grant : grants.grants())
        leases.applyGrant(grant, grants.requestSentAtMs(), number(grant.key()));
    } else if (update instanceof StateUpdate.CapacityGrant capacity) {
      if (capacity.epoch() < capacityEpoch) return UpdateResult.IGNORED;
      capacityEpoch = capacity.epoch();
      return UpdateResult.CAPACITY_GRANTED;
    } else if (update instanceof StateUpdate.ValuePush push
        && push.number() > number(push.key())
        && push.epoch() >= leases.epoch(push.key())) {
      byte[] value = push.value();
      if (push.baseNumber() >= 0) {
        value =
            push.baseNumber() == number(push.key())
                ? BinaryDelta.apply(values.getOrDefault(push.key(), new byte[0]), push.value())
                : null;
        if (value == null || !Digest.hex(value).equals(push.digest()))
          return UpdateResult.NEEDS_FULL_VALUE;
      }
      if (!valueConsumer.take(
          new StateUpdate.ValuePush(
              push.key(),
              push.epoch(),
              push.number(),
              -1,
              push.digest(),
              value,
              push.sharingSince()))) return UpdateResult.IGNORED;
      numbers.put(push.key(), push.number());
      values.put(push.key(), value);
      leases.recordEpoch(push.key(), push.epoch());
      return UpdateResult.APPLIED;
    }
    return UpdateResult.IGNORED;
  }
}
