package gladelug.emulator.sim;

import gladelug.common.connection.Liveness;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The connections of a simulated fleet: which process holds one to which, and by which of them news
 * goes back to a relay.
 */
final class SimNetwork {
  /** Without heartbeats attempts to connect took this long, ms. */
  private static final Liveness WITHOUT_HEARTBEATS = new Liveness(1, 1, 1000, 200);

  private record Pair(String caller, String callee) {}

  private record RelaySubscription(SimLink link, SimTcpConnection connection) {}

  private final Simulation sim;
  private final Map<Pair, SimLink> links = new HashMap<>();

  /** By member and relay: the connection that the relay asked by last. */
  private final Map<Pair, RelaySubscription> subscriptions = new HashMap<>();

  SimNetwork(Simulation sim) {
    this.sim = sim;
  }

  private SimLink linkOf(String caller, String callee) {
    Pair pair = new Pair(caller, callee);
    SimLink link = links.get(pair);
    if (link == null || link.isOver()) links.put(pair, link = openLink(caller, callee));
    return link;
  }

  private SimLink openLink(String caller, String callee) {
    boolean isMember = sim.controls.containsKey(caller);
    Liveness liveness =
        isMember
            ? Liveness.forMembers(sim.config.heartbeatMs(), sim.config.peerTimeoutMs())
            : Liveness.DATA_PLANE;
    Consumer<SimTcpConnection> onOpened = connection -> sim.onConnectionOpened(caller, callee);
    return new SimLink(
        sim, caller, callee, sim.usesHeartbeats ? liveness : WITHOUT_HEARTBEATS, onOpened);
  }

  /** received: at the callee, by the process that runs there. */
  void send(String caller, String callee, int bytes, Runnable onReceived) {
    linkOf(caller, callee).send(bytes, connection -> onReceived.run());
  }

  /** What a relay asks, so that news can go back by the same connection. */
  void subscribe(String relay, String isMember, int bytes, Runnable onReceived) {
    SimLink link = linkOf(relay, isMember);
    link.send(
        bytes,
        connection -> {
          subscriptions.put(new Pair(isMember, relay), new RelaySubscription(link, connection));
          onReceived.run();
        });
  }

  void pushUpdate(String isMember, String relay, Runnable onReceived) {
    RelaySubscription subscription = subscriptions.get(new Pair(isMember, relay));
    if (subscription != null && subscription.connection.isOpen())
      subscription.link.sendBack(subscription.connection, onReceived);
  }

  void closeIfSilent(String caller) {
    links.forEach(
        (pair, link) -> {
          if (pair.caller.equals(caller)) link.closeIfSilent();
        });
  }

  /** Resets all connections of this process, begun by it or by others. */
  void resetAll(String process) {
    links.forEach(
        (pair, link) -> {
          if (pair.caller.equals(process) || pair.callee.equals(process)) link.reset();
        });
  }
}
