package gladelug.common.connection;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.message.Hello;
import gladelug.common.message.WireRecord;
import io.smallrye.mutiny.Uni;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.net.NetClient;
import io.vertx.mutiny.core.net.NetServer;
import io.vertx.mutiny.core.net.NetSocket;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Accepts and opens connections between peers. It listens on the process's records address, reads
 * each connection's {@link Hello} and passes the connection to the service that registered for the
 * protocol; connections with an unknown protocol are closed. An accepted connection whose peer
 * stays silent is closed, so that vanished peers hold no file descriptors; senders on a persistent
 * connection detect a dead peer much sooner.
 */
public final class ConnectionAcceptor implements ServiceRegistry.Service {
  /** Interval between two checks of the accepted connections. */
  private static final long SWEEP_INTERVAL_MS = 10_000;

  /** Silence after which a peer is probed; it must answer before the next check. */
  static final long IDLE_TIMEOUT_MS = 15_000;

  private final Clock clock = Clock.monotonic();
  private final Vertx vertx;
  private final Address address;
  public final BindAddress bindAddress;
  private final String name;
  private final Map<String, BiFunction<Hello, Connection, Connection.Receiver>> receiverFactories =
      new ConcurrentHashMap<>();
  private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();

  /** When the silent peer of each accepted connection was probed, 0 if it was not. */
  private final Map<Connection, Long> probedAtMs = new ConcurrentHashMap<>();

  private final Map<Integer, NetClient> clientsByConnectTimeoutMs = new ConcurrentHashMap<>();

  private NetServer server;

  public ConnectionAcceptor(Vertx vertx, Address address, BindAddress bindAddress, String name) {
    this.bindAddress = bindAddress;
    this.vertx = vertx;
    this.address = address;
    this.name = name;
  }

  public void register(
      String protocol, BiFunction<Hello, Connection, Connection.Receiver> receiverFactory) {
    receiverFactories.put(protocol, receiverFactory);
  }

  @Override
  public void start(ServiceRegistry registry) {
    server =
        vertx.createNetServer(
            new NetServerOptions()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setReceiveBufferSize(ReceiveBuffers.LARGE_BYTES));
    server
        .getDelegate()
        .connectHandler(
            socket ->
                accept(
                    new Connection(
                        new NetSocket(socket), socket.remoteAddress().toString(), clock, null)));
    try {
      server.listen(address.port(), bindAddress.ip()).await().atMost(Duration.ofSeconds(10));
    } catch (RuntimeException e) {
      throw new ServiceRegistry.StartupException(
          "cannot listen for records on " + address + ": " + rootCauseMessage(e), e);
    }
    vertx.setPeriodic(SWEEP_INTERVAL_MS, i -> closeSilentConnections());
    Log.event("peer-listener-started", "address", address);
  }

  private NetClient client(int connectTimeoutMs) {
    return clientsByConnectTimeoutMs.computeIfAbsent(
        connectTimeoutMs,
        timeoutMs ->
            vertx.createNetClient(
                bindAddress.withLocalAddress(
                    new NetClientOptions().setConnectTimeout(timeoutMs).setTcpNoDelay(true))));
  }

  private void closeSilentConnections() {
    probedAtMs.replaceAll(
        (connection, lastProbeAtMs) -> probeIfIdle(connection, lastProbeAtMs, clock.now()));
  }

  /** Returns when the peer was sent a probe that it hasn't answered yet, or 0. */
  private static long probeIfIdle(Connection connection, long lastProbeAtMs, long nowMs) {
    if (lastProbeAtMs > 0 && connection.lastReceivedAtMs() < lastProbeAtMs) {
      connection.reset();
      return lastProbeAtMs;
    }
    if (nowMs - connection.lastReceivedAtMs() < IDLE_TIMEOUT_MS) return 0;
    connection.requestAnswer();
    return nowMs;
  }

  /** Returns the message of the root cause, or its class name if it has no message. */
  public static String rootCauseMessage(Throwable failure) {
    Throwable cause = failure;
    while (cause.getCause() != null) cause = cause.getCause();
    return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
  }

  private void accept(Connection connection) {
    if (!connection.limit(InboundLimits.ofProcess())) return;
    openConnections.add(connection);
    probedAtMs.put(connection, 0L);
    connection.setReceiver(
        new Connection.Receiver() {
          private Connection.Receiver inner;

          @Override
          public void record(byte[] record) throws IOException {
            if (inner != null) {
              inner.record(record);
              return;
            }
            Hello hello = WireRecord.decode(record, Hello::read);
            var receiverFactory = receiverFactories.get(hello.protocol());
            if (receiverFactory == null)
              throw new IOException("unknown protocol " + hello.protocol());
            inner = receiverFactory.apply(hello, connection);
          }

          @Override
          public void closed() {
            openConnections.remove(connection);
            probedAtMs.remove(connection);
            if (inner != null) inner.closed();
          }
        });
  }

  /** Opens a connection to another process and sends the Hello; fails if it can't connect. */
  public Uni<Connection> connect(
      Address address, String protocol, Function<Connection, Connection.Receiver> receiverFactory) {
    return connect(
        address, protocol, Liveness.DATA_PLANE.connectTimeoutMs(), null, receiverFactory);
  }

  Uni<Connection> connect(
      Address address,
      String protocol,
      int connectTimeoutMs,
      ReadTimeoutDetector detector,
      Function<Connection, Connection.Receiver> receiverFactory) {
    return client(connectTimeoutMs)
        .connect(address.port(), address.host())
        .map(
            socket -> {
              Connection connection = new Connection(socket, address.toString(), clock, detector);
              openConnections.add(connection);
              Connection.Receiver receiver = receiverFactory.apply(connection);
              connection.setReceiver(
                  new Connection.Receiver() {
                    @Override
                    public void record(byte[] bytes) throws IOException {
                      receiver.record(bytes);
                    }

                    @Override
                    public void closed() {
                      openConnections.remove(connection);
                      receiver.closed();
                    }
                  });
              connection.send(new Hello(protocol, name));
              return connection;
            });
  }

  @Override
  public void stop() {
    for (Connection connection : openConnections) connection.close();
    if (server != null) server.closeAndForget();
    clientsByConnectTimeoutMs.values().forEach(NetClient::closeAndForget);
  }
}
