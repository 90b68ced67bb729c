package gladelug.data.relay;

import gladelug.common.Clock;
import gladelug.common.connection.BindAddress;
import gladelug.data.request.FilterChain;
import gladelug.data.request.RecentDecisions;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;

/**
 * What a relay speaks: to callers at its listener, to replicas, and how it learns their state. The
 * filters between are the same whatever is spoken. Called on the request thread.
 */
public interface RelayProtocol {
  /** The machine under a relay. */
  record Environment(Vertx vertx, BindAddress localAddress, Clock clock) {}

  /** The open door. */
  interface Listener {
    /** From now on callers are told to go elsewhere with their next request. */
    default void startDraining() {}

    void close();
  }

  Backends createBackends(Environment u, Relay r);

  Exchange createExchange(Environment u, Relay r);

  /** Opens the door; fails where it can't be opened. */
  Uni<Listener> open(Environment u, Relay r, RecentDecisions decisions, FilterChain way);
}
