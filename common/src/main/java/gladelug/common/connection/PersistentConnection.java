package gladelug.common.connection;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.message.WireRecord;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * A connection to one address that reconnects by itself until it is closed: opened at once, opened
 * again after it ends, reset after a read time-out, with one attempt to connect at a time. What is
 * sent while there is no connection is lost, as records on any connection may be.
 */
public final class PersistentConnection {
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
      ConnectionAcceptor doors,
      Address address,
      String protocol,
      RecordHandler records,
      Consumer<PersistentConnection> opened) {
    this(vertx, doors, address, protocol, Liveness.DATA_PLANE, records, opened);
  }

  /** opened is told of each new connection, once records may be sent. */
  public PersistentConnection(
      Vertx vertx,
      ConnectionAcceptor doors,
      Address address,
      String protocol,
      Liveness liveness,
      RecordHandler records,
      Consumer<PersistentConnection> opened) {
    this.liveness = liveness;
    this.detector = new ReadTimeoutDetector(liveness, Clock.monotonic());
    this.vertx = vertx;
    this.acceptor = doors;
    this.remoteAddress = address;
    this.protocol = protocol;
    this.recordHandler = records;
    this.onConnected = opened;
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
            c ->
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
            c -> {
              connection = c;
              if (closed || !c.isOpen()) c.close();
              else onConnected.accept(this);
            },
            failure -> reconnectLater());
  }

  private void reconnectLater() {
    if (!closed) vertx.setTimer(liveness.reconnectDelayMs(), i -> connect());
  }

  public boolean send(WireRecord message) {
    Connection c = connection;
    return c != null && c.send(message);
  }

  /**
   * Begins the connection anew where an answer is overdue. Sending does so too; whoever needs the
   * bound to be tighter than the time between two records calls this in between.
   */
  public void closeIfSilent() {
    Connection c = connection;
    if (c != null) c.closeIfSilent();
  }

  public boolean isOpen() {
    Connection c = connection;
    return c != null && c.isOpen();
  }

  public void close() {
    closed = true;
    Connection c = connection;
    if (c != null) c.close();
  }
}
