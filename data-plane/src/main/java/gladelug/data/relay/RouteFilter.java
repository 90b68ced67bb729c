package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import java.util.List;

/** Which route and service: by host and path; and with them deadline, share and repeatability. */
record RouteFilter(Relay relay) implements RequestFilter.Synchronous {
  static final String NO_ROUTE = "no mapping for this path";

  @Override
  public String name() {
    return "mapping";
  }

  @Override
  public FilterResult decide(Request request) {
    Configuration configuration = relay.snapshot().configuration();
    request.route = configuration.route(request.host, request.path);
    if (request.route == null) return FilterResult.notRun(404, NO_ROUTE, 0);
    request.service = configuration.services.get(request.route.chooseService(request.splitDraw));
    if (request.model.isEmpty()) request.model = defaultModel(request.service);
    request.leaf = Configuration.leafPath(request.tenant, request.route);
    request.repeatable =
        request.declaredRepeatable == null
            ? request.route.repeatable()
            : request.declaredRepeatable;
    request.deadlineMs = request.receivedAtMs + timeoutMs(request);
    request.decision.add(
        "mapping",
        relay.clock.now(),
        Json.object()
            .add("mapping", request.route.name())
            .add("service", request.service.name())
            .add("share", request.leaf)
            .add("expiryMs", request.deadlineMs - request.receivedAtMs)
            .add("repeatable", request.repeatable));
    FilterResult outlasts = relay.refusalIfOutlivesRelay(request);
    return outlasts == null ? FilterResult.CONTINUE : outlasts;
  }

  /** The model of a request that names none: the service's first, or one of the service's name. */
  private static String defaultModel(Configuration.Service service) {
    List<String> models = service.engine().models();
    return models.isEmpty() ? service.name() : models.get(0);
  }

  private static long timeoutMs(Request request) {
    long routeMs = request.route.deadlineMs();
    return request.patienceMs > 0 ? Math.min(routeMs, request.patienceMs) : routeMs;
  }
}
