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
      StateSubscription news,
      Function<Relay, Backends> backends,
      String zone,
      RelaySettings settings,
      IntSupplier relays) {
    this.relayCount = relays;
    this.stores = new PrefixStores(relays);
    this.settings = settings;
    this.retryBudget = new RetryBudget(() -> this.settings, relays);
    this.lastTickMs = clock.now();
    this.awakeSinceMs = lastTickMs;
    this.clock = clock;
    this.subscription = news;
    this.zone = zone;
    this.backends = backends.apply(this);
    this.estimates = new WorkEstimates(this.backends, reuseShare);
  }

  public ControlStateSnapshot snapshot() {
    return subscription.snapshot();
  }

  /** Empty where requests may start now, else the reason why not. */
  public String unreadyReason() {
    ControlStateSnapshot snapshot = snapshot();
    if (snapshot.configurationNumber() == 0) return "no policy yet";
    if (snapshot.replicasNumber() == 0) return "no list of replicas yet";
    if (!subscription.leases.isValid(clock.now())) return "no licence";
    return "";
  }

  /** Not ready from now on; whatever still runs then is cut off at a time on this relay's clock. */
  public void startDraining(long untilMs) {
    draining = true;
    drainDeadlineMs = untilMs;
  }

  /**
   * Why a request that nothing was passed on of is better begun elsewhere, as it may last longer
   * than this relay, or null. Its deadline counts, the only end that is certain.
   */
  FilterResult refusalIfOutlivesRelay(Request request) {
    return request.deadlineMs > drainDeadlineMs
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
    Weights.Assignment n = snapshot().weights().of(model);
    if (n == null)
      return settings.allowsUnnamedWeights()
          ? new String[] {backends.newestWeights(model), ""}
          : null;
    String before =
        n.previous().isEmpty() && settings.allowsUnnamedWeights()
            ? backends.newestWeightsBefore(model, n.current())
            : n.previous();
    return new String[] {n.current(), clock.now() < subscription.leases.cutoffAtMs() ? before : ""};
  }

  /** Whether a request may begin on these weights now. */
  public boolean mayRun(String model, String w) {
    return mayRun(allowedWeights(model), w);
  }

  /**
   * As above, with what {@link #allowedWeights} gave for the model; may is null where it gave none.
   */
  static boolean mayRun(String[] may, String w) {
    return may != null && !w.isEmpty() && (w.equals(may[0]) || w.equals(may[1]));
  }

  /**
   * Whether a replica runs weights on which requests may begin now, of any model it serves. Looking
   * for the newest weights reads all replicas, so a caller that asks about each of them hands in a
   * map that lives for this one look.
   */
  private boolean runsAllowedWeights(Backend backend, Map<String, String[]> may) {
    for (String m : backend.weightsByModel.keySet())
      if (mayRun(may.computeIfAbsent(m, this::allowedWeights), effectiveWeights(backend, m)))
        return true;
    return false;
  }

  /**
   * The weights a replica is taken to run: what it or the list last told, but once it has had its
   * turn to take newer ones, those; it says so if it doesn't yet, and then is left alone for a
   * moment.
   */
  public String effectiveWeights(Backend backend, String model) {
    String told = backend.reportedWeights(model);
    Weights.Assignment n = backend.reportsLoad ? null : snapshot().weights().of(model);
    if (n == null || told.isEmpty() || !Backend.isNewer(n.current(), told)) return told;
    long now = clock.now();
    return !backend.isOnOldWeights(now) && now >= rolloutTurnMs(backend) + WEIGHT_LOAD_MS
        ? n.current()
        : told;
  }

  /**
   * Whether a replica's turn to take newer weights has come, or is about to, and neither it nor the
   * list has told yet that it runs them. What runs there ends first, and until it has loaded it
   * turns away what is new: better left alone.
   */
  public boolean isLoadingWeights(Backend backend, String model) {
    Weights.Assignment n = backend.reportsLoad ? null : snapshot().weights().of(model);
    if (n == null
        || backend.reportedWeights(model).isEmpty()
        || !Backend.isNewer(n.current(), backend.reportedWeights(model))) return false;
    return clock.now() >= rolloutTurnMs(backend) - ROLLOUT_LEAD_MS;
  }

  /**
   * When a replica's turn to take the named weights comes, on this relay's clock; in the past where
   * it has.
   */
  private long rolloutTurnMs(Backend b) {
    long named = subscription.leases.cutoffAtMs() - settings.weightsCutoffMs();
    if (clock.now() >= subscription.leases.cutoffAtMs()) return clock.now() - WEIGHT_LOAD_MS;
    List<String> all =
        backends.readyReplicas(b.replica.service()).stream()
            .map(x -> x.replica.instance())
            .toList();
    return named
        + settings.rolloutPlan().dueMs(settings.rolloutPlan().partOf(b.replica.instance(), all));
  }

  /**
   * Where a holder of kept prompts is called: a replica's or a store's address and zone; or null.
   */
  public Replica findHolder(String name) {
    Replica p = snapshot().replicas().find(name);
    if (p != null) return p;
    Configuration.Service s = snapshot().configuration().service(name);
    return s == null || s.storeAddress() == null ? null : Holders.storeAsHolder(s);
  }

  /**
   * The first piece of a request came so many ms after it was handed over: what is learned of its
   * replica.
   */
  public void recordFirstPiece(Request request, Backend backend, long ms) {
    if (backend.reportsLoad) return;
    double rest = ms - request.queueMs;
    PrefixStore store = stores.find(request.fetchFrom);
    if (request.fetchBlocks > 0 && rest > 4 * request.workMs + 250) {
      if (store == null) backend.markLinkSlow(clock.now());
      else store.link().markSlow(clock.now());
    }
    if (request.fetchBlocks > 0 || !settings.isEnabled(Mechanism.LEARNED_SPEED)) return;
    estimates.recordFirstPiece(request, ms);
  }

  /** What an index told of the replicas of a service; one it doesn't name is free. */
  void recordFleetLoad(String service, Lookup.FleetLoad fleet) {
    evictedShare = fleet.evictionRatio();
    if (!settings.isEnabled(Mechanism.FLEET_LOADS) || fleet.equals(Lookup.FleetLoad.UNKNOWN))
      return;
    Map<String, Lookup.Load> busy = new HashMap<>();
    for (Lookup.Load load : fleet.loads()) busy.put(load.holder(), load);
    long now = clock.now();
    for (Backend backend : backends.readyReplicas(service)) {
      String instance = backend.replica.instance();
      backend.recordFleetLoad(busy.getOrDefault(instance, new Lookup.Load(instance, 0, 0, 0)), now);
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
        text -> {
          WaitQueue b = new WaitQueue(settings.maxQueuedRequests());
          b.configure(snapshot().configuration());
          return b;
        });
  }

  public void begin(Request request) {
    liveRequests.put(request.decision.number, request);
  }

  public List<Request> liveRequests() {
    return new ArrayList<>(liveRequests.values());
  }

  /** The request's end: its place is free. */
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

  /** The request holds no replica any more. */
  public void releaseReplica(Request request) {
    if (request.backend == null) return;
    request.backend.ownRequests = Math.max(0, request.backend.ownRequests - 1);
    request.backend.releaseUnits(request.units());
    request.backend = null;
    if (request.admitted) admittedByService.merge(request.service.name(), 1, Integer::sum);
  }

  public void assignReplica(Request request, Backend backend, double ms) {
    releaseReplica(request);
    backend.reserveUnits(request.units());
    request.backend = backend;
    backend.ownRequests++;
    backend.addWork(ms, clock.now());
    admittedByService.merge(request.service.name(), -1, Integer::sum);
  }

  private int places(String service) {
    int n = 0;
    for (Backend backend : backends.readyReplicas(service))
      if (backend.isUsable(clock.now())) n += backend.admissionSlots();
    return n;
  }

  /**
   * Tells what waits and is seen here, and takes the fleet's division; with none fresh, an equal
   * part.
   */
  private void updateShares(long now, long passed) {
    List<StateUpdate.QuotaDemand> ds = new ArrayList<>();
    List<StateUpdate.ServiceCapacity> ps = new ArrayList<>();
    for (Map.Entry<String, WaitQueue> e : queues.entrySet()) {
      String text = e.getKey();
      e.getValue()
          .waitingAndUsed()
          .forEach((leaf, n) -> ds.add(new StateUpdate.QuotaDemand(text, leaf, n[0], n[1])));
      ps.add(new StateUpdate.ServiceCapacity(text, places(text)));
      StateSubscription.Allotment a = subscription.allotment(text);
      if (settings.localSharesOnly()
          || a == null
          || now - a.receivedAtMs() > ALLOTMENT_MAX_AGE_MS
          || !a.full()) e.getValue().clearBounds();
      else e.getValue().setBounds(a.milliSlotsByLeaf(), passed, estimates.meanRequestMs(text));
    }
    subscription.reportDemand(List.copyOf(ds), List.copyOf(ps));
  }

  /**
   * By service and leaf: waiting and using here, and the part of places the fleet's division leaves
   * this relay, if it bounds.
   */
  public JsonObject sharesJson() {
    JsonObject o = Json.object();
    long now = clock.now();
    for (Map.Entry<String, WaitQueue> e : queues.entrySet()) {
      StateSubscription.Allotment a = subscription.allotment(e.getKey());
      boolean fresh = a != null && now - a.receivedAtMs() <= ALLOTMENT_MAX_AGE_MS;
      JsonObject l = Json.object();
      e.getValue()
          .waitingAndUsed()
          .forEach(
              (leaf, n) -> {
                JsonObject x = Json.object().add("waiting", n[0]).add("using", n[1]);
                if (fresh && a.full())
                  x.add("part", a.milliSlotsByLeaf().getOrDefault(leaf, 1000) / 1000.0);
                l.add(leaf, x);
              });
      o.add(
          e.getKey(),
          Json.object()
              .add("divided", !fresh ? "by nobody" : a.full() ? "full" : "not full")
              .add("leaves", l));
    }
    return o;
  }

  /** With nobody dividing, as much of the places as if all relays asked alike. */
  private int equalShare(String service) {
    StateSubscription.Allotment a = subscription.allotment(service);
    if (settings.localSharesOnly()) return Integer.MAX_VALUE;
    if (a != null && clock.now() - a.receivedAtMs() <= ALLOTMENT_MAX_AGE_MS)
      return Integer.MAX_VALUE;
    int n = Math.max(1, relayCount.getAsInt());
    return (places(service) + n - 1) / n;
  }

  public int freeSlots(String service) {
    Configuration.Service s = snapshot().configuration().service(service);
    boolean model = s == null || s.kind() == Configuration.Kind.MODEL;
    Map<String, String[]> may = new HashMap<>();
    return Math.min(
        backends.freeSlots(service, backend -> !model || runsAllowedWeights(backend, may))
            - admittedByService.getOrDefault(service, 0),
        equalShare(service) - queue(service).usedSlots());
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
        for (Map.Entry<String, WaitQueue> e : new ArrayList<>(queues.entrySet())) places(e);
      } while (admitAgain);
    } finally {
      // whatever goes wrong with one request, those behind it are not left waiting for ever
      admitting = false;
    }
  }

  private void places(Map.Entry<String, WaitQueue> e) {
    while (e.getValue().size() > 0 && freeSlots(e.getKey()) > 0) {
      Request request = e.getValue().poll();
      if (request == null) break;
      request.admitted = true;
      admittedByService.merge(e.getKey(), 1, Integer::sum);
      request.onLeaveQueue.accept(FilterResult.CONTINUE);
    }
  }

  /** The caller went away: nothing is left to be done for its request. */
  public void callerGone(Request request) {
    request.callerGone = true;
    RequestState.Phase at = request.state.phase();
    if (at == RequestState.Phase.ENDED) return;
    request.decision.add(
        "caller-gone", clock.now(), Json.object().add("pieces", request.piecesOut));
    if (at == RequestState.Phase.WAITING) stop(request, "the caller went away", 499);
    else if (request.state.end()) {
      request.decision.setOutcome("caller-gone");
      request.cancel.run();
      finish(request);
    }
  }

  /** The way of a request through this relay. */
  public FilterChain filterChain(Lookups lookups, ChoiceMode mode, Exchange exchange) {
    return new FilterChain(
        List.of(
            new KeyFilter(this),
            new RouteFilter(this),
            new AdmissionFilter(this),
            new PrefixLookupFilter(this, lookups),
            new ReplicaChoice(this, mode, lookups),
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
      for (WaitQueue b : queues.values()) b.configure(snapshot.configuration());
      for (Request request : liveRequests()) {
        if (request.tenant == null || request.route != null && request.route.allowsAnonymous())
          continue;
        Configuration.Tenant n = snapshot.configuration().tenantByKeyHash(request.apiKeyHash);
        boolean runs =
            request.state.phase() == RequestState.Phase.FORWARDED
                || request.state.phase() == RequestState.Phase.STREAMING;
        if ((n == null || !n.name().equals(request.tenant.name()))
            && (settings.cutsRevokedStreams() || !runs)) stop(request, "key revoked", 401);
      }
    }
    appliedSnapshot = snapshot;
    admitWaiting();
  }

  /** Ends a request wherever it is: refused from the queue, or cut off at the replica. */
  public void stop(Request o, String why, int status) {
    RequestState.Phase at = o.state.phase();
    if (at == RequestState.Phase.WAITING && !o.admitted && o.onLeaveQueue != null) {
      for (Request x : queue(o.service.name()).removeIf(y -> y == o))
        x.onLeaveQueue.accept(
            FilterResult.notRun(status, why, status == 401 ? 0 : retryAdvice.msUntilState()));
    } else if (at == RequestState.Phase.FORWARDED || at == RequestState.Phase.STREAMING)
      cutOff(o, why);
    // an admitted request still waiting meets the same check at the hand-over
  }

  public void cutOff(Request request, String why) {
    boolean streaming = request.state.phase() == RequestState.Phase.STREAMING;
    if (!request.state.end()) return;
    // the reason first: letting the replica go may end the request's record on the spot
    request.decision.add(
        "cut-off", clock.now(), Json.object().add("why", why).add("pieces", request.piecesOut));
    request.decision.setOutcome(streaming ? "cut-off" : "unknown");
    request.failureReason = why;
    request.cancel.run();
    if (!request.callerGone) {
      if (streaming) request.caller.cutOff(request, why);
      else
        request.caller.refuse(
            request,
            (FilterResult.Refuse)
                FilterResult.unknown(
                    request.deadlineMs <= clock.now() ? 504 : 502,
                    why,
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
    FilterResult.Refuse v =
        ((FilterResult.Refuse)
                FilterResult.notRun(503, EXPIRED_BEFORE_SEND, retryAdvice.msUntilRoom(request)))
            .adjustedForTriesOf(request);
    request.decision.add(
        "turned-away",
        clock.now(),
        Json.object().add("status", v.status()).add("reason", v.reason()));
    request.decision.setOutcome(v.outcome());
    request.failureReason = v.reason();
    if (!request.callerGone) request.caller.refuse(request, v);
    finish(request);
  }

  /** What waits and can't end in time any more is told so at once, so that its caller can go on. */
  private void refuseOverdue(long now) {
    if (!settings.isEnabled(Mechanism.EARLY_REFUSAL)) return;
    for (WaitQueue queue : queues.values())
      for (Request request : queue.removeIf(waiting -> now > waiting.latestStartMs()))
        request.onLeaveQueue.accept(
            FilterResult.notRun(503, EXPIRED_IN_QUEUE, retryAdvice.msUntilRoom(request)));
  }

  /**
   * Called a few times a second: deadlines, and streams whose right to go on can't be known any
   * more.
   */
  public void tick() {
    long now = clock.now();
    updateShares(now, now - lastTickMs);
    // after a pause of its own, replicas are given the time to say that they are there
    if (now - lastTickMs > STALL_THRESHOLD_MS) awakeSinceMs = now;
    lastTickMs = now;
    refuseOverdue(now);
    for (Request o : liveRequests()) {
      if (o.deadlineMs > 0 && now >= o.deadlineMs) {
        RequestState.Phase at = o.state.phase();
        if (at == RequestState.Phase.WAITING && !o.admitted && o.onLeaveQueue != null) {
          for (Request x : queue(o.service.name()).removeIf(y -> y == o))
            x.onLeaveQueue.accept(
                FilterResult.notRun(503, "expired in the backlog", retryAdvice.msUntilRoom(x)));
        } else if (at == RequestState.Phase.FORWARDED || at == RequestState.Phase.STREAMING)
          cutOff(o, "expired");
        else if (at == RequestState.Phase.WAITING && o.admitted) expireUnsent(o);
      } else if (o.backend != null
          && o.backend.isSilent(now, awakeSinceMs)
          && o.state.phase() != RequestState.Phase.WAITING)
        o.onReplicaLost.accept("has fallen silent");
    }
    if (settings.cutsRevokedStreams()
        && now - subscription.leases.validUntilMs(StateKeys.CONFIGURATION) > STREAM_GRACE_MS)
      for (Request o : liveRequests())
        if (o.tenant != null) stop(o, "no licence for so long that keys can't be known", 503);
    admitWaiting();
  }
}
