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
 * The data-plane processes that subscribe to control state at this member: the versions they hold,
 * the leases granted to them, and the values pushed to them, directly or relayed by another member.
 * Called on the core's thread only; times are of the host's monotonic clock, in ms.
 */
final class SubscriberRegistry {
  /** The role of the processes that serve requests. */
  private static final String RELAY_ROLE = "relay";

  /** Value of {@code relayedBy} for a process that sends its requests to this member directly. */
  private static final String DIRECT = "";

  /** Base number of a push that carries the full value instead of a delta. */
  private static final int FULL_VALUE = -1;

  /**
   * A relay that has not sent a request for this long gets no share of the capacity; it has then
   * missed three requests.
   */
  private static final long RELAY_TIMEOUT_MS = 2400;

  /** For this long after a direct request, relayed requests of the same process are ignored. */
  private static final long DIRECT_PREFERRED_MS = 900;

  /** Interval between two counts of the relays. */
  private static final long RELAY_COUNT_INTERVAL_MS = 500;

  /** A relay is counted for this long after its last request. */
  private static final long RELAY_COUNTED_FOR_MS = 4000;

  /** A process that has not sent a request for this long is removed. */
  private static final long SUBSCRIBER_EXPIRY_MS = 60_000;

  /** Minimum interval between two unrequested pushes of the same full value to the same process. */
  private static final long MIN_PUSH_INTERVAL_MS = 300;

  /** How many pushes are remembered; beyond that all are forgotten. */
  private static final int MAX_REMEMBERED_PUSHES = 4096;

  /** The services of the member that the registry uses. */
  interface Context {
    /** Returns whether this member knows the members of a generation. */
    boolean isInitialized();

    /** Returns the members of the generation. */
    MemberSet members();

    /** Returns the owner of a key if this member serves the key, else null. */
    KeyOwner servingOwner(String key);

    /** Sends to a member by name; may be lost. */
    void send(String member, CoreMessage message);

    /** Called when a process reports a version number of a key for the first time. */
    void onNumberSeen(String key, long number, String subscriber);
  }

  private final CoreHost host;
  private final Context context;
  private final Map<String, SubscriberStatus> subscribers = new LinkedHashMap<>();

  /** By process name, key and version number: when that value was last pushed. */
  private final Map<String, Long> pushedAtMs = new HashMap<>();

  /** The number of relays at the last count. */
  private int relayCount;

  private long relaysCountedAtMs = CoreHost.NEVER;

  SubscriberRegistry(CoreHost host, Context context) {
    this.host = host;
    this.context = context;
  }

  /** Returns all processes that recently sent requests, in the order of their first requests. */
  Collection<SubscriberStatus> all() {
    return subscribers.values();
  }

  /** Returns the active relays, among which the capacity is allocated. */
  List<SubscriberStatus> activeRelays(long nowMs) {
    List<SubscriberStatus> relays = new ArrayList<>();
    for (SubscriberStatus subscriber : subscribers.values())
      if (isRelay(subscriber) && nowMs - subscriber.lastRequestAtMs() < RELAY_TIMEOUT_MS)
        relays.add(subscriber);
    return relays;
  }

  private static boolean isRelay(SubscriberStatus subscriber) {
    return subscriber.role().equals(RELAY_ROLE);
  }

  /** Removes the processes that no longer send requests. */
  void expire(long nowMs) {
    subscribers
        .values()
        .removeIf(subscriber -> nowMs - subscriber.lastRequestAtMs() > SUBSCRIBER_EXPIRY_MS);
  }

  /**
   * Sends an update to a known process, directly or through the member that relayed its last
   * accepted request.
   */
  void send(String subscriber, StateUpdate update) {
    send(subscribers.get(subscriber), update);
  }

  /** Pushes a value, without the fields that the process cannot read. */
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

  /** Handles a request that a process sent to this member directly. */
  void onRequest(StateUpdate.SubscriptionRequest request, long nowMs) {
    onRelayedRequest(request, DIRECT, nowMs);
  }

  /**
   * Handles a request: grants leases on the keys that this member owns, and pushes values newer
   * than those the process holds.
   *
   * @param relayedBy the member that relayed the request; empty for a direct one
   */
  void onRelayedRequest(StateUpdate.SubscriptionRequest request, String relayedBy, long nowMs) {
    SubscriberStatus previous = subscribers.get(request.name());
    if (!relayedBy.isEmpty()
        && previous != null
        && previous.relayedBy().isEmpty()
        && nowMs - previous.lastRequestAtMs() < DIRECT_PREFERRED_MS) return;
    SubscriberStatus subscriber = newStatus(request, previous, relayedBy, nowMs);
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
          owner.onSubscription(holder, isRelay(subscriber), version, nowMs);
      if (grant != null) grants.add(grant);
      else if (version.number() < owner.value().number())
        pushFullValue(subscriber, owner, nowMs, false);
    }
    if (!grants.isEmpty())
      send(subscriber, new StateUpdate.LeaseGrants(request.sentAtMs(), grants, relayCount(nowMs)));
  }

  /**
   * Returns the status that the request reports, with the times since which the process holds its
   * versions.
   */
  private SubscriberStatus newStatus(
      StateUpdate.SubscriptionRequest request,
      SubscriberStatus previous,
      String relayedBy,
      long nowMs) {
    Map<String, Long> versionSinceMs = new HashMap<>();
    for (StateUpdate.KnownVersion version : request.knownVersions()) {
      boolean same =
          previous != null
              && previous.incarnation() == request.incarnation()
              && previous.versions().stream()
                  .anyMatch(
                      other ->
                          other.key().equals(version.key()) && other.number() == version.number());
      if (!same && version.number() > 0)
        context.onNumberSeen(version.key(), version.number(), request.name());
      versionSinceMs.put(
          version.key(),
          same ? previous.versionSinceMs().getOrDefault(version.key(), nowMs) : nowMs);
    }
    return new SubscriberStatus(
        request.name(),
        request.incarnation(),
        request.role(),
        request.recordsAddress(),
        request.operatorAddress(),
        request.zone(),
        nowMs,
        request.knownVersions(),
        versionSinceMs,
        request.demands(),
        request.capacities(),
        relayedBy);
  }

  /**
   * Pushes the members to a process that knows an earlier generation. Every member does so, whether
   * or not it owns the key core.
   */
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

  private int relayCount(long nowMs) {
    if (nowMs - relaysCountedAtMs > RELAY_COUNT_INTERVAL_MS) {
      relaysCountedAtMs = nowMs;
      relayCount =
          (int)
              subscribers.values().stream()
                  .filter(
                      subscriber ->
                          isRelay(subscriber)
                              && nowMs - subscriber.lastRequestAtMs() < RELAY_COUNTED_FOR_MS)
                  .count();
    }
    return relayCount;
  }

  /** Pushes the full value to a process that could not apply a delta of a key. */
  void onFullValueRequested(String name, String key, long nowMs) {
    KeyOwner owner = context.servingOwner(key);
    if (owner != null && subscribers.containsKey(name))
      pushFullValue(subscribers.get(name), owner, nowMs, true);
  }

  private void pushFullValue(
      SubscriberStatus subscriber, KeyOwner owner, long nowMs, boolean requested) {
    VersionedValue value = owner.value();
    String pushKey = subscriber.name() + " " + owner.key + " " + value.number();
    Long lastPushAtMs = pushedAtMs.get(pushKey);
    if (!requested && lastPushAtMs != null && nowMs - lastPushAtMs < MIN_PUSH_INTERVAL_MS) return;
    if (pushedAtMs.size() > MAX_REMEMBERED_PUSHES) pushedAtMs.clear();
    pushedAtMs.put(pushKey, nowMs);
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

  /**
   * Pushes a new value: a delta to the processes that hold the previous number, else the full
   * value.
   */
  void pushChange(String key, long epoch, VersionedValue previous, VersionedValue value) {
    byte[] delta = BinaryDelta.between(previous.body(), value.body());
    StateUpdate.ValuePush whole =
        new StateUpdate.ValuePush(
            key,
            epoch,
            value.number(),
            FULL_VALUE,
            value.digest(),
            value.body(),
            value.sharing().since());
    StateUpdate.ValuePush change =
        delta == null
            ? whole
            : new StateUpdate.ValuePush(
                key,
                epoch,
                value.number(),
                previous.number(),
                value.digest(),
                delta,
                value.sharing().since());
    for (SubscriberStatus subscriber : subscribers.values()) {
      boolean holdsPrevious =
          subscriber.versions().stream()
              .anyMatch(
                  version -> version.key().equals(key) && version.number() == previous.number());
      pushedAtMs.put(subscriber.name() + " " + key + " " + value.number(), host.nowMs());
      push(subscriber, holdsPrevious ? change : whole);
    }
  }
}
