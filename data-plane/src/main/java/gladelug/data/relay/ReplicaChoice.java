package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The filter that chooses the replica: of those that may run the request, the one with the least
 * estimated ms of queue, prefill or pull, and distance, as {@link ReplicaCosts} has it.
 */
public final class ReplicaChoice implements RequestFilter.Synchronous {
  private static final String[] NO_WEIGHTS = {"", ""};

  /** Spreads equal options over replicas, differently for each request (Knuth's constant). */
  private static final int SPREAD_MULTIPLIER = 0x9E3779B1;

  /** How many options a decision record shows. */
  private static final int MAX_RECORDED_OPTIONS = 4;

  private final Relay relay;
  private final ChoiceMode choiceMode;
  private final Lookups lookups;
  private final ReplicaCosts costs;

  public ReplicaChoice(Relay relay, ChoiceMode mode, Lookups lookups) {
    this.relay = relay;
    this.choiceMode = mode;
    this.lookups = lookups;
    this.costs = new ReplicaCosts(relay, mode);
  }

  @Override
  public String name() {
    return "choice";
  }

  @Override
  public FilterResult decide(Request request) {
    long now = relay.clock.now();
    if (now >= request.deadlineMs)
      return FilterResult.notRun(
          503, "expired before a replica was chosen", relay.retryAdvice.msUntilRoom(request));
    boolean model = request.service.kind() == Configuration.Kind.MODEL;
    String[] may = model ? relay.allowedWeights(request.model) : NO_WEIGHTS;
    if (may == null) return relay.refusalForMissingWeights(request);
    List<ReplicaOption> options = options(request, model, may, now);
    if (options.isEmpty()) return refusal(request, now);
    ReplicaOption chosen = cheapest(request, options);
    assign(request, chosen, model, now);
    record(request, chosen, options, now);
    return FilterResult.CONTINUE;
  }

  private List<ReplicaOption> options(Request request, boolean model, String[] may, long now) {
    Backend only = request.requiredBackend;
    request.requiredBackend = null;
    List<ReplicaOption> options = new ArrayList<>();
    boolean newest = false;
    for (Backend backend : relay.backends.readyReplicas(request.service.name())) {
      if (!backend.isUsable(now) || backend.freeSlots() == 0 && backend != request.backend)
        continue;
      if (only != null && backend != only) continue;
      String runs = relay.effectiveWeights(backend, request.model);
      if (model && !Relay.mayRun(may, runs)) continue;
      newest |= model && relay.settings.prefersNewestWeights() && runs.equals(may[0]);
      options.add(costs.estimate(request, backend, now));
    }
    if (newest)
      options.removeIf(x -> !relay.effectiveWeights(x.backend(), request.model).equals(may[0]));
    return options;
  }

  private FilterResult refusal(Request request, long now) {
    List<Backend> all = relay.backends.readyReplicas(request.service.name());
    return FilterResult.notRun(
        503,
        all.stream().anyMatch(backend -> backend.isUsable(now))
            ? "no replica with the right weights has a place"
            : all.stream().anyMatch(backend -> backend.stateKnown && now < backend.ejectedUntilMs)
                ? "every replica has just failed or turned an order away"
                : "no replica answers",
        relay.retryAdvice.msUntilRoom(request));
  }

  private ReplicaOption cheapest(Request request, List<ReplicaOption> options) {
    Comparator<ReplicaOption> first =
        switch (choiceMode) {
          case SUMMARY -> Comparator.comparingDouble(ReplicaOption::totalMs);
          case LEAST_LOAD -> Comparator.comparingInt(x -> x.backend().load());
          case HOLDER_ALWAYS -> Comparator.comparingInt(x -> -x.matchedBlocks());
        };
    options.sort(
        first
            .thenComparing(x -> x.backend().load())
            .thenComparing(x -> spread(request, x.backend())));
    return options.get(0);
  }

  private static int spread(Request request, Backend backend) {
    return (backend.replica.instance().hashCode() ^ (int) request.decision.number)
        * SPREAD_MULTIPLIER;
  }

  private void assign(Request request, ReplicaOption chosen, boolean model, long now) {
    Backend backend = chosen.backend();
    request.maxHeldUnits = 0;
    for (Lookup.Match match : request.matches)
      request.maxHeldUnits = Math.max(request.maxHeldUnits, ReplicaCosts.keptUnits(request, match));
    if (model) {
      assignPrompt(request, chosen);
      relay.reuseShare.recordRequest(request.promptUnits(), request.maxHeldUnits);
    }
    if (request.fetchBlocks > 0) reservePull(request, chosen, now);
    if (model && relay.settings.isEnabled(Mechanism.STORE_SAVE)) reserveSave(request, chosen, now);
    request.computeUnits = chosen.computeUnits();
    request.workMs = chosen.prefillMs();
    request.queueMs = chosen.queueMs();
    request.runningOnBackend = backend.runningRequests(now);
    relay.assignReplica(request, backend, chosen.prefillMs());
    if (backend.reportsLoad) return;
    if (!relay.settings.isEnabled(Mechanism.RECENT_PLACEMENTS)) return;
    relay.placements.recordPlacement(request.blockKeys, backend.replica.instance(), now);
    lookups.recordPlacement(
        backend.replica.instance(), request.blockKeys, relay.estimates.placedWork(request));
  }

  private void reservePull(Request request, ReplicaOption chosen, long now) {
    Backend backend = chosen.backend();
    backend.recordPull(request.fetchFrom, now);
    PrefixStore store = relay.stores.find(request.fetchFrom);
    if (store == null) return;
    int units = request.promptUnits() - chosen.computeUnits();
    store.link().spend(units * store.transferMsPerUnit(backend), now);
  }

  private void reserveSave(Request request, ReplicaOption chosen, long now) {
    Backend backend = chosen.backend();
    request.saveTo = "";
    PrefixStore store = relay.stores.chooseSaveTarget(request, chosen, now);
    if (store == null) return;
    request.saveTo = store.name();
    store.link().spend(request.promptUnits() * store.transferMsPerUnit(backend), now);
  }

  private void assignPrompt(Request request, ReplicaOption chosen) {
    Backend backend = chosen.backend();
    String runs = relay.effectiveWeights(backend, request.model);
    boolean same = runs.equals(request.weights);
    if (!same)
      request.blockKeys =
          request.prompt.blockKeys(request.model, runs, request.cacheScope, backend.blockBytes);
    request.weights = runs;
    request.matchedBlocks = same ? chosen.matchedBlocks() : 0;
    request.fetchFrom = same ? chosen.fetchFrom() : "";
    request.fetchBlocks = same ? chosen.fetchBlocks() : 0;
  }

  private void record(
      Request request, ReplicaOption chosen, List<ReplicaOption> options, long now) {
    JsonArray shown = new JsonArray();
    for (ReplicaOption option : options.subList(0, Math.min(MAX_RECORDED_OPTIONS, options.size())))
      shown.add(option.json(option.equals(chosen)));
    request.decision.add(
        "choice",
        now,
        Json.object()
            .add("replica", chosen.backend().replica.instance())
            .add("weights", request.weights)
            .add("options", shown)
            .add("of", options.size()));
  }
}
