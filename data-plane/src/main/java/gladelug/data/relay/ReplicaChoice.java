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
 * Chooses the replica with the lowest estimated cost, by queueing, prefill or pull, and distance as
 * computed by {@link ReplicaCosts}, among those that may run the request.
 */
public final class ReplicaChoice implements RequestFilter.Synchronous {
  private static final String[] NO_WEIGHTS = {"", ""};

  /**
   * Multiplier that spreads equal options over replicas differently for each request (Knuth's
   * multiplicative hash).
   */
  private static final int SPREAD_MULTIPLIER = 0x9E3779B1;

  /** Maximum number of options in a decision record. */
  private static final int MAX_RECORDED_OPTIONS = 4;

  private final Relay relay;
  private final ChoiceMode choiceMode;
  private final Lookups lookups;
  private final ReplicaCosts costs;

  public ReplicaChoice(Relay relay, ChoiceMode choiceMode, Lookups lookups) {
    this.relay = relay;
    this.choiceMode = choiceMode;
    this.lookups = lookups;
    this.costs = new ReplicaCosts(relay, choiceMode);
  }

  @Override
  public String name() {
    return "choice";
  }

  @Override
  public FilterResult decide(Request request) {
    long nowMs = relay.clock.now();
    if (nowMs >= request.deadlineMs)
      return FilterResult.notRun(
          503,
          "the deadline passed before a replica was chosen",
          relay.retryAdvice.msUntilRoom(request));
    boolean model = request.service.kind() == Configuration.Kind.MODEL;
    String[] allowedWeights = model ? relay.allowedWeights(request.model) : NO_WEIGHTS;
    if (allowedWeights == null) return relay.refusalForMissingWeights(request);
    List<ReplicaOption> options = options(request, model, allowedWeights, nowMs);
    if (options.isEmpty()) return refusal(request, nowMs);
    ReplicaOption chosen = cheapest(request, options);
    assign(request, chosen, model, nowMs);
    record(request, chosen, options, nowMs);
    return FilterResult.CONTINUE;
  }

  private List<ReplicaOption> options(
      Request request, boolean model, String[] allowedWeights, long nowMs) {
    Backend only = request.requiredBackend;
    request.requiredBackend = null;
    List<ReplicaOption> options = new ArrayList<>();
    boolean newestAvailable = false;
    for (Backend backend : relay.backends.readyReplicas(request.service.name())) {
      if (!backend.isUsable(nowMs) || backend.freeSlots() == 0 && backend != request.backend)
        continue;
      if (only != null && backend != only) continue;
      String weights = relay.effectiveWeights(backend, request.model);
      if (model && !Relay.mayRun(allowedWeights, weights)) continue;
      newestAvailable |=
          model && relay.settings.prefersNewestWeights() && weights.equals(allowedWeights[0]);
      options.add(costs.estimate(request, backend, nowMs));
    }
    if (newestAvailable)
      options.removeIf(
          option ->
              !relay.effectiveWeights(option.backend(), request.model).equals(allowedWeights[0]));
    return options;
  }

  private FilterResult refusal(Request request, long nowMs) {
    List<Backend> all = relay.backends.readyReplicas(request.service.name());
    return FilterResult.notRun(
        503,
        all.stream().anyMatch(backend -> backend.isUsable(nowMs))
            ? "no replica with permitted weights has a free slot"
            : all.stream().anyMatch(backend -> backend.stateKnown && nowMs < backend.ejectedUntilMs)
                ? "every replica recently failed or refused a request"
                : "no replica answers",
        relay.retryAdvice.msUntilRoom(request));
  }

  private ReplicaOption cheapest(Request request, List<ReplicaOption> options) {
    Comparator<ReplicaOption> first =
        switch (choiceMode) {
          case SUMMARY -> Comparator.comparingDouble(ReplicaOption::totalMs);
          case LEAST_LOAD -> Comparator.comparingInt(option -> option.backend().load());
          case HOLDER_ALWAYS -> Comparator.comparingInt(option -> -option.matchedBlocks());
        };
    options.sort(
        first
            .thenComparing(option -> option.backend().load())
            .thenComparing(option -> spread(request, option.backend())));
    return options.get(0);
  }

  private static int spread(Request request, Backend backend) {
    return (backend.replica.instance().hashCode() ^ (int) request.decision.number)
        * SPREAD_MULTIPLIER;
  }

  private void assign(Request request, ReplicaOption chosen, boolean model, long nowMs) {
    Backend backend = chosen.backend();
    request.maxHeldUnits = 0;
    for (Lookup.Match match : request.matches)
      request.maxHeldUnits = Math.max(request.maxHeldUnits, ReplicaCosts.keptUnits(request, match));
    if (model) {
      assignPrompt(request, chosen);
      relay.reuseShare.recordRequest(request.promptUnits(), request.maxHeldUnits);
    }
    if (request.fetchBlocks > 0) reservePull(request, chosen, nowMs);
    if (model && relay.settings.isEnabled(Mechanism.STORE_SAVE))
      reserveSave(request, chosen, nowMs);
    request.computeUnits = chosen.computeUnits();
    request.workMs = chosen.prefillMs();
    request.queueMs = chosen.queueMs();
    request.runningOnBackend = backend.runningRequests(nowMs);
    relay.assignReplica(request, backend, chosen.prefillMs());
    if (backend.reportsLoad) return;
    if (!relay.settings.isEnabled(Mechanism.RECENT_PLACEMENTS)) return;
    relay.placements.recordPlacement(request.blockKeys, backend.replica.instance(), nowMs);
    lookups.recordPlacement(
        backend.replica.instance(), request.blockKeys, relay.estimates.placedWork(request));
  }

  private void reservePull(Request request, ReplicaOption chosen, long nowMs) {
    Backend backend = chosen.backend();
    backend.recordPull(request.fetchFrom, nowMs);
    PrefixStore store = relay.stores.find(request.fetchFrom);
    if (store == null) return;
    int units = request.promptUnits() - chosen.computeUnits();
    store.link().spend(units * store.transferMsPerUnit(backend), nowMs);
  }

  private void reserveSave(Request request, ReplicaOption chosen, long nowMs) {
    Backend backend = chosen.backend();
    request.saveTo = "";
    PrefixStore store = relay.stores.chooseSaveTarget(request, chosen, nowMs);
    if (store == null) return;
    request.saveTo = store.name();
    store.link().spend(request.promptUnits() * store.transferMsPerUnit(backend), nowMs);
  }

  private void assignPrompt(Request request, ReplicaOption chosen) {
    Backend backend = chosen.backend();
    String weights = relay.effectiveWeights(backend, request.model);
    boolean sameWeights = weights.equals(request.weights);
    if (!sameWeights)
      request.blockKeys =
          request.prompt.blockKeys(request.model, weights, request.cacheScope, backend.blockBytes);
    request.weights = weights;
    request.matchedBlocks = sameWeights ? chosen.matchedBlocks() : 0;
    request.fetchFrom = sameWeights ? chosen.fetchFrom() : "";
    request.fetchBlocks = sameWeights ? chosen.fetchBlocks() : 0;
  }

  private void record(
      Request request, ReplicaOption chosen, List<ReplicaOption> options, long nowMs) {
    JsonArray shown = new JsonArray();
    for (ReplicaOption option : options.subList(0, Math.min(MAX_RECORDED_OPTIONS, options.size())))
      shown.add(option.json(option.equals(chosen)));
    request.decision.add(
        "choice",
        nowMs,
        Json.object()
            .add("replica", chosen.backend().replica.instance())
            .add("weights", request.weights)
            .add("options", shown)
            .add("of", options.size()));
  }
}
