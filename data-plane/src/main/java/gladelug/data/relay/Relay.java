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
import gladelug.data.request.State;
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
 * What the filters of one relay share: snapshot and leases, replicas, queues, retry budget, the
 * requests under way. All on the request thread, one event loop; what other threads bring (a new
 * snapshot, a lookup's answer) is posted to it.
 */
public final class Relay {
  /**
   * How long after its lease for configurations or replicas ran out a relay lets streams go on;
   * then it can't know that a key still holds.
   */
  public static final long STREAM_GRACE_MS = 2000;

  static final String EXPIRED_BEFORE_SEND = "expired before it was handed over";

  private static final String EXPIRED_IN_QUEUE = "no place came while it could still end in time";

  private static final long ALLOTMENT_MAX_AGE_MS = 2000;

  private static final long STALL_THRESHOLD_MS = 500;

  /** After its turn to take new weights, from when on a replica may be asked for those, in ms. */
  private static final long WEIGHT_LOAD_MS = 1200;

  /** How long before its turn to take new weights a replica is left alone, in ms. */
  private static final long ROLLOUT_LEAD_MS = 400;

  public final Clock clock;
  public final StateSubscription subscription;
  public final Backends backends;
  public final RetryBudget retryBudget;
  public final String zone;
  public final RetryAdvice retryAdvice = new RetryAdvice(this);
  public RelaySettings settings;
  private final Map<String, WaitQueue> queues = new HashMap<>();
  private final Map<String, Integer> admitted = new HashMap<>();
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
  private long awakeSinceMs;
  private boolean admitting;
  private boolean admitAgain;

  /** Not ready any more, though requests are still taken that end in time. */
  public boolean draining;

  /** When whatever still runs is cut off, on this relay's clock, once it is leaving. */
  private long drainDeadlineMs = Long.MAX_VALUE;

  /** Records that have ended, for whoever hands them on. */
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
    this.zone = zone;
    this.backends = backends.apply(this);
    this.estimates = new WorkEstimates(this.backends, reuseShare);
  }

  public ControlStateSnapshot snapshot() {
    return subscription.tables();
  }

  /** Empty where requests may start now, else the reason why not. */
  public String unreadyReason() {
    ControlStateSnapshot snapshot = snapshot();
    if (snapshot.configurationNumber() == 0) return "no policy yet";
    if (snapshot.replicasNumber() == 0) return "no list of replicas yet";
    if (!subscription.leases.valid(clock.now())) return "no licence";
    return "";
  }

  /** Not ready from now on; whatever still runs then is cut off at a time on this relay's clock. */
  public void startDraining(long deadlineMs) {
    draining = true;
    drainDeadlineMs = deadlineMs;
  }

  /**
   * Why a request that nothing was passed on of is better begun elsewhere, as it may last longer
   * than this relay, or null. Its deadline counts, the only end that is certain.
   */
  FilterResult refusalIfOutlivesRelay(Request request) {
    return request.deadline > drainDeadlineMs
        ? FilterResult.notRun(503, "stopping before it has to end", FilterResult.RETRY_AT_ONCE_MS)
        : null;
  }

  /** What a request is told for whose model nobody named weights. */
  FilterResult refusalForMissingWeights(Request request) {
    return FilterResult.notRun(
        503, "no weights are named for " + request.model, retryAdvice.msUntilState());
  }

  /**
   * The weights of a model that a request may run on now: the newest, and until the cutoff those
   * before; null where there are none. Where nobody has to name weights first, those that replicas
   * tell of stand until somebody does.
   */
  public String[] allowedWeights(String model) {
    Weights.Named named = snapshot().weights().of(model);
    if (named == null)
      return settings.allowsUnnamedWeights()
          ? new String[] {backends.newestWeights(model), ""}
          : null;
    String before =
        named.before().isEmpty() && settings.allowsUnnamedWeights()
            ? backends.newestWeightsBefore(model, named.now())
            : named.before();
    return new String[] {named.now(), clock.now() < subscription.leases.cutoffAt() ? before : ""};
  }

  /** Whether a request may begin on these weights now. */
  public boolean mayRun(String model, String weights) {
    return mayRun(allowedWeights(model), weights);
  }

  /**
   * As above, with what {@link #allowedWeights} gave for the model; may is null where it gave none.
   */
  static boolean mayRun(String[] allowedWeights, String weights) {
    return allowedWeights != null
        && !weights.isEmpty()
        && (weights.equals(allowedWeights[0]) || weights.equals(allowedWeights[1]));
  }

  /**
   * Whether a replica runs weights on which requests may begin now, of any model it serves. Looking
   * for the newest weights reads all replicas, so a caller that asks about each of them hands in a
   * map that lives for this one look.
   */
  private boolean runsAllowedWeights(Backend backend, Map<String, String[]> allowedWeights) {
    for (String model : backend.weightsByModel.keySet())
      if (mayRun(
          allowedWeights.computeIfAbsent(model, this::allowedWeights),
          effectiveWeights(backend, model))) return true;
    return false;
  }

  /**
   * The weights a replica is taken to run: what it or the list last told, but once it has had its
   * turn to take newer ones, those; it says so if it doesn't yet, and then is left alone for a
   * moment.
   */
  public String effectiveWeights(Backend backend, String model) {
    String reported = backend.reportedWeights(model);
    Weights.Named named = backend.reportsLoad ? null : snapshot().weights().of(model);
    if (named == null || reported.isEmpty() || !Backend.isNewer(named.now(), reported))
      return reported;
    long nowMs = clock.now();
    return !backend.isOnOldWeights(nowMs) && nowMs >= rolloutTurnMs(backend) + WEIGHT_LOAD_MS
        ? named.now()
        : reported;
  }

  /**
   * Whether a replica's turn to take newer weights has come, or is about to, and neither it nor the
   * list has told yet that it runs them. What runs there ends first, and until it has loaded it
   * turns away what is new: better left alone.
   */
  public boolean isLoadingWeights(Backend backend, String model) {
    Weights.Named named = backend.reportsLoad ? null : snapshot().weights().of(model);
    if (named == null
        || backend.reportedWeights(model).isEmpty()
        || !Backend.isNewer(named.now(), backend.reportedWeights(model))) return false;
    return clock.now() >= rolloutTurnMs(backend) - ROLLOUT_LEAD_MS;
  }

  /**
   * When a replica's turn to take the named weights comes, on this relay's clock; in the past where
   * it has.
   */
  private long rolloutTurnMs(Backend backend) {
    long namedAtMs = subscription.leases.cutoffAt() - settings.weightsCutoffMs();
    if (clock.now() >= subscription.leases.cutoffAt()) return clock.now() - WEIGHT_LOAD_MS;
    List<String> instances =
        backends.readyReplicas(backend.replica.service()).stream()
            .map(each -> each.replica.instance())
            .toList();
    return namedAtMs
        + settings
            .rolloutPlan()
            .due(settings.rolloutPlan().part(backend.replica.instance(), instances));
  }

  /**
   * Where a holder of kept prompts is called: a replica's or a store's address and zone; or null.
   */
  public Replica findHolder(String name) {
    Replica replica = snapshot().replicas().find(name);
    if (replica != null) return replica;
    Configuration.Service service = snapshot().configuration().service(name);
    return service == null || service.store() == null ? null : Holders.store(service);
  }

  /**
   * The first piece of a request came so many ms after it was handed over: what is learned of its
   * replica.
   */
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

  /** What an index told of the replicas of a service; one it doesn't name is free. */
  void recordFleetLoad(String service, Lookup.Fleet fleetLoad) {
    evictedShare = fleetLoad.evictedShare();
    if (!settings.isEnabled(Mechanism.FLEET_LOADS) || fleetLoad.equals(Lookup.Fleet.UNKNOWN))
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

  /** Of the blocks that holders stored lately, the share that drove another out. */
  double evictedShare() {
    return evictedShare;
  }

  /** How urgent replicas are told that a request is, by the newest configuration; 0 is first. */
  public int urgencyLevel(Request request) {
    return urgencyLevels.levelOf(request);
  }

  public WaitQueue queue(String service) {
    return queues.computeIfAbsent(
        service,
        serviceName -> {
          WaitQueue queue = new WaitQueue(settings.maxQueuedRequests());
          queue.configure(snapshot().configuration());
          return queue;
        });
  }

  public void begin(Request request) {
    liveRequests.put(request.decision.nr, request);
  }

  public List<Request> liveRequests() {
    return new ArrayList<>(liveRequests.values());
  }

  /** The request's end: its place is free. */
  public void finish(Request request) {
    if (liveRequests.remove(request.decision.nr) == null) return;
    request.state.end();
    if (request.admitted) {
      request.admitted = false;
      queue(request.service.name()).release(request);
      if (request.backend == null) admitted.merge(request.service.name(), -1, Integer::sum);
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
              .add("allowedMs", request.route.gapMs()));
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
        request.tries,
        "pieces",
        request.piecesOut,
        "ms",
        clock.now() - request.came,
        "units",
        request.promptUnits(),
        "held",
        request.heldUnits,
        "computed",
        request.computeUnits,
        "fetched",
        request.fetchBlocks,
        "from",
        request.fetchFrom.isEmpty() ? "-" : request.fetchFrom,
        "saved",
        request.saveTo.isEmpty() ? "-" : request.saveTo,
        "index",
        request.lookupAnswer,
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
        request.triedLast == null ? "-" : request.triedLast.replica.instance(),
        "handedMs",
        request.tries == 0 ? -1 : request.handedAt - request.came,
        "runningThere",
        request.runningThere,
        "why",
        request.why);
  }

  /** The request holds no replica any more. */
  public void releaseReplica(Request request) {
    if (request.backend == null) return;
    request.backend.ownRequests = Math.max(0, request.backend.ownRequests - 1);
    request.backend.releaseUnits(request.units());
    request.backend = null;
    if (request.admitted) admitted.merge(request.service.name(), 1, Integer::sum);
  }

  public void assignReplica(Request request, Backend backend, double workMs) {
    releaseReplica(request);
    backend.reserveUnits(request.units());
    request.backend = backend;
    backend.ownRequests++;
    backend.addWork(workMs, clock.now());
    admitted.merge(request.service.name(), -1, Integer::sum);
  }

  private int places(String service) {
    int slots = 0;
    for (Backend backend : backends.readyReplicas(service))
      if (backend.isUsable(clock.now())) slots += backend.admissionSlots();
    return slots;
  }

  /**
   * Tells what waits and is seen here, and takes the fleet's division; with none fresh, an equal
   * part.
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
      capacities.add(new StateUpdate.ServiceCapacity(service, places(service)));
      StateSubscription.Allotment allotment = subscription.allotment(service);
      if (settings.localSharesOnly()
          || allotment == null
          || nowMs - allotment.at() > ALLOTMENT_MAX_AGE_MS
          || !allotment.full()) entry.getValue().clearBounds();
      else
        entry.getValue().setBounds(allotment.milli(), elapsedMs, estimates.meanRequestMs(service));
    }
    subscription.demand(List.copyOf(demands), List.copyOf(capacities));
  }

  /**
   * By service and leaf: waiting and using here, and the part of places the fleet's division leaves
   * this relay, if it bounds.
   */
  public JsonObject sharesJson() {
    JsonObject services = Json.object();
    long nowMs = clock.now();
    for (Map.Entry<String, WaitQueue> entry : queues.entrySet()) {
      StateSubscription.Allotment allotment = subscription.allotment(entry.getKey());
      boolean fresh = allotment != null && nowMs - allotment.at() <= ALLOTMENT_MAX_AGE_MS;
      JsonObject leaves = Json.object();
      entry
          .getValue()
          .waitingAndUsed()
          .forEach(
              (leaf, usage) -> {
                JsonObject leafUsage =
                    Json.object().add("waiting", usage[0]).add("using", usage[1]);
                if (fresh && allotment.full())
                  leafUsage.add("part", allotment.milli().getOrDefault(leaf, 1000) / 1000.0);
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

  /** With nobody dividing, as much of the places as if all relays asked alike. */
  private int equalShare(String service) {
    StateSubscription.Allotment allotment = subscription.allotment(service);
    if (settings.localSharesOnly()) return Integer.MAX_VALUE;
    if (allotment != null && clock.now() - allotment.at() <= ALLOTMENT_MAX_AGE_MS)
      return Integer.MAX_VALUE;
    int relays = Math.max(1, relayCount.getAsInt());
    return (places(service) + relays - 1) / relays;
  }

  public int freeSlots(String service) {
    Configuration.Service configured = snapshot().configuration().service(service);
    boolean model = configured == null || configured.kind() == Configuration.Kind.MODEL;
    Map<String, String[]> allowedWeights = new HashMap<>();
    return Math.min(
        backends.freeSlots(
                service, backend -> !model || runsAllowedWeights(backend, allowedWeights))
            - admitted.getOrDefault(service, 0),
        equalShare(service) - queue(service).used());
  }

  /**
   * How long a request would wait for a place if it joined the queue now, in ms: until one comes
   * free, and for what goes before it.
   */
  double estimatedWaitMs(Request request) {
    String service = request.service.name();
    WaitQueue queue = queue(service);
    if (queue.size() == 0 && freeSlots(service) > 0) return 0;
    return queue.estimatedWaitMs(
        request, estimates.meanRequestMs(service), equalShareOfListed(service));
  }

  /** As much of the places of all replicas, usable now or not, as if all relays asked alike. */
  private int equalShareOfListed(String service) {
    int listed = 0;
    for (Backend backend : backends.readyReplicas(service)) listed += backend.admissionSlots();
    return listed / Math.max(1, relayCount.getAsInt());
  }

  /** Gives free places to those that wait, as the share tree says. */
  public void admitWaiting() {
    if (admitting) {
      admitAgain = true;
      return;
    }
    admitting = true;
    try {
      do {
        admitAgain = false;
        for (Map.Entry<String, WaitQueue> entry : new ArrayList<>(queues.entrySet())) places(entry);
      } while (admitAgain);
    } finally {
      // whatever goes wrong with one request, those behind it are not left waiting for ever
      admitting = false;
    }
  }

  private void places(Map.Entry<String, WaitQueue> entry) {
    while (entry.getValue().size() > 0 && freeSlots(entry.getKey()) > 0) {
      Request request = entry.getValue().next();
      if (request == null) break;
      request.admitted = true;
      admitted.merge(entry.getKey(), 1, Integer::sum);
      request.leaveQueue.accept(FilterResult.GO);
    }
  }

  /** The caller went away: nothing is left to be done for its request. */
  public void callerGone(Request request) {
    request.gone = true;
    State.At state = request.state.at();
    if (state == State.At.ENDED) return;
    request.decision.add(
        "caller-gone", clock.now(), Json.object().add("pieces", request.piecesOut));
    if (state == State.At.WAITING) stop(request, "the caller went away", 499);
    else if (request.state.end()) {
      request.decision.outcome("caller-gone");
      request.cancel.run();
      finish(request);
    }
  }

  /** The way of a request through this relay. */
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

  /** A new snapshot: back ends, shares, and what it forbids of requests under way. */
  public void applySnapshot(ControlStateSnapshot snapshot) {
    backends.applySnapshot(snapshot);
    stores.applySnapshot(snapshot, clock.now());
    if (snapshot.configurationNumber() != appliedSnapshot.configurationNumber()) {
      urgencyLevels = new UrgencyLevels(snapshot.configuration());
      for (WaitQueue queue : queues.values()) queue.configure(snapshot.configuration());
      for (Request request : liveRequests()) {
        if (request.tenant == null || request.route != null && request.route.open()) continue;
        Configuration.Tenant tenant = snapshot.configuration().tenantOfHash(request.keyHash);
        boolean runs =
            request.state.at() == State.At.HANDED || request.state.at() == State.At.STREAMING;
        if ((tenant == null || !tenant.name().equals(request.tenant.name()))
            && (settings.cutsRevokedStreams() || !runs)) stop(request, "key revoked", 401);
      }
    }
    appliedSnapshot = snapshot;
    admitWaiting();
  }

  /** Ends a request wherever it is: refused from the queue, or cut off at the replica. */
  public void stop(Request request, String reason, int status) {
    State.At state = request.state.at();
    if (state == State.At.WAITING && !request.admitted && request.leaveQueue != null) {
      for (Request removed : queue(request.service.name()).removeIf(waiting -> waiting == request))
        removed.leaveQueue.accept(
            FilterResult.notRun(status, reason, status == 401 ? 0 : retryAdvice.msUntilState()));
    } else if (state == State.At.HANDED || state == State.At.STREAMING) cutOff(request, reason);
    // an admitted request still waiting meets the same check at the hand-over
  }

  public void cutOff(Request request, String reason) {
    boolean wasStreaming = request.state.at() == State.At.STREAMING;
    if (!request.state.end()) return;
    // the reason first: letting the replica go may end the request's record on the spot
    request.decision.add(
        "cut-off", clock.now(), Json.object().add("why", reason).add("pieces", request.piecesOut));
    request.decision.outcome(wasStreaming ? "cut-off" : "unknown");
    request.why = reason;
    request.cancel.run();
    if (!request.gone) {
      if (wasStreaming) request.caller.cutOff(request, reason);
      else
        request.caller.refuse(
            request,
            (FilterResult.Refuse)
                FilterResult.unknown(
                    request.deadline <= clock.now() ? 504 : 502,
                    reason,
                    retryAdvice.msUntilRoom(request)));
    }
    finish(request);
  }

  /**
   * Its deadline passed while a connection was awaited: the caller is told at once, and when the
   * connection is up nothing leaves on it.
   */
  private void expireUnsent(Request request) {
    if (!request.state.end()) return;
    FilterResult.Refuse refusal =
        ((FilterResult.Refuse)
                FilterResult.notRun(503, EXPIRED_BEFORE_SEND, retryAdvice.msUntilRoom(request)))
            .afterTriesOf(request);
    request.decision.add(
        "turned-away",
        clock.now(),
        Json.object().add("status", refusal.status()).add("reason", refusal.reason()));
    request.decision.outcome(refusal.outcome());
    request.why = refusal.reason();
    if (!request.gone) request.caller.refuse(request, refusal);
    finish(request);
  }

  /** What waits and can't end in time any more is told so at once, so that its caller can go on. */
  private void refuseOverdue(long nowMs) {
    if (!settings.isEnabled(Mechanism.EARLY_REFUSAL)) return;
    for (WaitQueue queue : queues.values())
      for (Request request : queue.removeIf(waiting -> nowMs > waiting.latestStartMs()))
        request.leaveQueue.accept(
            FilterResult.notRun(503, EXPIRED_IN_QUEUE, retryAdvice.msUntilRoom(request)));
  }

  /**
   * Called a few times a second: deadlines, and streams whose right to go on can't be known any
   * more.
   */
  public void tick() {
    long nowMs = clock.now();
    updateShares(nowMs, nowMs - lastTickMs);
    // after a pause of its own, replicas are given the time to say that they are there
    if (nowMs - lastTickMs > STALL_THRESHOLD_MS) awakeSinceMs = nowMs;
    lastTickMs = nowMs;
    refuseOverdue(nowMs);
    for (Request request : liveRequests()) {
      if (request.deadline > 0 && nowMs >= request.deadline) {
        State.At state = request.state.at();
        if (state == State.At.WAITING && !request.admitted && request.leaveQueue != null) {
          for (Request removed :
              queue(request.service.name()).removeIf(waiting -> waiting == request))
            removed.leaveQueue.accept(
                FilterResult.notRun(
                    503, "expired in the backlog", retryAdvice.msUntilRoom(removed)));
        } else if (state == State.At.HANDED || state == State.At.STREAMING)
          cutOff(request, "expired");
        else if (state == State.At.WAITING && request.admitted) expireUnsent(request);
      } else if (request.backend != null
          && request.backend.isSilent(nowMs, awakeSinceMs)
          && request.state.at() != State.At.WAITING) request.lost.accept("has fallen silent");
    }
    if (settings.cutsRevokedStreams()
        && nowMs - subscription.leases.until(StateKeys.CONFIGURATION) > STREAM_GRACE_MS)
      for (Request request : liveRequests())
        if (request.tenant != null)
          stop(request, "no licence for so long that keys can't be known", 503);
    admitWaiting();
  }
}
