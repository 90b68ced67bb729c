package gladelug.emulator.sim;

import gladelug.common.connection.Liveness;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The connections of a simulated fleet: which process holds one to which, and over which of them
 * updates go back to a relay.
 */
final class SimNetwork {
  /** Timeouts used without heartbeats, where an attempt to connect takes 1000 ms. */
  private static final Liveness WITHOUT_HEARTBEATS = new Liveness(1, 1, 1000, 200);

  private record Pair(String caller, String callee) {}

  private record RelaySubscription(SimLink link, SimTcpConnection connection) {}

  private final Simulation sim;
  private final Map<Pair, SimLink> links = new HashMap<>();

  /** The connection over which a relay last renewed its subscription, by member and relay. */
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

  /** Sends bytes to the callee; the callback runs in the process that runs there then. */
  void send(String caller, String callee, int bytes, Runnable onReceived) {
    linkOf(caller, callee).send(bytes, connection -> onReceived.run());
  }

  /** Sends a subscription request and remembers its connection for the updates that follow. */
  void subscribe(String relay, String member, int bytes, Runnable onReceived) {
    SimLink link = linkOf(relay, member);
    link.send(
        bytes,
        connection -> {
          subscriptions.put(new Pair(member, relay), new RelaySubscription(link, connection));
          onReceived.run();
        });
  }

  void pushUpdate(String member, String relay, Runnable onReceived) {
    RelaySubscription subscription = subscriptions.get(new Pair(member, relay));
    if (subscription != null && subscription.connection.isOpen())
      subscription.link.sendBack(subscription.connection, onReceived);
  }

  void closeIfSilent(String caller) {
    links.forEach(
        (pair, link) -> {
          if (pair.caller.equals(caller)) link.closeIfSilent();
        });
  }

  /** Resets all connections of a process, whichever side opened them. */
  void resetAll(String process) {
    links.forEach(
        (pair, link) -> {
          if (pair.caller.equals(process) || pair.callee.equals(process)) link.reset();
        });
  }
}
