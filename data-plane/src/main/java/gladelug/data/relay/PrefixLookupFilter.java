package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import io.smallrye.mutiny.Uni;

/**
 * Looks up where the prefix of the prompt is cached: a hint of the Cuckoo Summary, awaited for
 * milliseconds.
 */
record PrefixLookupFilter(Relay relay, Lookups lookups) implements RequestFilter {
  private static final long[] NO_BLOCKS = {};

  /** Block size assumed until a replica reports its own, in bytes. */
  static final int DEFAULT_BLOCK_BYTES = 256;

  @Override
  public String name() {
    return "lookup";
  }

  @Override
  public Uni<FilterResult> apply(Request request) {
    if (request.service.kind() != Configuration.Kind.MODEL)
      return Uni.createFrom().item(FilterResult.CONTINUE);
    String[] allowedWeights = relay.allowedWeights(request.model);
    if (allowedWeights == null)
      return Uni.createFrom().item(relay.refusalForMissingWeights(request));
    chooseWeights(request, allowedWeights);
    boolean hints = relay.settings.isEnabled(Mechanism.INDEX_HINTS);
    long askedAtMs = relay.clock.now();
    return lookups
        .ask(
            hints ? request.blockKeys : NO_BLOCKS,
            fleet -> relay.recordFleetLoad(request.service.name(), fleet))
        .map(
            result -> {
              request.lookupMs = relay.clock.now() - askedAtMs;
              applyResult(request, result);
              return FilterResult.CONTINUE;
            });
  }

  /**
   * Sets the weights that will most likely serve the request, and the keys of its blocks under
   * those weights.
   */
  private void chooseWeights(Request request, String[] allowedWeights) {
    long nowMs = relay.clock.now();
    int blockBytes = DEFAULT_BLOCK_BYTES;
    int newest = 0;
    int older = 0;
    for (Backend backend : relay.backends.readyReplicas(request.service.name())) {
      if (!backend.isUsable(nowMs)) continue;
      blockBytes = backend.blockBytes;
      String weights = relay.effectiveWeights(backend, request.model);
      if (weights.equals(allowedWeights[0])) newest++;
      else if (!allowedWeights[1].isEmpty() && weights.equals(allowedWeights[1])) older++;
    }
    boolean toNewest = relay.settings.prefersNewestWeights() ? newest > 0 : newest >= older;
    request.weights = toNewest || older == 0 ? allowedWeights[0] : allowedWeights[1];
    request.blockKeys =
        request.prompt.blockKeys(request.model, request.weights, request.cacheScope, blockBytes);
  }

  private void applyResult(Request request, Lookups.LookupResult result) {
    request.matches = result.matches();
    request.lookupOutcome = result.outcome();
    if (result.isAnswered()) relay.recordFleetLoad(request.service.name(), result.fleet());
    JsonArray matches = new JsonArray();
    for (Lookup.Match match : result.matches())
      matches.add(
          Json.object()
              .add("holder", match.holder())
              .add("blocks", match.blocks())
              .add("units", match.partialUnits()));
    request.decision.add(
        "lookup",
        relay.clock.now(),
        Json.object()
            .add("weights", request.weights)
            .add("blocks", request.blockKeys.length)
            .add("index", result.outcome())
            .add("matches", matches));
  }
}
