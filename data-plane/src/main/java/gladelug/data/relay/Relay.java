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
  public static final long GRACE = 2000;

  static final String EXPIRED_UNSENT = "expired before it was handed over";

  private static final String EXPIRED_UNPLACED = "no place came while it could still end in time";

  private static final long STALE = 2000;

  private static final long ASLEEP = 500;

  /** After its turn to take new weights, from when on a replica may be asked for those, in ms. */
  private static final long LOADS = 1200;

  /** How long before its turn to take new weights a replica is left alone, in ms. */
  private static final long BEFORE = 400;

  public final Clock clock;
  public final StateSubscription news;
  public final Backends backends;
  public final RetryBudget budget;
  public final String zone;
  public final RetryAdvice retryAdvice = new RetryAdvice(this);
  public RelaySettings settings;
  private final Map<String, WaitQueue> queues = new HashMap<>();
  private final Map<String, Integer> admitted = new HashMap<>();
  private final Map<Long, Request> live = new LinkedHashMap<>();
  private ControlStateSnapshot shaped = ControlStateSnapshot.NONE;
  private UrgencyLevels urgencyLevels = new UrgencyLevels(Configuration.EMPTY);
  public final IntSupplier relays;
  public final RecentPlacements placements = new RecentPlacements();
  final PrefixStores stores;
  final ReuseShare reuse = new ReuseShare();
  final WorkEstimates estimates;
  private double evictedShare;
  private long ticked;
  private long awake;
  private boolean pumping;
  private boolean pumpAgain;

  /** Not ready any more, though requests are still taken that end in time. */
  public boolean leaving;

  /** When whatever still runs is cut off, on this relay's clock, once it is leaving. */
  private long drainsUntilMs = Long.MAX_VALUE;

  /** Records that have ended, for whoever hands them on. */
  public Consumer<Decision> reasons = decision -> {};

  public Relay(
      Clock clock,
      StateSubscription news,
      Function<Relay, Backends> backends,
      String zone,
      RelaySettings settings,
      IntSupplier relays) {
    this.relays = relays;
    this.stores = new PrefixStores(relays);
    this.settings = settings;
    this.budget = new RetryBudget(() -> this.settings, relays);
    this.ticked = clock.now();
    this.awake = ticked;
    this.clock = clock;
    this.news = news;
    this.zone = zone;
    this.backends = backends.apply(this);
    this.estimates = new WorkEstimates(this.backends, reuse);
  }

  public ControlStateSnapshot tables() {
    return news.tables();
  }

  /** Empty where requests may start now, else the reason why not. */
  public String unready() {
    ControlStateSnapshot snapshot = tables();
    if (snapshot.configurationNumber() == 0) return "no policy yet";
    if (snapshot.replicasNumber() == 0) return "no list of replicas yet";
    if (!news.leases.valid(clock.now())) return "no licence";
    return "";
  }

  /** Not ready from now on; whatever still runs then is cut off at a time on this relay's clock. */
  public void leave(long untilMs) {
    leaving = true;
    drainsUntilMs = untilMs;
  }

  /**
   * Why a request that nothing was passed on of is better begun elsewhere, as it may last longer
   * than this relay, or null. Its deadline counts, the only end that is certain.
   */
  FilterResult refusalIfItMayOutlastThis(Request request) {
    return request.deadline > drainsUntilMs
        ? FilterResult.notRun(503, "stopping before it has to end", FilterResult.RETRY_AT_ONCE_MS)
        : null;
  }

  /** What a request is told for whose model nobody named weights. */
  FilterResult refusalForWantOfWeights(Request request) {
    return FilterResult.notRun(
        503, "no weights are named for " + request.model, retryAdvice.untilStateMs());
  }

  /**
   * The weights of a model that a request may run on now: the newest, and until the cutoff those
   * before; null where there are none. Where nobody has to name weights first, those that replicas
   * tell of stand until somebody does.
   */
  public String[] weights(String model) {
    Weights.Assignment n = tables().weights().of(model);
    if (n == null) return settings.anyWeights() ? new String[] {backends.newest(model), ""} : null;
    String before =
        n.previous().isEmpty() && settings.anyWeights()
            ? backends.newestBelow(model, n.current())
            : n.previous();
    return new String[] {n.current(), clock.now() < news.leases.cutoffAt() ? before : ""};
  }

  /** Whether a request may begin on these weights now. */
  public boolean mayRun(String model, String w) {
    return mayRun(weights(model), w);
  }

  /** As above, with what {@link #weights} gave for the model; may is null where it gave none. */
  static boolean mayRun(String[] may, String w) {
    return may != null && !w.isEmpty() && (w.equals(may[0]) || w.equals(may[1]));
  }

  /**
   * Whether a replica runs weights on which requests may begin now, of any model it serves. Looking
   * for the newest weights reads all replicas, so a caller that asks about each of them hands in a
   * map that lives for this one look.
   */
  private boolean runs(Backend backend, Map<String, String[]> may) {
    for (String m : backend.weights.keySet())
      if (mayRun(may.computeIfAbsent(m, this::weights), weightsOf(backend, m))) return true;
    return false;
  }

  /**
   * The weights a replica is taken to run: what it or the list last told, but once it has had its
   * turn to take newer ones, those; it says so if it doesn't yet, and then is left alone for a
   * moment.
   */
  public String weightsOf(Backend backend, String model) {
    String told = backend.weights(model);
    Weights.Assignment n = backend.reports ? null : tables().weights().of(model);
    if (n == null || told.isEmpty() || !Backend.newer(n.current(), told)) return told;
    long now = clock.now();
    return !backend.saidOld(now) && now >= turn(backend) + LOADS ? n.current() : told;
  }

  /**
   * Whether a replica's turn to take newer weights has come, or is about to, and neither it nor the
   * list has told yet that it runs them. What runs there ends first, and until it has loaded it
   * turns away what is new: better left alone.
   */
  public boolean loads(Backend backend, String model) {
    Weights.Assignment n = backend.reports ? null : tables().weights().of(model);
    if (n == null
        || backend.weights(model).isEmpty()
        || !Backend.newer(n.current(), backend.weights(model))) return false;
    return clock.now() >= turn(backend) - BEFORE;
  }

  /**
   * When a replica's turn to take the named weights comes, on this relay's clock; in the past where
   * it has.
   */
  private long turn(Backend b) {
    long named = news.leases.cutoffAt() - settings.cutoffMs();
    if (clock.now() >= news.leases.cutoffAt()) return clock.now() - LOADS;
    List<String> all =
        backends.of(b.replica.service()).stream().map(x -> x.replica.instance()).toList();
    return named + settings.roll().dueMs(settings.roll().partOf(b.replica.instance(), all));
  }

  /**
   * Where a holder of kept prompts is called: a replica's or a store's address and zone; or null.
   */
  public Replica holder(String name) {
    Replica p = tables().replicas().find(name);
    if (p != null) return p;
    Configuration.Service s = tables().configuration().service(name);
    return s == null || s.storeAddress() == null ? null : Holders.store(s);
  }

  /**
   * The first piece of a request came so many ms after it was handed over: what is learned of its
   * replica.
   */
  public void firstPiece(Request request, Backend backend, long ms) {
    if (backend.reports) return;
    double rest = ms - request.queueMs;
    PrefixStore store = stores.find(request.fetchFrom);
    if (request.fetchBlocks > 0 && rest > 4 * request.workMs + 250) {
      if (store == null) backend.slowLink(clock.now());
      else store.link().slow(clock.now());
    }
    if (request.fetchBlocks > 0 || !settings.has(Mechanism.LEARNED_SPEED)) return;
    estimates.firstPieceCame(request, ms);
  }

  /** What an index told of the replicas of a service; one it doesn't name is free. */
  void fleet(String service, Lookup.FleetLoad fleet) {
    evictedShare = fleet.evictionRatio();
    if (!settings.has(Mechanism.FLEET_LOADS) || fleet.equals(Lookup.FleetLoad.UNKNOWN)) return;
    Map<String, Lookup.Load> busy = new HashMap<>();
    for (Lookup.Load load : fleet.loads()) busy.put(load.holder(), load);
    long now = clock.now();
    for (Backend backend : backends.of(service)) {
      String instance = backend.replica.instance();
      backend.fleetLoad(busy.getOrDefault(instance, new Lookup.Load(instance, 0, 0, 0)), now);
    }
  }

  /** Of the blocks that holders stored lately, the share that drove another out. */
  double evictedShare() {
    return evictedShare;
  }

  /** How urgent replicas are told that a request is, by the newest configuration; 0 is first. */
  public int urgency(Request request) {
    return urgencyLevels.of(request);
  }

  public WaitQueue queue(String service) {
    return queues.computeIfAbsent(
        service,
        text -> {
          WaitQueue b = new WaitQueue(settings.queueMost());
          b.shape(tables().configuration());
          return b;
        });
  }

  public void begin(Request request) {
    live.put(request.decision.nr, request);
  }

  public List<Request> live() {
    return new ArrayList<>(live.values());
  }

  /** The request's end: its place is free. */
  public void ended(Request request) {
    if (live.remove(request.decision.nr) == null) return;
    request.state.end();
    if (request.admitted) {
      request.admitted = false;
      queue(request.service.name()).release(request);
      if (request.backend == null) admitted.merge(request.service.name(), -1, Integer::sum);
      if (request.decision.outcome().equals("complete")) estimates.completed(request, clock.now());
    }
    drop(request);
    if (request.pausedTooLong())
      request.decision.add(
          "paused",
          clock.now(),
          Json.object()
              .add("ms", request.longestPauseMs())
              .add("endedMs", request.longestPauseEndedMs())
              .add("allowedMs", request.route.eventGapTargetMs()));
    request.decision.end();
    reasons.accept(request.decision);
    pump();
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
  public void drop(Request request) {
    if (request.backend == null) return;
    request.backend.mine = Math.max(0, request.backend.mine - 1);
    request.backend.gives(request.units());
    request.backend = null;
    if (request.admitted) admitted.merge(request.service.name(), 1, Integer::sum);
  }

  public void choose(Request request, Backend backend, double ms) {
    drop(request);
    backend.takes(request.units());
    request.backend = backend;
    backend.mine++;
    backend.owes(ms, clock.now());
    admitted.merge(request.service.name(), -1, Integer::sum);
  }

  private int places(String service) {
    int n = 0;
    for (Backend backend : backends.of(service))
      if (backend.usable(clock.now())) n += backend.places();
    return n;
  }

  /**
   * Tells what waits and is seen here, and takes the fleet's division; with none fresh, an equal
   * part.
   */
  private void divide(long now, long passed) {
    List<StateUpdate.QuotaDemand> ds = new ArrayList<>();
    List<StateUpdate.ServiceCapacity> ps = new ArrayList<>();
    for (Map.Entry<String, WaitQueue> e : queues.entrySet()) {
      String text = e.getKey();
      e.getValue()
          .waitingAndUsed()
          .forEach((leaf, n) -> ds.add(new StateUpdate.QuotaDemand(text, leaf, n[0], n[1])));
      ps.add(new StateUpdate.ServiceCapacity(text, places(text)));
      StateSubscription.Allotment a = news.allotment(text);
      if (settings.alone() || a == null || now - a.at() > STALE || !a.full())
        e.getValue().unbound();
      else e.getValue().bound(a.milli(), passed, estimates.requestMs(text));
    }
    news.demand(List.copyOf(ds), List.copyOf(ps));
  }

  /**
   * By service and leaf: waiting and using here, and the part of places the fleet's division leaves
   * this relay, if it bounds.
   */
  public JsonObject shares() {
    JsonObject o = Json.object();
    long now = clock.now();
    for (Map.Entry<String, WaitQueue> e : queues.entrySet()) {
      StateSubscription.Allotment a = news.allotment(e.getKey());
      boolean fresh = a != null && now - a.at() <= STALE;
      JsonObject l = Json.object();
      e.getValue()
          .waitingAndUsed()
          .forEach(
              (leaf, n) -> {
                JsonObject x = Json.object().add("waiting", n[0]).add("using", n[1]);
                if (fresh && a.full()) x.add("part", a.milli().getOrDefault(leaf, 1000) / 1000.0);
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
  private int equalPart(String service) {
    StateSubscription.Allotment a = news.allotment(service);
    if (settings.alone()) return Integer.MAX_VALUE;
    if (a != null && clock.now() - a.at() <= STALE) return Integer.MAX_VALUE;
    int n = Math.max(1, relays.getAsInt());
    return (places(service) + n - 1) / n;
  }

  public int free(String service) {
    Configuration.Service s = tables().configuration().service(service);
    boolean model = s == null || s.kind() == Configuration.Kind.MODEL;
    Map<String, String[]> may = new HashMap<>();
    return Math.min(
        backends.free(service, backend -> !model || runs(backend, may))
            - admitted.getOrDefault(service, 0),
        equalPart(service) - queue(service).used());
  }

  /**
   * How long a request would wait for a place if it joined the queue now, in ms: until one comes
   * free, and for what goes before it.
   */
  double waitMs(Request request) {
    String service = request.service.name();
    WaitQueue queue = queue(service);
    if (queue.size() == 0 && free(service) > 0) return 0;
    return queue.waitMs(request, estimates.requestMs(service), equalPartOfListed(service));
  }

  /** As much of the places of all replicas, usable now or not, as if all relays asked alike. */
  private int equalPartOfListed(String service) {
    int listed = 0;
    for (Backend backend : backends.of(service)) listed += backend.places();
    return listed / Math.max(1, relays.getAsInt());
  }

  /** Gives free places to those that wait, as the share tree says. */
  public void pump() {
    if (pumping) {
      pumpAgain = true;
      return;
    }
    pumping = true;
    try {
      do {
        pumpAgain = false;
        for (Map.Entry<String, WaitQueue> e : new ArrayList<>(queues.entrySet())) places(e);
      } while (pumpAgain);
    } finally {
      // whatever goes wrong with one request, those behind it are not left waiting for ever
      pumping = false;
    }
  }

  private void places(Map.Entry<String, WaitQueue> e) {
    while (e.getValue().size() > 0 && free(e.getKey()) > 0) {
      Request request = e.getValue().next();
      if (request == null) break;
      request.admitted = true;
      admitted.merge(e.getKey(), 1, Integer::sum);
      request.leaveQueue.accept(FilterResult.GO);
    }
  }

  /** The caller went away: nothing is left to be done for its request. */
  public void gone(Request request) {
    request.gone = true;
    State.At at = request.state.at();
    if (at == State.At.ENDED) return;
    request.decision.add(
        "caller-gone", clock.now(), Json.object().add("pieces", request.piecesOut));
    if (at == State.At.WAITING) stop(request, "the caller went away", 499);
    else if (request.state.end()) {
      request.decision.outcome("caller-gone");
      request.cancel.run();
      ended(request);
    }
  }

  /** The way of a request through this relay. */
  public FilterChain way(Lookups lookups, ChoiceMode mode, Exchange exchange) {
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
        this::ended);
  }

  /** A new snapshot: back ends, shares, and what it forbids of requests under way. */
  public void tables(ControlStateSnapshot snapshot) {
    backends.tables(snapshot);
    stores.tables(snapshot, clock.now());
    if (snapshot.configurationNumber() != shaped.configurationNumber()) {
      urgencyLevels = new UrgencyLevels(snapshot.configuration());
      for (WaitQueue b : queues.values()) b.shape(snapshot.configuration());
      for (Request request : live()) {
        if (request.tenant == null || request.route != null && request.route.allowsAnonymous())
          continue;
        Configuration.Tenant n = snapshot.configuration().tenantByKeyHash(request.keyHash);
        boolean runs =
            request.state.at() == State.At.HANDED || request.state.at() == State.At.STREAMING;
        if ((n == null || !n.name().equals(request.tenant.name()))
            && (settings.cutsStreams() || !runs)) stop(request, "key revoked", 401);
      }
    }
    shaped = snapshot;
    pump();
  }

  /** Ends a request wherever it is: refused from the queue, or cut off at the replica. */
  public void stop(Request o, String why, int status) {
    State.At at = o.state.at();
    if (at == State.At.WAITING && !o.admitted && o.leaveQueue != null) {
      for (Request x : queue(o.service.name()).leave(y -> y == o))
        x.leaveQueue.accept(
            FilterResult.notRun(status, why, status == 401 ? 0 : retryAdvice.untilStateMs()));
    } else if (at == State.At.HANDED || at == State.At.STREAMING) cutOff(o, why);
    // an admitted request still waiting meets the same check at the hand-over
  }

  public void cutOff(Request request, String why) {
    boolean streaming = request.state.at() == State.At.STREAMING;
    if (!request.state.end()) return;
    // the reason first: letting the replica go may end the request's record on the spot
    request.decision.add(
        "cut-off", clock.now(), Json.object().add("why", why).add("pieces", request.piecesOut));
    request.decision.outcome(streaming ? "cut-off" : "unknown");
    request.why = why;
    request.cancel.run();
    if (!request.gone) {
      if (streaming) request.caller.cutOff(request, why);
      else
        request.caller.refuse(
            request,
            (FilterResult.Refuse)
                FilterResult.unknown(
                    request.deadline <= clock.now() ? 504 : 502,
                    why,
                    retryAdvice.untilRoomMs(request)));
    }
    ended(request);
  }

  /**
   * Its deadline passed while a connection was awaited: the caller is told at once, and when the
   * connection is up nothing leaves on it.
   */
  private void expireUnsent(Request request) {
    if (!request.state.end()) return;
    FilterResult.Refuse v =
        ((FilterResult.Refuse)
                FilterResult.notRun(503, EXPIRED_UNSENT, retryAdvice.untilRoomMs(request)))
            .afterTriesOf(request);
    request.decision.add(
        "turned-away",
        clock.now(),
        Json.object().add("status", v.status()).add("reason", v.reason()));
    request.decision.outcome(v.outcome());
    request.why = v.reason();
    if (!request.gone) request.caller.refuse(request, v);
    ended(request);
  }

  /** What waits and can't end in time any more is told so at once, so that its caller can go on. */
  private void refuseTooLate(long now) {
    if (!settings.has(Mechanism.EARLY_REFUSAL)) return;
    for (WaitQueue queue : queues.values())
      for (Request request : queue.leave(waiting -> now > waiting.latestStartMs()))
        request.leaveQueue.accept(
            FilterResult.notRun(503, EXPIRED_UNPLACED, retryAdvice.untilRoomMs(request)));
  }

  /**
   * Called a few times a second: deadlines, and streams whose right to go on can't be known any
   * more.
   */
  public void tick() {
    long now = clock.now();
    divide(now, now - ticked);
    // after a pause of its own, replicas are given the time to say that they are there
    if (now - ticked > ASLEEP) awake = now;
    ticked = now;
    refuseTooLate(now);
    for (Request o : live()) {
      if (o.deadline > 0 && now >= o.deadline) {
        State.At at = o.state.at();
        if (at == State.At.WAITING && !o.admitted && o.leaveQueue != null) {
          for (Request x : queue(o.service.name()).leave(y -> y == o))
            x.leaveQueue.accept(
                FilterResult.notRun(503, "expired in the backlog", retryAdvice.untilRoomMs(x)));
        } else if (at == State.At.HANDED || at == State.At.STREAMING) cutOff(o, "expired");
        else if (at == State.At.WAITING && o.admitted) expireUnsent(o);
      } else if (o.backend != null
          && o.backend.silent(now, awake)
          && o.state.at() != State.At.WAITING) o.lost.accept("has fallen silent");
    }
    if (settings.cutsStreams() && now - news.leases.until(StateKeys.CONFIGURATION) > GRACE)
      for (Request o : live())
        if (o.tenant != null) stop(o, "no licence for so long that keys can't be known", 503);
    pump();
  }
}
