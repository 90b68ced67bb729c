package gladelug.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy in front of every advertised address, which can disturb the network between machines.
 *
 * <p>It forwards bytes to where the process actually listens, and identifies the caller by its IP
 * address. A pair of machines can be cut in one or both directions: bytes stop while connections
 * stay open and new ones hang, as on a lost link. Links can also be delayed, or their connections
 * broken.
 */
public final class LinkProxy {
  /**
   * The name of every caller whose IP address belongs to no machine: callers, operators and the
   * platform's programs.
   */
  public static final String OUTSIDE = "outside";

  private final Vertx vertx;
  private final NetClient client;
  private final Map<String, String> machines = new ConcurrentHashMap<>();
  private final Set<String> cutPairs = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> delaysMs = new ConcurrentHashMap<>();
  private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
  public final AtomicLong pauseCount = new AtomicLong();

  public LinkProxy(Vertx vertx) {
    this.vertx = vertx;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(5000).setTcpNoDelay(true));
  }

  /** Registers the IP address from which a machine calls. */
  public void registerMachine(String ip, String name) {
    machines.put(ip, name);
  }

  /** Forwards connections from an advertised address to where a process of the machine listens. */
  public void forward(String advertised, String bound, String machine) throws Exception {
    String[] a = splitAddress(advertised), b = splitAddress(bound);
    vertx
        .createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true))
        .connectHandler(
            socket -> {
              ProxiedConnection l =
                  new ProxiedConnection(
                      machines.getOrDefault(socket.remoteAddress().hostAddress(), OUTSIDE),
                      machine,
                      socket);
              socket.pause();
              connections.add(l);
              client
                  .connect(Integer.parseInt(b[1]), b[0])
                  .onComplete(
                      r -> {
                        if (r.failed()) l.close();
                        else l.onConnected(r.result());
                      });
            })
        .listen(Integer.parseInt(a[1]), a[0])
        .toCompletionStage()
        .toCompletableFuture()
        .get(10, TimeUnit.SECONDS);
  }

  private static String[] splitAddress(String address) {
    int c = address.lastIndexOf(':');
    return new String[] {address.substring(0, c), address.substring(c + 1)};
  }

  /** Stops all bytes from one machine to another until {@link #heal}. */
  public void cutOneWay(String from, String to) {
    cutPairs.add(from + ">" + to);
    connections.forEach(ProxiedConnection::updateFlow);
  }

  public void cut(String a, String b) {
    cutOneWay(a, b);
    cutOneWay(b, a);
  }

  /** Cuts each machine of one side from each machine of the other. */
  public void cutBetween(Set<String> side, Set<String> other) {
    for (String a : side) for (String b : other) if (!a.equals(b)) cut(a, b);
  }

  /** Delays all bytes between two machines by {@code ms}. */
  public void addDelay(String a, String b, long ms) {
    delaysMs.put(a + ">" + b, ms);
    delaysMs.put(b + ">" + a, ms);
  }

  /** Closes all connections between two machines, as the restart of a device between them does. */
  public void breakConnections(String a, String b) {
    for (ProxiedConnection l : connections) if (l.connects(a, b) || l.connects(b, a)) l.close();
  }

  public void heal() {
    cutPairs.clear();
    delaysMs.clear();
    connections.forEach(ProxiedConnection::updateFlow);
  }

  /** A connection through the proxy. */
  private final class ProxiedConnection {
    private final String caller;
    private final String callee;
    private final NetSocket callerSocket;
    private volatile NetSocket calleeSocket;

    ProxiedConnection(String caller, String callee, NetSocket callerSocket) {
      this.caller = caller;
      this.callee = callee;
      this.callerSocket = callerSocket;
      callerSocket.closeHandler(v -> close());
      callerSocket.exceptionHandler(failure -> close());
    }

    boolean connects(String a, String b) {
      return caller.equals(a) && callee.equals(b);
    }

    void onConnected(NetSocket socket) {
      calleeSocket = socket;
      socket.closeHandler(v -> close());
      socket.exceptionHandler(failure -> close());
      socket.pause();
      forwardBytes(callerSocket, socket, caller + ">" + callee);
      forwardBytes(socket, callerSocket, callee + ">" + caller);
      updateFlow();
    }

    private void forwardBytes(NetSocket from, NetSocket socket, String pair) {
      from.handler(
          buffer -> {
            Long ms = delaysMs.get(pair);
            if (ms != null) vertx.setTimer(ms, i -> write(from, socket, buffer));
            else write(from, socket, buffer);
          });
    }

    private void write(NetSocket from, NetSocket socket, Buffer buffer) {
      socket.write(buffer);
      if (!socket.writeQueueFull()) return;
      from.pause();
      socket.drainHandler(v -> updateFlow());
    }

    /** Pauses or resumes each direction according to the current cuts. */
    void updateFlow() {
      if (calleeSocket == null) return;
      setPaused(callerSocket, cutPairs.contains(caller + ">" + callee));
      setPaused(calleeSocket, cutPairs.contains(callee + ">" + caller));
    }

    private void setPaused(NetSocket socket, boolean stop) {
      if (stop) {
        pauseCount.incrementAndGet();
        socket.pause();
      } else socket.resume();
    }

    void close() {
      if (!connections.remove(this)) return;
      callerSocket.close();
      if (calleeSocket != null) calleeSocket.close();
    }
  }
}
