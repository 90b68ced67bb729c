package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.data.request.FilterChain;
import gladelug.data.request.RecentDecisions;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;

/**
 * The product's own protocol at both ends of a relay: callers' JSON over Vert.x Web, replicas that
 * report.
 */
public record NativeProtocol(Address callers) implements RelayProtocol {
  @Override
  public Backends createBackends(Environment u, Relay r) {
    return Backends.overHttp(u.vertx(), u.localAddress(), u.clock(), r::admitWaiting);
  }

  @Override
  public Exchange createExchange(Environment u, Relay r) {
    return new LineExchange(r, new HttpConnections(u.vertx(), u.localAddress()));
  }

  @Override
  public Uni<Listener> open(Environment u, Relay r, RecentDecisions decisions, FilterChain way) {
    Router t = Router.router(u.vertx().getDelegate());
    new CallerListener(r, decisions, way).registerRoutes(t);
    HttpServer server =
        u.vertx()
            .getDelegate()
            .createHttpServer(
                new HttpServerOptions()
                    .setMaxHeaderSize(16384)
                    .setIdleTimeout(120)
                    .setTcpNoDelay(true));
    return Uni.createFrom()
        .completionStage(
            () ->
                server
                    .requestHandler(t)
                    .listen(callers.port(), u.localAddress().ip())
                    .toCompletionStage())
        .map(x -> server::close);
  }
}
