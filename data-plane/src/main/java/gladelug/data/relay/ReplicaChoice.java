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
  private static final int SPREAD = 0x9E3779B1;

  /** How many options a decision record shows. */
  private static final int SHOWN = 4;

  private final Relay relay;
  private final ChoiceMode mode;
  private final Lookups lookups;
  private final ReplicaCosts costs;

  public ReplicaChoice(Relay relay, ChoiceMode mode, Lookups lookups) {
    this.relay = relay;
    this.mode = mode;
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
          503, "expired before a replica was chosen", relay.retryAdvice.untilRoomMs(request));
    boolean model = request.service.kind() == Configuration.Kind.MODEL;
    String[] may = model ? relay.weights(request.model) : NO_WEIGHTS;
    if (may == null) return relay.refusalForWantOfWeights(request);
    List<ReplicaOption> options = options(request, model, may, now);
    if (options.isEmpty()) return none(request, now);
    ReplicaOption chosen = best(request, options);
    take(request, chosen, model, now);
    record(request, chosen, options, now);
    return FilterResult.CONTINUE;
  }

  private List<ReplicaOption> options(Request request, boolean model, String[] may, long now) {
    Backend only = request.requiredBackend;
    request.requiredBackend = null;
    List<ReplicaOption> options = new ArrayList<>();
    boolean newest = false;
    for (Backend backend : relay.backends.of(request.service.name())) {
      if (!backend.usable(now) || backend.free() == 0 && backend != request.backend) continue;
      if (only != null && backend != only) continue;
      String runs = relay.weightsOf(backend, request.model);
      if (model && !Relay.mayRun(may, runs)) continue;
      newest |= model && relay.settings.prefersNewest() && runs.equals(may[0]);
      options.add(costs.option(request, backend, now));
    }
    if (newest) options.removeIf(x -> !relay.weightsOf(x.backend(), request.model).equals(may[0]));
    return options;
  }

  private FilterResult none(Request request, long now) {
    List<Backend> all = relay.backends.of(request.service.name());
    return FilterResult.notRun(
        503,
        all.stream().anyMatch(backend -> backend.usable(now))
            ? "no replica with the right weights has a place"
            : all.stream().anyMatch(backend -> backend.known && now < backend.badUntil)
                ? "every replica has just failed or turned an order away"
                : "no replica answers",
        relay.retryAdvice.untilRoomMs(request));
  }

  private ReplicaOption best(Request request, List<ReplicaOption> options) {
    Comparator<ReplicaOption> first =
        switch (mode) {
          case SUMMARY -> Comparator.comparingDouble(ReplicaOption::totalMs);
          case LEAST_LOAD -> Comparator.comparingInt(x -> x.backend().load());
          case HOLDER_ALWAYS -> Comparator.comparingInt(x -> -x.matched());
        };
    options.sort(
        first
            .thenComparing(x -> x.backend().load())
            .thenComparing(x -> spread(request, x.backend())));
    return options.get(0);
  }

  private static int spread(Request request, Backend backend) {
    return (backend.replica.instance().hashCode() ^ (int) request.decision.number) * SPREAD;
  }

  private void take(Request request, ReplicaOption chosen, boolean model, long now) {
    Backend backend = chosen.backend();
    request.maxHeldUnits = 0;
    for (Lookup.Match match : request.matches)
      request.maxHeldUnits = Math.max(request.maxHeldUnits, ReplicaCosts.units(request, match));
    if (model) {
      takePrompt(request, chosen);
      relay.reuse.seen(request.promptUnits(), request.maxHeldUnits);
    }
    if (request.fetchBlocks > 0) pull(request, chosen, now);
    if (model && relay.settings.has(Mechanism.STORE_SAVE)) save(request, chosen, now);
    request.computeUnits = chosen.computeUnits();
    request.workMs = chosen.prefillMs();
    request.queueMs = chosen.queueMs();
    request.runningOnBackend = backend.running(now);
    relay.choose(request, backend, chosen.prefillMs());
    if (backend.reports) return;
    if (!relay.settings.has(Mechanism.RECENT_PLACEMENTS)) return;
    relay.placements.recordPlacement(request.blockKeys, backend.replica.instance(), now);
    lookups.placed(backend.replica.instance(), request.blockKeys, relay.estimates.placed(request));
  }

  private void pull(Request request, ReplicaOption chosen, long now) {
    Backend backend = chosen.backend();
    backend.pulls(request.fetchFrom, now);
    PrefixStore store = relay.stores.find(request.fetchFrom);
    if (store == null) return;
    int units = request.promptUnits() - chosen.computeUnits();
    store.link().spend(units * store.unitMs(backend), now);
  }

  private void save(Request request, ReplicaOption chosen, long now) {
    Backend backend = chosen.backend();
    request.saveTo = "";
    PrefixStore store = relay.stores.saveTo(request, chosen, now);
    if (store == null) return;
    request.saveTo = store.name();
    store.link().spend(request.promptUnits() * store.unitMs(backend), now);
  }

  private void takePrompt(Request request, ReplicaOption chosen) {
    Backend backend = chosen.backend();
    String runs = relay.weightsOf(backend, request.model);
    boolean same = runs.equals(request.weights);
    if (!same)
      request.blockKeys =
          request.prompt.blockKeys(request.model, runs, request.cacheScope, backend.blockBytes);
    request.weights = runs;
    request.matchedBlocks = same ? chosen.matched() : 0;
    request.fetchFrom = same ? chosen.fetchFrom() : "";
    request.fetchBlocks = same ? chosen.fetchBlocks() : 0;
  }

  private void record(
      Request request, ReplicaOption chosen, List<ReplicaOption> options, long now) {
    JsonArray shown = new JsonArray();
    for (ReplicaOption option : options.subList(0, Math.min(SHOWN, options.size())))
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
