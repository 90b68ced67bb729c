package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import java.util.List;

/** Which route and service: by host and path; and with them deadline, share and repeatability. */
record RouteFilter(Relay relay) implements RequestFilter.AtOnce {
  static final String NO_ROUTE = "no mapping for this path";

  @Override
  public String name() {
    return "mapping";
  }

  @Override
  public FilterResult decide(Request request) {
    Configuration configuration = relay.tables().configuration();
    request.route = configuration.route(request.host, request.path);
    if (request.route == null) return FilterResult.notRun(404, NO_ROUTE, 0);
    request.service = configuration.services.get(request.route.chooseService(request.draw));
    if (request.model.isEmpty()) request.model = usualModel(request.service);
    request.leaf = Configuration.leafPath(request.tenant, request.route);
    request.repeatable =
        request.askedRepeatable == null ? request.route.repeatable() : request.askedRepeatable;
    request.deadline = request.came + mayTakeMs(request);
    request.decision.add(
        "mapping",
        relay.clock.now(),
        Json.object()
            .add("mapping", request.route.name())
            .add("service", request.service.name())
            .add("share", request.leaf)
            .add("expiryMs", request.deadline - request.came)
            .add("repeatable", request.repeatable));
    FilterResult outlasts = relay.refusalIfItMayOutlastThis(request);
    return outlasts == null ? FilterResult.GO : outlasts;
  }

  /** The model of a request that names none: the service's first, or one of the service's name. */
  private static String usualModel(Configuration.Service service) {
    List<String> models = service.engine().models();
    return models.isEmpty() ? service.name() : models.get(0);
  }

  private static long mayTakeMs(Request request) {
    long routeMs = request.route.deadlineMs();
    return request.patienceMs > 0 ? Math.min(routeMs, request.patienceMs) : routeMs;
  }
}
