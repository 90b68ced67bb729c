package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import io.smallrye.mutiny.Uni;

/** Where the prompt's prefix already is: a hint of the Cuckoo Summary, awaited for milliseconds. */
record PrefixLookupFilter(Relay relay, Lookups lookups) implements RequestFilter {
  private static final long[] NO_BLOCKS = {};

  /** What text is cut into until a replica told otherwise, in bytes. */
  static final int DEFAULT_BLOCK_BYTES = 256;

  @Override
  public String name() {
    return "lookup";
  }

  @Override
  public Uni<FilterResult> apply(Request request) {
    if (request.service.kind() != Configuration.Kind.MODEL)
      return Uni.createFrom().item(FilterResult.CONTINUE);
    String[] mayRun = relay.allowedWeights(request.model);
    if (mayRun == null) return Uni.createFrom().item(relay.refusalForMissingWeights(request));
    chooseWeights(request, mayRun);
    boolean hints = relay.settings.isEnabled(Mechanism.INDEX_HINTS);
    long askedAt = relay.clock.now();
    return lookups
        .ask(
            hints ? request.blockKeys : NO_BLOCKS,
            fleet -> relay.recordFleetLoad(request.service.name(), fleet))
        .map(
            found -> {
              request.lookupMs = relay.clock.now() - askedAt;
              applyResult(request, found);
              return FilterResult.CONTINUE;
            });
  }

  /** The weights that most likely serve it, and the keys of its blocks under those. */
  private void chooseWeights(Request request, String[] mayRun) {
    long now = relay.clock.now();
    int blockBytes = DEFAULT_BLOCK_BYTES;
    int newest = 0;
    int older = 0;
    for (Backend backend : relay.backends.readyReplicas(request.service.name())) {
      if (!backend.isUsable(now)) continue;
      blockBytes = backend.blockBytes;
      String runs = relay.effectiveWeights(backend, request.model);
      if (runs.equals(mayRun[0])) newest++;
      else if (!mayRun[1].isEmpty() && runs.equals(mayRun[1])) older++;
    }
    boolean toNewest = relay.settings.prefersNewestWeights() ? newest > 0 : newest >= older;
    request.weights = toNewest || older == 0 ? mayRun[0] : mayRun[1];
    request.blockKeys =
        request.prompt.blockKeys(request.model, request.weights, request.cacheScope, blockBytes);
  }

  private void applyResult(Request request, Lookups.LookupResult found) {
    request.matches = found.matches();
    request.lookupOutcome = found.outcome();
    if (found.isAnswered()) relay.recordFleetLoad(request.service.name(), found.fleet());
    JsonArray matches = new JsonArray();
    for (Lookup.Match match : found.matches())
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
            .add("index", found.outcome())
            .add("matches", matches));
  }
}
