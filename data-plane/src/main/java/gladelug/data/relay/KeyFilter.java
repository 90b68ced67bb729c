package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import gladelug.data.state.ControlStateSnapshot;
import io.smallrye.mutiny.Uni;

/**
 * Determines the tenant of a request by the hash of its key; the key itself does not go beyond the
 * listener.
 */
record KeyFilter(Relay relay) implements RequestFilter {
  @Override
  public String name() {
    return "key";
  }

  @Override
  public Uni<FilterResult> apply(Request request) {
    String unready = relay.unreadyReason();
    if (unready.isEmpty() || !relay.freshness.isRenewing(relay.settings, relay.clock.now()))
      return Uni.createFrom().item(decide(request, unready));
    return Uni.createFrom()
        .emitter(
            decided ->
                relay.freshness.onRenewalEnded(() -> decided.complete(decideIfWaiting(request))));
  }

  /** Decides on a request whose client may have left while it waited. */
  private FilterResult decideIfWaiting(Request request) {
    return request.callerGone
        ? FilterResult.notRun(503, "the client left", FilterResult.RETRY_AT_ONCE_MS)
        : decide(request, relay.unreadyReason());
  }

  private FilterResult decide(Request request, String unready) {
    if (!unready.isEmpty())
      return FilterResult.notRun(503, unready, relay.retryAdvice.msUntilReady());
    ControlStateSnapshot snapshot = relay.snapshot();
    Configuration.Route route = snapshot.configuration().route(request.host, request.path);
    request.tenant = tenant(request, route, snapshot);
    if (request.tenant == null)
      return route == null && relay.settings.hidesMissingRoutes()
          ? FilterResult.notRun(404, RouteFilter.NO_ROUTE, 0)
          : FilterResult.notRun(401, "unknown API key", 0);
    request.cacheScope = relay.cacheScope(request, request.tenant, snapshot);
    request.decision.add(
        "key",
        relay.clock.now(),
        Json.object()
            .add("tenant", request.tenant.name())
            .add("isolated", request.tenant.isolated())
            .add("sharingSince", snapshot.prefixSharingSince())
            .add("policy", snapshot.configurationNumber()));
    return FilterResult.CONTINUE;
  }

  private static Configuration.Tenant tenant(
      Request request, Configuration.Route route, ControlStateSnapshot snapshot) {
    Configuration.Tenant tenant = snapshot.configuration().tenantByKeyHash(request.apiKeyHash);
    boolean open = route != null && route.allowsAnonymous();
    return open && tenant == null ? Configuration.ANONYMOUS : tenant;
  }
}
