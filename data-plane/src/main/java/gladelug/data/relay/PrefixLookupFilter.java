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
  static final int USUAL_BLOCK_BYTES = 256;

  @Override
  public String name() {
    return "lookup";
  }

  @Override
  public Uni<FilterResult> pass(Request request) {
    if (request.service.kind() != Configuration.Kind.MODEL)
      return Uni.createFrom().item(FilterResult.GO);
    String[] mayRun = relay.weights(request.model);
    if (mayRun == null) return Uni.createFrom().item(relay.refusalForWantOfWeights(request));
    chooseWeights(request, mayRun);
    boolean hints = relay.settings.has(Mechanism.INDEX_HINTS);
    long askedAt = relay.clock.now();
    return lookups
        .ask(
            hints ? request.blocks : NO_BLOCKS, fleet -> relay.fleet(request.service.name(), fleet))
        .map(
            found -> {
              request.lookupMs = relay.clock.now() - askedAt;
              take(request, found);
              return FilterResult.GO;
            });
  }

  /** The weights that most likely serve it, and the keys of its blocks under those. */
  private void chooseWeights(Request request, String[] mayRun) {
    long now = relay.clock.now();
    int blockBytes = USUAL_BLOCK_BYTES;
    int newest = 0;
    int older = 0;
    for (Backend backend : relay.backends.of(request.service.name())) {
      if (!backend.usable(now)) continue;
      blockBytes = backend.blockBytes;
      String runs = relay.weightsOf(backend, request.model);
      if (runs.equals(mayRun[0])) newest++;
      else if (!mayRun[1].isEmpty() && runs.equals(mayRun[1])) older++;
    }
    boolean toNewest = relay.settings.prefersNewest() ? newest > 0 : newest >= older;
    request.weights = toNewest || older == 0 ? mayRun[0] : mayRun[1];
    request.blocks =
        request.prompt.keys(request.model, request.weights, request.cacheScope, blockBytes);
  }

  private void take(Request request, Lookups.Found found) {
    request.matches = found.matches();
    request.lookupAnswer = found.how();
    if (found.answered()) relay.fleet(request.service.name(), found.fleet());
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
            .add("blocks", request.blocks.length)
            .add("index", found.how())
            .add("matches", matches));
  }
}
