package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;

/** Records what is pulled in place of computed, as the choice of the replica found it cheaper. */
record FetchPlanFilter(Relay relay) implements RequestFilter.Synchronous {
  @Override
  public String name() {
    return "fetch";
  }

  @Override
  public FilterResult decide(Request request) {
    if (request.service.kind() == Configuration.Kind.MODEL)
      request.decision.add(
          "fetch",
          relay.clock.now(),
          Json.object()
              .add("kept", request.matchedBlocks)
              .add("from", request.fetchFrom)
              .add("pull", request.fetchBlocks)
              .add(
                  "compute",
                  request.blockKeys.length - request.matchedBlocks - request.fetchBlocks));
    return FilterResult.CONTINUE;
  }
}
