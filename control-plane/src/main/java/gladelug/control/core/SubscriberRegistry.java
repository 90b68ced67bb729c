package gladelug.control.core;

import gladelug.common.message.BinaryDelta;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.RelayedStateUpdate;
import gladelug.control.core.register.VersionedValue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The data-plane processes that ask this member for control state: what each holds, the leases
 * granted to it, and the values pushed to it, directly or by way of another member. Only the core's
 * thread calls it; times are of the host's monotonic clock, in ms.
 */
final class SubscriberRegistry {
  /** The role of the processes that serve requests. */
  private static final String RELAY_ROLE = "relay";

  /** The way of a process that asks this member itself. */
  private static final String DIRECT = "";

  /** Says in a push that it is the value whole, not a change of an earlier number. */
  private static final int FULL_VALUE = -1;

  /** A relay that has not asked for this long gets no share: three asks missed. */
  private static final long RELAY_TIMEOUT_MS = 2400;

  /** For this long after a process asked directly, it is not answered by way of others. */
  private static final long DIRECT_PREFERRED_MS = 900;

  /** Between two counts of the relays. */
  private static final long RELAY_COUNT_INTERVAL_MS = 500;

  /** A relay is counted for this long after it asked last. */
  private static final long RELAY_COUNTED_FOR_MS = 4000;

  /** A process that has not asked for this long is forgotten. */
  private static final long SUBSCRIBER_EXPIRY_MS = 60_000;

  /** Unasked, the same value is not pushed whole to the same process again before this. */
  private static final long PUSH_INTERVAL_MS = 300;

  private static final int MAX_REMEMBERED_PUSHES = 4096;

  /** What the registry needs of the member it is part of. */
  interface Context {
    /** Whether the members are known here. */
    boolean isInitialized();

    /** The members of the generation. */
    MemberSet members();

    /** The owner of a key where this member serves it, else null. */
    KeyOwner servingOwner(String key);

    /** Sends to a member by name; may be lost. */
    void send(String member, CoreMessage message);

    /** A process was seen to hold this number of a key for the first time. */
    void onNumberSeen(String key, long number, String subscriber);
  }

  private final CoreHost host;
  private final Context context;
  private final Map<String, SubscriberStatus> subscribers = new LinkedHashMap<>();

  /** By process, key and number: when it was pushed last. */
  private final Map<String, Long> pushedAtMs = new HashMap<>();

  private int relayCount;
  private long relaysCountedAtMs = CoreHost.NEVER;

  SubscriberRegistry(CoreHost host, Context context) {
    this.host = host;
    this.context = context;
  }

  /** All processes that asked lately, in the order in which they asked first. */
  Collection<SubscriberStatus> all() {
    return subscribers.values();
  }

  /** The relays that ask, which share the capacity. */
  List<SubscriberStatus> activeRelays(long now) {
    List<SubscriberStatus> relays = new ArrayList<>();
    for (SubscriberStatus subscriber : subscribers.values())
      if (isRelay(subscriber) && now - subscriber.lastRequestAtMs() < RELAY_TIMEOUT_MS)
        relays.add(subscriber);
    return relays;
  }

  private static boolean isRelay(SubscriberStatus subscriber) {
    return subscriber.role().equals(RELAY_ROLE);
  }

  /** Forgets the processes that no longer ask. */
  void expire(long now) {
    subscribers
        .values()
        .removeIf(subscriber -> now - subscriber.lastRequestAtMs() > SUBSCRIBER_EXPIRY_MS);
  }

  /** To a process that is known, on the way it last asked by; directly where it did so lately. */
  void send(String subscriber, StateUpdate update) {
    send(subscribers.get(subscriber), update);
  }

  /** Sends a value as the process can read it. */
  private void push(SubscriberStatus subscriber, StateUpdate.ValuePush push) {
    send(subscriber, readsPrefixSharing(subscriber) ? push : push.withoutSharing());
  }

  private static boolean readsPrefixSharing(SubscriberStatus subscriber) {
    return subscriber.versions().stream()
        .anyMatch(version -> version.key().equals(StateKeys.READS_PREFIX_SHARING));
  }

  private void send(SubscriberStatus subscriber, StateUpdate update) {
    if (subscriber.relayedBy().isEmpty()) host.pushUpdate(subscriber.name(), update);
    else context.send(subscriber.relayedBy(), new RelayedStateUpdate(subscriber.name(), update));
  }

  /** A process asks this member itself. */
  void onRequest(StateUpdate.SubscriptionRequest request, long now) {
    onRelayedRequest(request, DIRECT, now);
  }

  /**
   * A process asks: grants leases of what this member owns, and pushes values newer than its own.
   *
   * @param relayedBy the member that passed the request on
   */
  void onRelayedRequest(StateUpdate.SubscriptionRequest request, String relayedBy, long now) {
    SubscriberStatus old = subscribers.get(request.name());
    if (!relayedBy.isEmpty()
        && old != null
        && old.relayedBy().isEmpty()
        && now - old.lastRequestAtMs() < DIRECT_PREFERRED_MS) return;
    SubscriberStatus subscriber = newStatus(request, old, relayedBy, now);
    subscribers.put(request.name(), subscriber);
    List<StateUpdate.LeaseGrant> grants = new ArrayList<>();
    for (StateUpdate.KnownVersion version : request.knownVersions()) {
      if (version.key().equals(StateKeys.CORE)) {
        pushMembers(subscriber, version);
        continue;
      }
      KeyOwner owner = context.servingOwner(version.key());
      if (owner == null) continue;
      String holder = request.name() + "#" + request.incarnation();
      StateUpdate.LeaseGrant grant =
          owner.onSubscription(holder, isRelay(subscriber), version, now);
      if (grant != null) grants.add(grant);
      else if (version.number() < owner.value().number())
        pushFullValue(subscriber, owner, now, false);
    }
    if (!grants.isEmpty())
      send(subscriber, new StateUpdate.LeaseGrants(request.sentAtMs(), grants, relayCount(now)));
  }

  /** What the request says, with the times since which the process holds its versions. */
  private SubscriberStatus newStatus(
      StateUpdate.SubscriptionRequest request, SubscriberStatus old, String relayedBy, long now) {
    Map<String, Long> versionSince = new HashMap<>();
    for (StateUpdate.KnownVersion version : request.knownVersions()) {
      boolean same =
          old != null
              && old.incarnation() == request.incarnation()
              && old.versions().stream()
                  .anyMatch(
                      other ->
                          other.key().equals(version.key()) && other.number() == version.number());
      if (!same && version.number() > 0)
        context.onNumberSeen(version.key(), version.number(), request.name());
      versionSince.put(
          version.key(), same ? old.versionSinceMs().getOrDefault(version.key(), now) : now);
    }
    return new SubscriberStatus(
        request.name(),
        request.incarnation(),
        request.role(),
        request.recordsAddress(),
        request.operatorAddress(),
        request.zone(),
        now,
        request.knownVersions(),
        versionSince,
        request.demands(),
        request.capacities(),
        relayedBy);
  }

  /** The members themselves, to a process that knows an earlier generation; no key's owner does. */
  private void pushMembers(SubscriberStatus subscriber, StateUpdate.KnownVersion version) {
    if (!context.isInitialized() || version.number() >= context.members().generation()) return;
    long generation = context.members().generation();
    send(
        subscriber,
        new StateUpdate.ValuePush(
            StateKeys.CORE,
            generation,
            generation,
            FULL_VALUE,
            "",
            context.members().toCoreMemberListJson()));
  }

  private int relayCount(long now) {
    if (now - relaysCountedAtMs > RELAY_COUNT_INTERVAL_MS) {
      relaysCountedAtMs = now;
      relayCount =
          (int)
              subscribers.values().stream()
                  .filter(
                      subscriber ->
                          isRelay(subscriber)
                              && now - subscriber.lastRequestAtMs() < RELAY_COUNTED_FOR_MS)
                  .count();
    }
    return relayCount;
  }

  /** A process couldn't use a change of a key and asks for the value whole. */
  void onFullValueRequested(String name, String key, long now) {
    KeyOwner owner = context.servingOwner(key);
    if (owner != null && subscribers.containsKey(name))
      pushFullValue(subscribers.get(name), owner, now, true);
  }

  private void pushFullValue(
      SubscriberStatus subscriber, KeyOwner owner, long now, boolean requested) {
    VersionedValue value = owner.value();
    String push = subscriber.name() + " " + owner.key + " " + value.number();
    Long last = pushedAtMs.get(push);
    if (!requested && last != null && now - last < PUSH_INTERVAL_MS) return;
    if (pushedAtMs.size() > MAX_REMEMBERED_PUSHES) pushedAtMs.clear();
    pushedAtMs.put(push, now);
    push(
        subscriber,
        new StateUpdate.ValuePush(
            owner.key,
            owner.epoch,
            value.number(),
            FULL_VALUE,
            value.digest(),
            value.body(),
            value.sharing().since()));
  }

  /** The change alone to those who hold the number before it, else the value whole. */
  void pushChange(String key, long epoch, VersionedValue before, VersionedValue after) {
    byte[] delta = BinaryDelta.between(before.body(), after.body());
    StateUpdate.ValuePush whole =
        new StateUpdate.ValuePush(
            key,
            epoch,
            after.number(),
            FULL_VALUE,
            after.digest(),
            after.body(),
            after.sharing().since());
    StateUpdate.ValuePush change =
        delta == null
            ? whole
            : new StateUpdate.ValuePush(
                key,
                epoch,
                after.number(),
                before.number(),
                after.digest(),
                delta,
                after.sharing().since());
    for (SubscriberStatus subscriber : subscribers.values()) {
      boolean holdsBefore =
          subscriber.versions().stream()
              .anyMatch(
                  version -> version.key().equals(key) && version.number() == before.number());
      pushedAtMs.put(subscriber.name() + " " + key + " " + after.number(), host.nowMs());
      push(subscriber, holdsBefore ? change : whole);
    }
  }
}
