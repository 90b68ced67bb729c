package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.Liveness;
import gladelug.common.connection.PersistentConnection;
import gladelug.common.message.Hello;
import gladelug.common.message.WireRecord;
import gladelug.control.core.message.CoreMessage.Envelope;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The connections between this process and other nodes of the core: receives what nodes send that
 * connect to it, opens connections, and keeps those to nodes that are no members of this
 * generation, by address. Used on the core's thread only once it is set up.
 */
final class NodeConnections {
  private final Vertx vertx;
  private final ConnectionAcceptor acceptor;
  private final QuorumConfig config;
  private final Map<Address, UnknownNodeConnection> unknownNodes = new HashMap<>();

  NodeConnections(Vertx vertx, ConnectionAcceptor acceptor, QuorumConfig config) {
    this.vertx = vertx;
    this.acceptor = acceptor;
    this.config = config;
  }

  /** Passes on what nodes send that connect to this process, on their connections' event loops. */
  void receive(Consumer<Envelope> receiver) {
    acceptor.register(
        Hello.CORE,
        (hello, connection) -> bytes -> receiver.accept(WireRecord.decode(bytes, Envelope::read)));
  }

  /** Opens a connection and keeps it open. */
  PersistentConnection connect(Address remote, Consumer<PersistentConnection> onOpened) {
    return new PersistentConnection(
        vertx,
        acceptor,
        remote,
        Hello.CORE,
        Liveness.forMembers(config.heartbeatMs(), config.peerTimeoutMs()),
        (connection, bytes) -> {
          throw new IOException(
              "a core member does not respond on a connection opened by its peer");
        },
        onOpened);
  }

  /** Sends a message to a node that is no member; may be lost. */
  void sendToUnknown(Address address, Envelope message, long nowMs) {
    unknownNodes
        .computeIfAbsent(
            address, remote -> new UnknownNodeConnection(connect(remote, connection -> {})))
        .send(message, nowMs);
  }

  /** Closes the connections to nodes that are no members on which nothing was sent for long. */
  void closeIdle(long nowMs) {
    unknownNodes.values().removeIf(connection -> connection.closeIfIdle(nowMs));
  }
}
