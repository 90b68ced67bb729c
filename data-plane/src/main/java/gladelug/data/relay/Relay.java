package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.configuration.Weights;
import gladelug.common.message.Lookup;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.index.Holders;
import gladelug.data.index.RecentPlacements;
import gladelug.data.request.Decision;
import gladelug.data.request.FilterChain;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestState;
import gladelug.data.state.ControlStateSnapshot;
import gladelug.data.state.StateSubscription;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;

/**
 * The state shared by the filters of one relay: snapshot and leases, replicas, queues, retry
 * budget, and running requests. Everything runs on the request thread, one event loop; input from
 * other threads (a new snapshot, the answer to a lookup) is posted to it.
 */
public final class Relay {
  /**
   * How long streams may continue after the lease for configuration or replicas has expired, in ms.
   * After that the relay cannot know whether a key is still valid.
   */
  public static final long STREAM_GRACE_MS = 2000;

  static final String EXPIRED_BEFORE_SEND =
      "the deadline passed before the request was sent to a replica";

  private static final String EXPIRED_IN_QUEUE = "no slot became free in time to meet the deadline";

  /** Maximum age of the fleet's division of slots, in ms. */
  private static final long ALLOTMENT_MAX_AGE_MS = 2000;

  /** Time between ticks above which this process counts as stalled, in ms. */
  private static final long STALL_THRESHOLD_MS = 500;

  /**
   * Time after a replica's turn in a rollout from which on it may be asked for the new weights, in
   * ms.
   */
  private static final long WEIGHT_LOAD_MS = 1200;

  /** Time before a replica's turn in a rollout from which on it is avoided, in ms. */
  private static final long ROLLOUT_LEAD_MS = 400;

  public final Clock clock;
  public final StateSubscription subscription;
  public final Backends backends;
  public final RetryBudget retryBudget;
  public final String zone;
  public final RetryAdvice retryAdvice = new RetryAdvice(this);
  public final StateFreshness freshness;
  public RelaySettings settings;
  private final Map<String, WaitQueue> queues = new HashMap<>();

  /** Admitted requests that have no replica yet, by service. */
  private final Map<String, Integer> admittedByService = new HashMap<>();

  private final Map<Long, Request> liveRequests = new LinkedHashMap<>();
  private ControlStateSnapshot appliedSnapshot = ControlStateSnapshot.NONE;
  private UrgencyLevels urgencyLevels = new UrgencyLevels(Configuration.EMPTY);
  public final IntSupplier relayCount;
  public final RecentPlacements placements = new RecentPlacements();
  final PrefixStores stores;
  final ReuseShare reuseShare = new ReuseShare();
  final WorkEstimates estimates;
  private double evictedShare;
  private long lastTickMs;

  /** End of this process's last stall. */
  private long awakeSinceMs;

  private boolean admitting;
  private boolean admitAgain;

  /** Whether the relay is shutting down. Requests that end in time are still accepted. */
  public boolean draining;

  /** When the requests still running during shutdown are cut off, on this relay's clock. */
  private long drainDeadlineMs = Long.MAX_VALUE;

  /** Receives the decision records of ended requests. */
  public Consumer<Decision> decisionSink = decision -> {};

  public Relay(
      Clock clock,
      StateSubscription subscription,
      Function<Relay, Backends> backends,
      String zone,
      RelaySettings settings,
      IntSupplier relayCount) {
    this.relayCount = relayCount;
    this.stores = new PrefixStores(relayCount);
    this.settings = settings;
    this.retryBudget = new RetryBudget(() -> this.settings, relayCount);
    this.lastTickMs = clock.now();
    this.awakeSinceMs = lastTickMs;
    this.clock = clock;
    this.subscription = subscription;
    this.freshness = new StateFreshness(subscription.leases, lastTickMs);
    this.zone = zone;
    this.backends = backends.apply(this);
    this.estimates = new WorkEstimates(this.backends, reuseShare);
  }

  public ControlStateSnapshot snapshot() {
    return subscription.snapshot();
  }

  /** Returns the reason why no requests may start now, or an empty string if they may. */
  public String unreadyReason() {
    ControlStateSnapshot snapshot = snapshot();
    if (snapshot.configurationNumber() == 0) return "no configuration received yet";
    if (snapshot.replicasNumber() == 0) return "no replica list received yet";
    if (!freshness.mayStartRequests(settings, clock.now())) return "no licence";
    return "";
  }

  /** Returns the scope in which a request of this tenant may use cached prefixes now. */
  String cacheScope(Request request, Configuration.Tenant tenant, ControlStateSnapshot snapshot) {
    return freshness.cacheScope(
        request, tenant, snapshot.prefixSharingSince(), settings, clock.now());
  }

  /**
   * Marks the relay as shutting down. Requests still running at the deadline (on this relay's
   * clock) are cut off.
   */
  public void startDraining(long deadlineMs) {
    draining = true;
    drainDeadlineMs = deadlineMs;
  }

  /**
   * Returns the refusal of a request that may outlive this relay and of which no piece has been
   * passed on, or null. The deadline of the request decides, as it is the only certain end.
   */
  FilterResult refusalIfOutlivesRelay(Request request) {
    return request.deadlineMs > drainDeadlineMs
        ? FilterResult.notRun(
            503, "this relay stops before the request's deadline", FilterResult.RETRY_AT_ONCE_MS)
        : null;
  }

  /** Returns the refusal of a request for whose model no weights are named. */
  FilterResult refusalForMissingWeights(Request request) {
    return FilterResult.notRun(
        503, "no weights are named for model " + request.model, retryAdvice.msUntilState());
  }

  /**
   * Returns the weights on which requests for a model may run now: the newest and, until the
   * cutoff, the previous ones; null if there are none. Unless weights have to be named first, the
   * weights reported by replicas count until some are named.
   */
  public String[] allowedWeights(String model) {
    Weights.Assignment named = snapshot().weights().of(model);
    if (named == null)
      return settings.allowsUnnamedWeights()
          ? new String[] {backends.newestWeights(model), ""}
          : null;
    String before =
        named.previous().isEmpty() && settings.allowsUnnamedWeights()
            ? backends.newestWeightsBefore(model, named.current())
            : named.previous();
    return new String[] {
      named.current(), clock.now() < subscription.leases.cutoffAtMs() ? before : ""
    };
  }

  /** Returns whether a request may start on these weights now. */
  public boolean mayRun(String model, String weights) {
    return mayRun(allowedWeights(model), weights);
  }

  /**
   * Like {@link #mayRun(String, String)}, with the result of {@link #allowedWeights}, which may be
   * null.
   */
  static boolean mayRun(String[] allowedWeights, String weights) {
    return allowedWeights != null
        && !weights.isEmpty()
        && (weights.equals(allowedWeights[0]) || weights.equals(allowedWeights[1]));
  }

  /**
   * Returns whether a replica runs weights of any of its models on which requests may start now.
   * Determining the newest weights reads all replicas, so callers that check many replicas pass a
   * map that caches the result during one pass.
   */
  private boolean runsAllowedWeights(Backend backend, Map<String, String[]> allowedWeights) {
    for (String model : backend.weightsByModel.keySet())
      if (mayRun(
          allowedWeights.computeIfAbsent(model, this::allowedWeights),
          effectiveWeights(backend, model))) return true;
    return false;
  }

  /**
   * Returns the weights a replica is assumed to run: those last reported by it or the list, or the
   * newer ones once its turn to load them has come. If the replica reports that it does not run
   * them yet, the reported weights count for a moment.
   */
  public String effectiveWeights(Backend backend, String model) {
    String reported = backend.reportedWeights(model);
    Weights.Assignment named = backend.reportsLoad ? null : snapshot().weights().of(model);
    if (named == null || reported.isEmpty() || !Backend.isNewer(named.current(), reported))
      return reported;
    long nowMs = clock.now();
    return !backend.isOnOldWeights(nowMs) && nowMs >= rolloutTurnMs(backend) + WEIGHT_LOAD_MS
        ? named.current()
        : reported;
  }

  /**
   * Returns whether a replica's turn to load newer weights has come or is about to, and neither it
   * nor the list has reported yet that it runs them. Running requests finish first, and until the
   * weights are loaded the replica refuses new ones, so it is better avoided.
   */
  public boolean isLoadingWeights(Backend backend, String model) {
    Weights.Assignment named = backend.reportsLoad ? null : snapshot().weights().of(model);
    if (named == null
        || backend.reportedWeights(model).isEmpty()
        || !Backend.isNewer(named.current(), backend.reportedWeights(model))) return false;
    return clock.now() >= rolloutTurnMs(backend) - ROLLOUT_LEAD_MS;
  }

  /**
   * Returns when a replica's turn to load the named weights comes, on this relay's clock; in the
   * past if it has come.
   */
  private long rolloutTurnMs(Backend backend) {
    long namedAtMs = subscription.leases.cutoffAtMs() - settings.weightsCutoffMs();
    if (clock.now() >= subscription.leases.cutoffAtMs()) return clock.now() - WEIGHT_LOAD_MS;
    List<String> instances =
        backends.readyReplicas(backend.replica.service()).stream()
            .map(each -> each.replica.instance())
            .toList();
    return namedAtMs
        + settings
            .rolloutPlan()
            .dueMs(settings.rolloutPlan().partOf(backend.replica.instance(), instances));
  }

  /** Returns the address and zone of a holder of cached prefixes, a replica or a store, or null. */
  public Replica findHolder(String name) {
    Replica replica = snapshot().replicas().find(name);
    if (replica != null) return replica;
    Configuration.Service service = snapshot().configuration().service(name);
    return service == null || service.storeAddress() == null
        ? null
        : Holders.storeAsHolder(service);
  }

  /** Learns from the time between sending a request and the first piece of its answer, in ms. */
  public void recordFirstPiece(Request request, Backend backend, long firstPieceMs) {
    if (backend.reportsLoad) return;
    double excessMs = firstPieceMs - request.queueMs;
    PrefixStore store = stores.find(request.fetchFrom);
    if (request.fetchBlocks > 0 && excessMs > 4 * request.workMs + 250) {
      if (store == null) backend.markLinkSlow(clock.now());
      else store.link().markSlow(clock.now());
    }
    if (request.fetchBlocks > 0 || !settings.isEnabled(Mechanism.LEARNED_SPEED)) return;
    estimates.recordFirstPiece(request, firstPieceMs);
  }

  /**
   * Applies the load of a service's replicas reported by an index; replicas not listed are idle.
   */
  void recordFleetLoad(String service, Lookup.FleetLoad fleetLoad) {
    evictedShare = fleetLoad.evictionRatio();
    if (!settings.isEnabled(Mechanism.FLEET_LOADS) || fleetLoad.equals(Lookup.FleetLoad.UNKNOWN))
      return;
    Map<String, Lookup.Load> loadsByInstance = new HashMap<>();
    for (Lookup.Load load : fleetLoad.loads()) loadsByInstance.put(load.holder(), load);
    long nowMs = clock.now();
    for (Backend backend : backends.readyReplicas(service)) {
      String instance = backend.replica.instance();
      backend.recordFleetLoad(
          loadsByInstance.getOrDefault(instance, new Lookup.Load(instance, 0, 0, 0)), nowMs);
    }
  }

  /** Returns the share of recently stored blocks that evicted another one. */
  double evictedShare() {
    return evictedShare;
  }

  /**
   * Returns the urgency level sent to replicas for a request, by the newest configuration; 0 is the
   * most urgent.
   */
  public int urgencyLevel(Request request) {
    return urgencyLevels.levelOf(request);
  }

  /** Returns the queue of a service. */
  public WaitQueue queue(String service) {
    return queues.computeIfAbsent(
        service,
        serviceName -> {
          WaitQueue queue = new WaitQueue(settings.maxQueuedRequests());
          queue.configure(snapshot().configuration());
          return queue;
        });
  }

  /** Registers a running request. */
  public void begin(Request request) {
    liveRequests.put(request.decision.number, request);
  }

  public List<Request> liveRequests() {
    return new ArrayList<>(liveRequests.values());
  }

  /** Ends a request: frees its slot, completes its record and logs it. */
  public void finish(Request request) {
    if (liveRequests.remove(request.decision.number) == null) return;
    request.state.end();
    if (request.admitted) {
      request.admitted = false;
      queue(request.service.name()).release(request);
      if (request.backend == null)
        admittedByService.merge(request.service.name(), -1, Integer::sum);
      if (request.decision.outcome().equals("complete"))
        estimates.recordCompletion(request, clock.now());
    }
    releaseReplica(request);
    if (request.pausedTooLong())
      request.decision.add(
          "paused",
          clock.now(),
          Json.object()
              .add("ms", request.longestPauseMs())
              .add("endedMs", request.longestPauseEndedMs())
              .add("allowedMs", request.route.eventGapTargetMs()));
    request.decision.end();
    decisionSink.accept(request.decision);
    admitWaiting();
    Log.event(
        "request-ended",
        "order",
        request.id(),
        "tenant",
        request.tenant == null ? "-" : request.tenant.name(),
        "mapping",
        request.route == null ? "-" : request.route.name(),
        "outcome",
        request.decision.outcome(),
        "tries",
        request.tryCount,
        "pieces",
        request.piecesOut,
        "ms",
        clock.now() - request.receivedAtMs,
        "units",
        request.promptUnits(),
        "held",
        request.maxHeldUnits,
        "computed",
        request.computeUnits,
        "fetched",
        request.fetchBlocks,
        "from",
        request.fetchFrom.isEmpty() ? "-" : request.fetchFrom,
        "saved",
        request.saveTo.isEmpty() ? "-" : request.saveTo,
        "index",
        request.lookupOutcome,
        "lookupMs",
        request.lookupMs,
        "queueMs",
        Math.round(request.queueMs),
        "firstMs",
        request.firstPieceMs,
        "pauseMs",
        request.longestPauseMs(),
        "pauseEndedMs",
        request.longestPauseEndedMs(),
        "replica",
        request.lastTriedBackend == null ? "-" : request.lastTriedBackend.replica.instance(),
        "handedMs",
        request.tryCount == 0 ? -1 : request.forwardedAtMs - request.receivedAtMs,
        "runningThere",
        request.runningOnBackend,
        "why",
        request.failureReason);
  }

  /** Releases the replica assigned to the request, if any. */
  public void releaseReplica(Request request) {
    if (request.backend == null) return;
    request.backend.ownRequests = Math.max(0, request.backend.ownRequests - 1);
    request.backend.releaseUnits(request.units());
    request.backend = null;
    if (request.admitted) admittedByService.merge(request.service.name(), 1, Integer::sum);
  }

  /** Assigns a replica to a request that causes workMs of work there. */
  public void assignReplica(Request request, Backend backend, double workMs) {
    releaseReplica(request);
    backend.reserveUnits(request.units());
    request.backend = backend;
    backend.ownRequests++;
    backend.addWork(workMs, clock.now());
    admittedByService.merge(request.service.name(), -1, Integer::sum);
  }

  /** Returns the number of slots at the usable replicas of a service. */
  private int admissionSlots(String service) {
    int slots = 0;
    for (Backend backend : backends.readyReplicas(service))
      if (backend.isUsable(clock.now())) slots += backend.admissionSlots();
    return slots;
  }

  /**
   * Reports local demand and capacity, and applies the fleet's division of slots; without a recent
   * one, an equal share.
   */
  private void updateShares(long nowMs, long elapsedMs) {
    List<StateUpdate.QuotaDemand> demands = new ArrayList<>();
    List<StateUpdate.ServiceCapacity> capacities = new ArrayList<>();
    for (Map.Entry<String, WaitQueue> entry : queues.entrySet()) {
      String service = entry.getKey();
      entry
          .getValue()
          .waitingAndUsed()
          .forEach(
              (leaf, usage) ->
                  demands.add(new StateUpdate.QuotaDemand(service, leaf, usage[0], usage[1])));
      capacities.add(new StateUpdate.ServiceCapacity(service, admissionSlots(service)));
      StateSubscription.Allotment allotment = subscription.allotment(service);
      if (settings.localSharesOnly()
          || allotment == null
          || nowMs - allotment.receivedAtMs() > ALLOTMENT_MAX_AGE_MS
          || !allotment.full()) entry.getValue().clearBounds();
      else
        entry
            .getValue()
            .setBounds(allotment.milliSlotsByLeaf(), elapsedMs, estimates.meanRequestMs(service));
    }
    subscription.reportDemand(List.copyOf(demands), List.copyOf(capacities));
  }

  /**
   * Returns, by service and leaf, the queued and running requests, and the share of slots that the
   * fleet's division leaves this relay if it sets one.
   */
  public JsonObject sharesJson() {
    JsonObject services = Json.object();
    long nowMs = clock.now();
    for (Map.Entry<String, WaitQueue> entry : queues.entrySet()) {
      StateSubscription.Allotment allotment = subscription.allotment(entry.getKey());
      boolean fresh = allotment != null && nowMs - allotment.receivedAtMs() <= ALLOTMENT_MAX_AGE_MS;
      JsonObject leaves = Json.object();
      entry
          .getValue()
          .waitingAndUsed()
          .forEach(
              (leaf, usage) -> {
                JsonObject leafUsage =
                    Json.object().add("waiting", usage[0]).add("using", usage[1]);
                if (fresh && allotment.full())
                  leafUsage.add(
                      "part", allotment.milliSlotsByLeaf().getOrDefault(leaf, 1000) / 1000.0);
                leaves.add(leaf, leafUsage);
              });
      services.add(
          entry.getKey(),
          Json.object()
              .add("divided", !fresh ? "by nobody" : allotment.full() ? "full" : "not full")
              .add("leaves", leaves));
    }
    return services;
  }

  /**
   * Returns an equal share of the slots if no recent division by the fleet is known, assuming the
   * same demand at all relays.
   */
  private int equalShare(String service) {
    StateSubscription.Allotment allotment = subscription.allotment(service);
    if (settings.localSharesOnly()) return Integer.MAX_VALUE;
    if (allotment != null && clock.now() - allotment.receivedAtMs() <= ALLOTMENT_MAX_AGE_MS)
      return Integer.MAX_VALUE;
    int relays = Math.max(1, relayCount.getAsInt());
    return (admissionSlots(service) + relays - 1) / relays;
  }

  /** Returns how many more requests of a service may be admitted now. */
  public int freeSlots(String service) {
    Configuration.Service configured = snapshot().configuration().service(service);
    boolean model = configured == null || configured.kind() == Configuration.Kind.MODEL;
    Map<String, String[]> allowedWeights = new HashMap<>();
    return Math.min(
        backends.freeSlots(
                service, backend -> !model || runsAllowedWeights(backend, allowedWeights))
            - admittedByService.getOrDefault(service, 0),
        equalShare(service) - queue(service).usedSlots());
  }

  /**
   * Returns how long a request would wait for a slot if it joined the queue now, in ms, including
   * the work queued ahead of it.
   */
  double estimatedWaitMs(Request request) {
    String service = request.service.name();
    WaitQueue queue = queue(service);
    if (queue.size() == 0 && freeSlots(service) > 0) return 0;
    return queue.estimatedWaitMs(
        request, estimates.meanRequestMs(service), equalShareOfListed(service));
  }

  /** Returns an equal share of the slots of all listed replicas, whether usable now or not. */
  private int equalShareOfListed(String service) {
    int listed = 0;
    for (Backend backend : backends.readyReplicas(service)) listed += backend.admissionSlots();
    return listed / Math.max(1, relayCount.getAsInt());
  }

  /** Assigns free slots to queued requests in the order of the tree of quota shares. */
  public void admitWaiting() {
    if (admitting) {
      admitAgain = true;
      return;
    }
    admitting = true;
    try {
      do {
        admitAgain = false;
        for (Map.Entry<String, WaitQueue> entry : new ArrayList<>(queues.entrySet()))
          admitWaiting(entry);
      } while (admitAgain);
    } finally {
      // a failure of one request must not leave those behind it queued forever
      admitting = false;
    }
  }

  private void admitWaiting(Map.Entry<String, WaitQueue> entry) {
    while (entry.getValue().size() > 0 && freeSlots(entry.getKey()) > 0) {
      Request request = entry.getValue().poll();
      if (request == null) break;
      request.admitted = true;
      admittedByService.merge(entry.getKey(), 1, Integer::sum);
      request.onLeaveQueue.accept(FilterResult.CONTINUE);
    }
  }

  /** Handles a caller that disconnected: its request is dropped or cancelled. */
  public void callerGone(Request request) {
    request.callerGone = true;
    RequestState.Phase state = request.state.phase();
    if (state == RequestState.Phase.ENDED) return;
    request.decision.add(
        "caller-gone", clock.now(), Json.object().add("pieces", request.piecesOut));
    if (state == RequestState.Phase.WAITING) stop(request, "the caller disconnected", 499);
    else if (request.state.end()) {
      request.decision.setOutcome("caller-gone");
      request.cancel.run();
      finish(request);
    }
  }

  /** Creates the chain of filters that requests pass in this relay. */
  public FilterChain filterChain(Lookups lookups, ChoiceMode choiceMode, Exchange exchange) {
    return new FilterChain(
        List.of(
            new KeyFilter(this),
            new RouteFilter(this),
            new AdmissionFilter(this),
            new PrefixLookupFilter(this, lookups),
            new ReplicaChoice(this, choiceMode, lookups),
            new FetchPlanFilter(this),
            new Forwarding(this, exchange)),
        "choice",
        clock,
        this::finish);
  }

  /**
   * Applies a new snapshot to replicas and quota shares, and stops requests that it no longer
   * permits.
   */
  public void applySnapshot(ControlStateSnapshot snapshot) {
    backends.applySnapshot(snapshot);
    stores.applySnapshot(snapshot, clock.now());
    if (snapshot.configurationNumber() != appliedSnapshot.configurationNumber()) {
      urgencyLevels = new UrgencyLevels(snapshot.configuration());
      for (WaitQueue queue : queues.values()) queue.configure(snapshot.configuration());
      for (Request request : liveRequests()) {
        if (request.tenant == null || request.route != null && request.route.allowsAnonymous())
          continue;
        Configuration.Tenant tenant = snapshot.configuration().tenantByKeyHash(request.apiKeyHash);
        boolean runs =
            request.state.phase() == RequestState.Phase.FORWARDED
                || request.state.phase() == RequestState.Phase.STREAMING;
        if ((tenant == null || !tenant.name().equals(request.tenant.name()))
            && (settings.cutsRevokedStreams() || !runs))
          stop(request, "the API key was revoked", 401);
      }
    }
    appliedSnapshot = snapshot;
    admitWaiting();
  }

  /** Stops a request: refuses it if it is queued, cuts it off if it is at a replica. */
  public void stop(Request request, String reason, int status) {
    RequestState.Phase state = request.state.phase();
    if (state == RequestState.Phase.WAITING && !request.admitted && request.onLeaveQueue != null) {
      for (Request removed : queue(request.service.name()).removeIf(waiting -> waiting == request))
        removed.onLeaveQueue.accept(
            FilterResult.notRun(status, reason, status == 401 ? 0 : retryAdvice.msUntilState()));
    } else if (state == RequestState.Phase.FORWARDED || state == RequestState.Phase.STREAMING)
      cutOff(request, reason);
    // an admitted request that is not sent yet meets the same check before it is sent
  }

  /** Cuts off a request that was sent to a replica and tells its caller. */
  public void cutOff(Request request, String reason) {
    boolean wasStreaming = request.state.phase() == RequestState.Phase.STREAMING;
    if (!request.state.end()) return;
    // add the reason first: cancelling may end the request's record at once
    request.decision.add(
        "cut-off", clock.now(), Json.object().add("why", reason).add("pieces", request.piecesOut));
    request.decision.setOutcome(wasStreaming ? "cut-off" : "unknown");
    request.failureReason = reason;
    request.cancel.run();
    if (!request.callerGone) {
      if (wasStreaming) request.caller.cutOff(request, reason);
      else
        request.caller.refuse(
            request,
            (FilterResult.Refuse)
                FilterResult.unknown(
                    request.deadlineMs <= clock.now() ? 504 : 502,
                    reason,
                    retryAdvice.msUntilRoom(request)));
    }
    finish(request);
  }

  /**
   * Refuses a request whose deadline passed while it awaited a connection. The caller is told at
   * once, and nothing is sent when the connection is established.
   */
  private void expireUnsent(Request request) {
    if (!request.state.end()) return;
    FilterResult.Refuse refusal =
        ((FilterResult.Refuse)
                FilterResult.notRun(503, EXPIRED_BEFORE_SEND, retryAdvice.msUntilRoom(request)))
            .adjustedForTriesOf(request);
    request.decision.add(
        "turned-away",
        clock.now(),
        Json.object().add("status", refusal.status()).add("reason", refusal.reason()));
    request.decision.setOutcome(refusal.outcome());
    request.failureReason = refusal.reason();
    if (!request.callerGone) request.caller.refuse(request, refusal);
    finish(request);
  }

  /**
   * Refuses queued requests that can no longer finish in time, so that their callers need not wait
   * for the deadline.
   */
  private void refuseOverdue(long nowMs) {
    if (!settings.isEnabled(Mechanism.EARLY_REFUSAL)) return;
    for (WaitQueue queue : queues.values())
      for (Request request : queue.removeIf(waiting -> nowMs > waiting.latestStartMs()))
        request.onLeaveQueue.accept(
            FilterResult.notRun(503, EXPIRED_IN_QUEUE, retryAdvice.msUntilRoom(request)));
  }

  /**
   * Enforces deadlines, and cuts off streams whose permission cannot be known any more. Called
   * several times a second.
   */
  public void tick() {
    long nowMs = clock.now();
    updateShares(nowMs, nowMs - lastTickMs);
    // after a stall of this process, replicas are given time to report again
    if (nowMs - lastTickMs > STALL_THRESHOLD_MS) awakeSinceMs = nowMs;
    lastTickMs = nowMs;
    freshness.onTick(settings, nowMs);
    refuseOverdue(nowMs);
    for (Request request : liveRequests()) {
      if (request.deadlineMs > 0 && nowMs >= request.deadlineMs) {
        RequestState.Phase state = request.state.phase();
        if (state == RequestState.Phase.WAITING
            && !request.admitted
            && request.onLeaveQueue != null) {
          for (Request removed :
              queue(request.service.name()).removeIf(waiting -> waiting == request))
            removed.onLeaveQueue.accept(
                FilterResult.notRun(
                    503, "the deadline passed in the queue", retryAdvice.msUntilRoom(removed)));
        } else if (state == RequestState.Phase.FORWARDED || state == RequestState.Phase.STREAMING)
          cutOff(request, "expired");
        else if (state == RequestState.Phase.WAITING && request.admitted) expireUnsent(request);
      } else if (request.backend != null
          && request.backend.isSilent(nowMs, awakeSinceMs)
          && request.state.phase() != RequestState.Phase.WAITING)
        request.onReplicaLost.accept("sent no load report for too long");
    }
    if (settings.cutsRevokedStreams()
        && nowMs - subscription.leases.validUntilMs(StateKeys.CONFIGURATION) > STREAM_GRACE_MS)
      for (Request request : liveRequests())
        if (request.tenant != null)
          stop(request, "no licence for so long that keys may have been revoked", 503);
    admitWaiting();
  }
}
