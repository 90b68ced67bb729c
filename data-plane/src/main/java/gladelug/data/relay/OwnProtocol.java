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
public record OwnProtocol(Address callers) implements RelayProtocol {
  @Override
  public Backends backends(Under u, Relay r) {
    return Backends.overHttp(u.vertx(), u.local(), u.clock(), r::pump);
  }

  @Override
  public Exchange exchange(Under u, Relay r) {
    return new LineExchange(r, new HttpConnections(u.vertx(), u.local()));
  }

  @Override
  public Uni<Door> open(Under u, Relay r, RecentDecisions decisions, FilterChain way) {
    Router t = Router.router(u.vertx().getDelegate());
    new CallerListener(r, decisions, way).routes(t);
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
                server.requestHandler(t).listen(callers.port(), u.local().ip()).toCompletionStage())
        .map(x -> server::close);
  }
}
