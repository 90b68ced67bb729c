package gladelug.data;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.connection.ConnectionAcceptor;
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
 * Towards operators and the platform, the same in both subcommands: readiness, and the state of
 * what runs here as JSON. Others add paths of their own before it starts.
 */
public final class StatusEndpoint implements ServiceRegistry.Service {
  private final Vertx vertx;
  private final Address address;
  private final Supplier<String> unreadyReason;
  private final Supplier<Uni<JsonObject>> status;
  private final Consumer<Router> extraRoutes;
  private HttpServer server;

  /** unready gives the reason, or an empty text when this node is ready. */
  public StatusEndpoint(
      Vertx vertx,
      Address address,
      Supplier<String> unready,
      Supplier<Uni<JsonObject>> status,
      Consumer<Router> more) {
    this.vertx = vertx;
    this.address = address;
    this.unreadyReason = unready;
    this.status = status;
    this.extraRoutes = more;
  }

  @Override
  public void start(ServiceRegistry registry) {
    Router r = Router.router(vertx);
    r.get("/ready")
        .handler(
            context -> {
              String why = unreadyReason.get();
              sendJson(
                  context,
                  why.isEmpty() ? 200 : 503,
                  Json.object().add("ready", why.isEmpty()).add("reason", why));
            });
    r.get("/operator/status")
        .handler(
            context ->
                status
                    .get()
                    .subscribe()
                    .with(
                        json -> sendJson(context, 200, json),
                        failure -> context.fail(500, failure)));
    extraRoutes.accept(r);
    r.errorHandler(
        500,
        context -> {
          Log.thrown("status-door-problem", context.failure(), "path", context.request().path());
          sendJson(context, 500, Json.object().add("reason", "an internal problem"));
        });
    r.errorHandler(
        404, context -> sendJson(context, 404, Json.object().add("reason", "nothing is here")));
    server = vertx.createHttpServer(new HttpServerOptions()).requestHandler(r::handle);
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
