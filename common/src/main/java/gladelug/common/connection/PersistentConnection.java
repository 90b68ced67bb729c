package gladelug.common.connection;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.message.WireRecord;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * A connection to one address that reconnects automatically until it is closed. It is opened at
 * once, reopened after it ends and reset after a read time-out, with one connection attempt at a
 * time. Records sent while it is disconnected are lost, as records on any connection may be.
 */
public final class PersistentConnection {
  /** Receives records, on the connection's event loop. */
  public interface RecordHandler {
    void record(PersistentConnection connection, byte[] record) throws IOException;
  }

  private final Vertx vertx;
  private final ConnectionAcceptor acceptor;
  public final Address remoteAddress;
  private final String protocol;
  private final RecordHandler recordHandler;
  private final Consumer<PersistentConnection> onConnected;
  private final Liveness liveness;
  private final ReadTimeoutDetector detector;
  private volatile Connection connection;
  private volatile boolean closed;

  public PersistentConnection(
      Vertx vertx,
      ConnectionAcceptor acceptor,
      Address remoteAddress,
      String protocol,
      RecordHandler recordHandler,
      Consumer<PersistentConnection> onConnected) {
    this(vertx, acceptor, remoteAddress, protocol, Liveness.DATA_PLANE, recordHandler, onConnected);
  }

  /**
   * Starts to connect.
   *
   * @param onConnected called for each new connection, once records may be sent
   */
  public PersistentConnection(
      Vertx vertx,
      ConnectionAcceptor acceptor,
      Address remoteAddress,
      String protocol,
      Liveness liveness,
      RecordHandler recordHandler,
      Consumer<PersistentConnection> onConnected) {
    this.liveness = liveness;
    this.detector = new ReadTimeoutDetector(liveness, Clock.monotonic());
    this.vertx = vertx;
    this.acceptor = acceptor;
    this.remoteAddress = remoteAddress;
    this.protocol = protocol;
    this.recordHandler = recordHandler;
    this.onConnected = onConnected;
    connect();
  }

  private void connect() {
    if (closed) return;
    acceptor
        .connect(
            remoteAddress,
            protocol,
            liveness.connectTimeoutMs(),
            detector,
            established ->
                new Connection.Receiver() {
                  @Override
                  public void record(byte[] record) throws IOException {
                    recordHandler.record(PersistentConnection.this, record);
                  }

                  @Override
                  public void closed() {
                    connection = null;
                    reconnectLater();
                  }
                })
        .subscribe()
        .with(
            established -> {
              connection = established;
              if (closed || !established.isOpen()) established.close();
              else onConnected.accept(this);
            },
            failure -> reconnectLater());
  }

  private void reconnectLater() {
    if (!closed) vertx.setTimer(liveness.reconnectDelayMs(), i -> connect());
  }

  public boolean send(WireRecord message) {
    Connection current = connection;
    return current != null && current.send(message);
  }

  /**
   * Reconnects if an answer is overdue. {@link #send} checks this too; callers that need a tighter
   * bound than the time between two records call this method in between.
   */
  public void closeIfSilent() {
    Connection current = connection;
    if (current != null) current.closeIfSilent();
  }

  public boolean isOpen() {
    Connection current = connection;
    return current != null && current.isOpen();
  }

  public void close() {
    closed = true;
    Connection current = connection;
    if (current != null) current.close();
  }
}
