package gladelug.data;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.InboundLimits;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The HTTP endpoint for operators and the platform, common to both commands: readiness, and the
 * status of the process as JSON. Other services may add routes before it starts.
 */
public final class StatusEndpoint implements ServiceRegistry.Service {
  private final Vertx vertx;
  private final Address address;
  private final Supplier<String> unreadyReason;
  private final Supplier<Uni<JsonObject>> status;
  private final Consumer<Router> extraRoutes;
  private HttpServer server;

  /**
   * Creates an endpoint.
   *
   * @param unreadyReason returns why the node is not ready, or an empty text when it is ready
   * @param status returns the status as JSON
   * @param extraRoutes adds further routes
   */
  public StatusEndpoint(
      Vertx vertx,
      Address address,
      Supplier<String> unreadyReason,
      Supplier<Uni<JsonObject>> status,
      Consumer<Router> extraRoutes) {
    this.vertx = vertx;
    this.address = address;
    this.unreadyReason = unreadyReason;
    this.status = status;
    this.extraRoutes = extraRoutes;
  }

  @Override
  public void start(ServiceRegistry registry) {
    Router router = Router.router(vertx);
    router
        .get("/ready")
        .handler(
            context -> {
              String reason = unreadyReason.get();
              sendJson(
                  context,
                  reason.isEmpty() ? 200 : 503,
                  Json.object().add("ready", reason.isEmpty()).add("reason", reason));
            });
    router
        .get("/operator/status")
        .handler(
            context ->
                status
                    .get()
                    .subscribe()
                    .with(
                        json -> sendJson(context, 200, json),
                        failure -> context.fail(500, failure)));
    extraRoutes.accept(router);
    router.errorHandler(
        500,
        context -> {
          Log.thrown("status-door-problem", context.failure(), "path", context.request().path());
          sendJson(context, 500, Json.object().add("reason", "internal error"));
        });
    router.errorHandler(
        404, context -> sendJson(context, 404, Json.object().add("reason", "no such resource")));
    server =
        vertx
            .createHttpServer(InboundLimits.configure(new HttpServerOptions()))
            .connectionHandler(
                connection -> InboundLimits.ofProcess().protect(connection.getDelegate()))
            .requestHandler(router::handle);
    try {
      server
          .listen(address.port(), registry.find("doors", ConnectionAcceptor.class).bindAddress.ip())
          .await()
          .atMost(Duration.ofSeconds(10));
    } catch (RuntimeException e) {
      throw new ServiceRegistry.StartupException(
          "cannot listen for operators on "
              + address
              + ": "
              + ConnectionAcceptor.rootCauseMessage(e),
          e);
    }
  }

  /** Sends a JSON response, unless the response was already sent or the connection is closed. */
  public static void sendJson(RoutingContext context, int status, JsonObject json) {
    if (context.response().ended() || context.response().closed()) return;
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .endAndForget(json + "\n");
  }

  @Override
  public void stop() {
    server.closeAndForget();
  }
}
