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
 * The listener of a process for connections from its peers, on its one records address: reads the
 * Hello and passes the connection to the service that registered for that protocol. Connections of
 * unknown protocols are closed. Outgoing connections are opened here too. An accepted connection
 * whose peer sends nothing for long is closed, so that peers that vanished cost no descriptor;
 * whoever uses a connection notices much sooner.
 */
public final class ConnectionAcceptor implements ServiceRegistry.Service {
  /** How often accepted connections are looked at, ms. */
  private static final long SWEEP_INTERVAL_MS = 10_000;

  /** Silence after which a peer is asked for a sign of life, which it has until the next look. */
  private static final long IDLE_TIMEOUT_MS = 15_000;

  private final Clock clock = Clock.monotonic();
  private final Vertx vertx;
  private final Address address;
  public final BindAddress bindAddress;
  private final String name;
  private final Map<String, BiFunction<Hello, Connection, Connection.Receiver>> receiverFactories =
      new ConcurrentHashMap<>();
  private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();

  /** By accepted connection: when its silent peer was asked for a sign of life, or 0. */
  private final Map<Connection, Long> probedAtMs = new ConcurrentHashMap<>();

  /** By how long an attempt to connect may take, ms. */
  private final Map<Integer, NetClient> clientsByConnectTimeoutMs = new ConcurrentHashMap<>();

  private NetServer server;

  public ConnectionAcceptor(Vertx vertx, Address address, BindAddress local, String name) {
    this.bindAddress = local;
    this.vertx = vertx;
    this.address = address;
    this.name = name;
  }

  public void register(String protocol, BiFunction<Hello, Connection, Connection.Receiver> taker) {
    receiverFactories.put(protocol, taker);
  }

  @Override
  public void start(ServiceRegistry registry) {
    server =
        vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true));
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

  private NetClient client(int connectTimeout) {
    return clientsByConnectTimeoutMs.computeIfAbsent(
        connectTimeout,
        t ->
            vertx.createNetClient(
                bindAddress.withLocalAddress(
                    new NetClientOptions().setConnectTimeout(t).setTcpNoDelay(true))));
  }

  private void closeSilentConnections() {
    probedAtMs.replaceAll((connection, asked) -> probeIfIdle(connection, asked, clock.now()));
  }

  /** Returns when the peer was asked for a sign of life that hasn't come yet, or 0. */
  private static long probeIfIdle(Connection connection, long asked, long now) {
    if (asked > 0 && connection.lastReceivedAtMs() < asked) {
      connection.reset();
      return asked;
    }
    if (now - connection.lastReceivedAtMs() < IDLE_TIMEOUT_MS) return 0;
    connection.requestAnswer();
    return now;
  }

  public static String rootCauseMessage(Throwable e) {
    Throwable t = e;
    while (t.getCause() != null) t = t.getCause();
    return t.getMessage() == null ? t.getClass().getSimpleName() : t.getMessage();
  }

  private void accept(Connection connection) {
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
            var t = receiverFactories.get(hello.protocol());
            if (t == null) throw new IOException("unknown protocol " + hello.protocol());
            inner = t.apply(hello, connection);
          }

          @Override
          public void closed() {
            openConnections.remove(connection);
            probedAtMs.remove(connection);
            if (inner != null) inner.closed();
          }
        });
  }

  /** A new connection to another process, its Hello already sent. Fails where nobody answers. */
  public Uni<Connection> connect(
      Address address, String protocol, Function<Connection, Connection.Receiver> receiver) {
    return connect(address, protocol, Liveness.DATA_PLANE.connectTimeoutMs(), null, receiver);
  }

  Uni<Connection> connect(
      Address address,
      String protocol,
      int connectTimeout,
      ReadTimeoutDetector detector,
      Function<Connection, Connection.Receiver> receiver) {
    return client(connectTimeout)
        .connect(address.port(), address.host())
        .map(
            socket -> {
              Connection connection = new Connection(socket, address.toString(), clock, detector);
              openConnections.add(connection);
              Connection.Receiver r = receiver.apply(connection);
              connection.setReceiver(
                  new Connection.Receiver() {
                    @Override
                    public void record(byte[] bytes) throws IOException {
                      r.record(bytes);
                    }

                    @Override
                    public void closed() {
                      openConnections.remove(connection);
                      r.closed();
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
