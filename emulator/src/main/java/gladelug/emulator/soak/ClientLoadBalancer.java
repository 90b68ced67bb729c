package gladelug.emulator.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Assigns new client connections to machines, as the platform's load balancer does. It probes the
 * readiness of every machine once a second. A machine that fails two probes in a row gets no new
 * connections until a probe succeeds; if no machine is ready, all of them get connections.
 */
final class ClientLoadBalancer {
  private static final int PROBE_INTERVAL_MS = 1000;
  private static final int UNREADY_AFTER_MISSES = 2;

  private final SoakLedger ledger;
  private final SoakMachines machines;
  private final Map<Integer, Integer> misses = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  ClientLoadBalancer(SoakLedger ledger, SoakMachines machines) {
    this.ledger = ledger;
    this.machines = machines;
  }

  void start() {
    for (SoakProcess relay : machines.relays) {
      misses.put(relay.machine, UNREADY_AFTER_MISSES);
      DaemonThreads.start(
          "readiness probe " + relay.machine, () -> probeUntilStopped(relay.machine));
    }
  }

  void stop() {
    stopped = true;
  }

  private void probeUntilStopped(int machine) {
    while (!stopped) {
      boolean ready = isReady(machine);
      ledger.recordReadiness(new SoakLedger.Readiness(machine, ready, ledger.nowMs()));
      if (ready) misses.put(machine, 0);
      else misses.merge(machine, 1, Integer::sum);
      DaemonThreads.pause(PROBE_INTERVAL_MS);
    }
  }

  /** Probes a machine once; returns whether it reports that it is ready. */
  boolean isReady(int machine) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(machines.address(machine), machines.readinessPort()),
          PROBE_INTERVAL_MS);
      socket.setSoTimeout(PROBE_INTERVAL_MS);
      HttpMessage.write(
          socket.getOutputStream(), "GET /-/readiness HTTP/1.1\r\nHost: r\r\n", new byte[0]);
      HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      return answer != null && answer.status() == 200;
    } catch (IOException | NumberFormatException e) {
      return false;
    }
  }

  /** Returns a random machine for a new connection. */
  int pickMachine(Random random) {
    List<Integer> candidates = new ArrayList<>();
    misses.forEach(
        (machine, missed) -> {
          if (missed < UNREADY_AFTER_MISSES) candidates.add(machine);
        });
    if (candidates.isEmpty()) candidates.addAll(misses.keySet());
    return candidates.get(random.nextInt(candidates.size()));
  }
}
