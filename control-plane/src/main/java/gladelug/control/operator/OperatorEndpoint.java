package gladelug.control.operator;

import com.eclipsesource.json.Json;
import gladelug.common.Address;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.InboundLimits;
import gladelug.common.message.StateKeys;
import gladelug.control.core.CoreService;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * The HTTP endpoint for operators and the platform on a control-plane machine. Opens the port and
 * routes each method and path to its handler; bodies are JSON. Handlers run on the Vert.x event
 * loop and query the core on the core's thread.
 */
public final class OperatorEndpoint implements ServiceRegistry.Service {
  /** The paths of the configuration; the second is the former path, accepted for one release. */
  private static final List<String> CONFIGURATION_PATHS =
      List.of("/v1/configuration", "/v1/policy");

  private static final int CONNECT_TIMEOUT_MS = 700;
  private static final int MAX_HEADER_BYTES = 16384;
  private static final Duration LISTEN_TIMEOUT = Duration.ofSeconds(10);

  private final Vertx vertx;
  private final Address address;
  private HttpServer server;
  private StatusHandler statusHandler;

  private record Route(HttpMethod method, String path, Consumer<RoutingContext> handler) {}

  /**
   * Creates the endpoint; {@link #start} opens the port.
   *
   * @param address the advertised address; only its port is used, on the IP address that this
   *     process binds to
   */
  public OperatorEndpoint(Vertx vertx, Address address) {
    this.vertx = vertx;
    this.address = address;
  }

  @Override
  public void start(ServiceRegistry registry) {
    CoreService core = registry.find("core", CoreService.class);
    BindAddress local = registry.find("doors", ConnectionAcceptor.class).bindAddress;
    WebClient client =
        WebClient.create(
            vertx,
            local.withLocalAddress(
                new WebClientOptions()
                    .setConnectTimeout(CONNECT_TIMEOUT_MS)
                    .setFollowRedirects(false)));
    statusHandler = new StatusHandler(core);
    Router router = Router.router(vertx);
    router.getDelegate().route().handler(new OperatorBodyHandler());
    OwnerForwarding forwarding = new OwnerForwarding(core, client);
    ConfigurationHandler configuration = new ConfigurationHandler(core);
    ChangeHistoryHandler history = new ChangeHistoryHandler(core);
    for (String path : CONFIGURATION_PATHS)
      addRoutes(router, configurationRoutes(path, configuration, history, forwarding));
    addRoutes(router, routes(core, client, configuration, history, forwarding));
    addErrorHandlers(router);
    listen(router, local);
  }

  private static void addRoutes(Router router, List<Route> routes) {
    for (Route route : routes) router.route(route.method, route.path).handler(route.handler);
  }

  private List<Route> routes(
      CoreService core,
      WebClient client,
      ConfigurationHandler configuration,
      ChangeHistoryHandler history,
      OwnerForwarding forwarding) {
    WeightNamingHandler weights = new WeightNamingHandler(core, client);
    MemberReplacementHandler replacement = new MemberReplacementHandler(core);
    return List.of(
        new Route(HttpMethod.GET, "/ready", statusHandler::showReadiness),
        new Route(HttpMethod.GET, "/v1/status", statusHandler::showStatus),
        new Route(HttpMethod.POST, "/v1/weights", weights::nameWeights),
        new Route(
            HttpMethod.GET,
            "/v1/weights",
            context -> configuration.showNewest(context, StateKeys.WEIGHTS)),
        new Route(
            HttpMethod.GET,
            "/v1/weights/numbers",
            context -> showChangesAtOwner(context, StateKeys.WEIGHTS, history, forwarding)),
        new Route(
            HttpMethod.GET,
            "/v1/replicas",
            context -> configuration.showNewest(context, StateKeys.REPLICAS)),
        new Route(
            HttpMethod.POST,
            "/v1/core/swap",
            context -> forwarding.handleAtOwner(context, StateKeys.CORE, replacement::replace)));
  }

  private static List<Route> configurationRoutes(
      String path,
      ConfigurationHandler configuration,
      ChangeHistoryHandler history,
      OwnerForwarding forwarding) {
    String key = StateKeys.CONFIGURATION;
    return List.of(
        new Route(HttpMethod.POST, path, configuration::replace),
        new Route(HttpMethod.GET, path, context -> configuration.showNewest(context, key)),
        new Route(
            HttpMethod.GET,
            path + "/numbers",
            context -> showChangesAtOwner(context, key, history, forwarding)),
        new Route(
            HttpMethod.GET,
            path + "/numbers/:number",
            context -> history.showOutcome(context, key)));
  }

  private static void showChangesAtOwner(
      RoutingContext context,
      String key,
      ChangeHistoryHandler history,
      OwnerForwarding forwarding) {
    forwarding.handleAtConfirmedOwner(context, key, owned -> history.showChanges(owned, key));
  }

  private static void addErrorHandlers(Router router) {
    router.errorHandler(
        413,
        context ->
            JsonResponses.sendNotApplied(
                context,
                413,
                "the body is larger than " + JsonResponses.MAX_BODY_BYTES + " bytes"));
    router.errorHandler(
        404,
        context ->
            JsonResponses.send(
                context, 404, Json.object().add("reason", "there is no resource at this path")));
    router.errorHandler(
        500,
        context -> {
          Log.thrown(
              "operator-endpoint-failure", context.failure(), "path", context.request().path());
          JsonResponses.sendUnknown(context, 500, "internal error");
        });
  }

  private void listen(Router router, BindAddress local) {
    server =
        vertx
            .createHttpServer(
                InboundLimits.configure(new HttpServerOptions())
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setHandle100ContinueAutomatically(true))
            .connectionHandler(
                connection -> InboundLimits.ofProcess().protect(connection.getDelegate()))
            .requestHandler(router::handle);
    try {
      server.listen(address.port(), local.ip()).await().atMost(LISTEN_TIMEOUT);
    } catch (RuntimeException e) {
      // any failure to open the port is a fault of the machine or its settings
      throw new ServiceRegistry.StartupException(
          "cannot listen for operators on "
              + address
              + ": "
              + ConnectionAcceptor.rootCauseMessage(e),
          e);
    }
  }

  @Override
  public void stop() {
    statusHandler.markStopping();
    server.closeAndForget();
  }
}
