/*
 * The door of a process for connections from others, on its one records address: reads the Hello and
 * hands the connection to whichever service took that protocol. Unknown protocols are closed. Also
 * where connections to others begin.
 */
package gladelug.kernel.connection;

import gladelug.kernel.Address;
import gladelug.kernel.Kernel;
import gladelug.kernel.Log;
import gladelug.kernel.message.Hello;
import gladelug.kernel.message.Wire;
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

public final class Doors implements Kernel.Service {
  private final Vertx vertx;
  private final Address address;
  public final Local local;
  private final String name;
  private final Map<String, BiFunction<Hello, Connection, Connection.Receiver>> takers =
      new ConcurrentHashMap<>();
  private final Set<Connection> open = ConcurrentHashMap.newKeySet();
  private NetServer server;
  private NetClient client;

  public Doors(Vertx vertx, Address address, Local local, String name) {
    this.local = local;
    this.vertx = vertx;
    this.address = address;
    this.name = name;
  }

  public void take(String protocol, BiFunction<Hello, Connection, Connection.Receiver> taker) {
    takers.put(protocol, taker);
  }

  @Override
  public void start(Kernel k) {
    client =
        vertx.createNetClient(
            local.from(new NetClientOptions().setConnectTimeout(1000).setTcpNoDelay(true)));
    server =
        vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true));
    server
        .getDelegate()
        .connectHandler(
            s -> accept(new Connection(new NetSocket(s), s.remoteAddress().toString())));
    try {
      server.listen(address.port(), local.ip()).await().atMost(Duration.ofSeconds(10));
    } catch (RuntimeException e) {
      throw new Kernel.CannotStart("cannot listen for records on " + address + ": " + reason(e), e);
    }
    Log.event("records-door-open", "address", address);
  }

  public static String reason(Throwable e) {
    Throwable t = e;
    while (t.getCause() != null) t = t.getCause();
    return t.getMessage() == null ? t.getClass().getSimpleName() : t.getMessage();
  }

  private void accept(Connection c) {
    open.add(c);
    c.receiver(
        new Connection.Receiver() {
          private Connection.Receiver inner;

          @Override
          public void record(byte[] r) throws IOException {
            if (inner != null) {
              inner.record(r);
              return;
            }
            Hello h = Wire.read(r, Hello::read);
            var t = takers.get(h.protocol());
            if (t == null) throw new IOException("unknown protocol " + h.protocol());
            inner = t.apply(h, c);
          }

          @Override
          public void closed() {
            open.remove(c);
            if (inner != null) inner.closed();
          }
        });
  }

  /** A new connection to another process, its Hello already sent. Fails where nobody answers. */
  public Uni<Connection> call(
      Address to, String protocol, Function<Connection, Connection.Receiver> receiver) {
    return client
        .connect(to.port(), to.host())
        .map(
            s -> {
              Connection c = new Connection(s, to.toString());
              open.add(c);
              Connection.Receiver r = receiver.apply(c);
              c.receiver(
                  new Connection.Receiver() {
                    @Override
                    public void record(byte[] b) throws IOException {
                      r.record(b);
                    }

                    @Override
                    public void closed() {
                      open.remove(c);
                      r.closed();
                    }
                  });
              c.send(new Hello(protocol, name));
              return c;
            });
  }

  @Override
  public void stop() {
    for (Connection c : open) c.close();
    if (server != null) server.closeAndForget();
    if (client != null) client.closeAndForget();
  }
}
