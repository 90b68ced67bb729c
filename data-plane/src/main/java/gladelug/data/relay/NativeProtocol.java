package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.connection.InboundLimits;
import gladelug.data.request.FilterChain;
import gladelug.data.request.RecentDecisions;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;

/**
 * The native protocol at both ends of a relay: JSON from callers over Vert.x Web, and replicas that
 * report their load.
 */
public record NativeProtocol(Address callers) implements RelayProtocol {
  @Override
  public Backends createBackends(Environment environment, Relay relay) {
    return Backends.overHttp(
        environment.vertx(), environment.localAddress(), environment.clock(), relay::admitWaiting);
  }

  @Override
  public Exchange createExchange(Environment environment, Relay relay) {
    return new LineExchange(
        relay, new HttpConnections(environment.vertx(), environment.localAddress()));
  }

  @Override
  public Uni<Listener> open(
      Environment environment, Relay relay, RecentDecisions decisions, FilterChain filterChain) {
    Router router = Router.router(environment.vertx().getDelegate());
    new CallerListener(relay, decisions, filterChain).registerRoutes(router);
    HttpServer server =
        environment
            .vertx()
            .getDelegate()
            .createHttpServer(
                InboundLimits.configure(new HttpServerOptions())
                    .setMaxHeaderSize(16384)
                    .setIdleTimeout(120)
                    .setHandle100ContinueAutomatically(true)
                    .setTcpNoDelay(true))
            .connectionHandler(InboundLimits.ofProcess()::protect);
    return Uni.createFrom()
        .completionStage(
            () ->
                server
                    .requestHandler(router)
                    .listen(callers.port(), environment.localAddress().ip())
                    .toCompletionStage())
        .map(listening -> server::close);
  }
}
