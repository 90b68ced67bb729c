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
 * The rehearsal's own wires: every advertised address is listened on here, and bytes are carried on
 * to where the process really listens. Who calls is known by the IP number it calls from, so a pair
 * can be cut one way or both: bytes stop while connections stay open, as a lost link does, and new
 * ones hang; a link can be slowed, or its connections broken. Machines are named by their IP
 * number's last parts.
 */
public final class LinkProxy {
  /**
   * Whoever calls from an IP number that is no machine's: callers, operators, the platform's own
   * programs.
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

  /** Calls that come from this IP number are the machine's. */
  public void registerMachine(String ip, String name) {
    machines.put(ip, name);
  }

  /** Carries what comes to an advertised address to where a process of the machine listens. */
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

  /** Nothing more comes from one machine to the other, until it is mended. */
  public void cutOneWay(String from, String to) {
    cutPairs.add(from + ">" + to);
    connections.forEach(ProxiedConnection::updateFlow);
  }

  public void cut(String a, String b) {
    cutOneWay(a, b);
    cutOneWay(b, a);
  }

  /** Each of the one side from each of the other. */
  public void cutBetween(Set<String> side, Set<String> other) {
    for (String a : side) for (String b : other) if (!a.equals(b)) cut(a, b);
  }

  /** Milliseconds more for every piece of bytes between two. */
  public void addDelay(String a, String b, long ms) {
    delaysMs.put(a + ">" + b, ms);
    delaysMs.put(b + ">" + a, ms);
  }

  /** All connections between two end at once, as when a machine between them is restarted. */
  public void breakConnections(String a, String b) {
    for (ProxiedConnection l : connections) if (l.connects(a, b) || l.connects(b, a)) l.close();
  }

  public void heal() {
    cutPairs.clear();
    delaysMs.clear();
    connections.forEach(ProxiedConnection::updateFlow);
  }

  /** One connection through the wires. */
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

    /** Lets bytes flow or stops them, as the pair stands now. */
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
