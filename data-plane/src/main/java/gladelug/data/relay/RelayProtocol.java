package gladelug.data.relay;

import gladelug.common.Clock;
import gladelug.common.connection.BindAddress;
import gladelug.data.request.FilterChain;
import gladelug.data.request.RecentDecisions;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;

/**
 * The protocols of a relay: to callers at its listener, to replicas, and for learning the state of
 * replicas. The filters in between do not depend on them. Called on the request thread.
 */
public interface RelayProtocol {
  /** The event loop, local address and clock of a relay. */
  record Environment(Vertx vertx, BindAddress localAddress, Clock clock) {}

  /** The open listener for callers. */
  interface Listener {
    /** Tells callers from now on to send their next request elsewhere. */
    default void startDraining() {}

    void close();
  }

  /** Creates the replicas of a relay and starts to learn their state. */
  Backends createBackends(Environment environment, Relay relay);

  /** Creates the exchange over which requests are sent to replicas. */
  Exchange createExchange(Environment environment, Relay relay);

  /** Opens the listener; fails if it cannot be opened. */
  Uni<Listener> open(
      Environment environment, Relay relay, RecentDecisions decisions, FilterChain filterChain);
}
