package gladelug.emulator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The command "weights": measures how long a rollout of new weights takes under load, and what it
 * costs callers.
 */
final class WeightsRollout {
  private static final String OLD = "w1";
  private static final String NEW = "w2";
  private static final long WARM_UP_MS = 5000;
  private static final long ROLLOUT_TIMEOUT_MS = 40_000;
  private static final long STEP_MS = 20;
  private static final long SETTLE_MS = 2000;
  private static final long DRAIN_TIMEOUT_MS = 30_000;

  private WeightsRollout() {}

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Sets new weights once and prints how the rollout went. */
  static void measure(Deployment deployment, String base) throws Exception {
    Path out = Path.of(base).toAbsolutePath().resolve("weights-" + System.currentTimeMillis());
    try (Fleet fleet = new Fleet(deployment, out, 1, "summary")) {
      fleet.start();
      StandInCallers callers =
          new StandInCallers(
              fleet.vertx,
              fleet.ledger,
              fleet.callerAddresses,
              deployment.tenants(),
              deployment.kinds(),
              1);
      callers.start();
      Fleet.pause(WARM_UP_MS);
      long setAtMs = now();
      Fleet.Answer answer = fleet.setWeights(NEW);
      List<Long> moved = moved(fleet, setAtMs);
      Fleet.pause(SETTLE_MS);
      callers.stop();
      Fleet.waitUntil("the last requests end", DRAIN_TIMEOUT_MS, () -> callers.openRequests() == 0);
      report(fleet.ledger, answer.status(), moved, setAtMs);
    }
  }

  /** Returns the ms from setting the weights until each model replica ran them. */
  private static List<Long> moved(Fleet fleet, long setAtMs) {
    List<StandInReplica> models =
        fleet.replicas.values().stream()
            .filter(replica -> replica.kind == StandInReplica.Kind.MODEL)
            .toList();
    List<Long> moved = new ArrayList<>();
    while (moved.size() < models.size() && now() - setAtMs <= ROLLOUT_TIMEOUT_MS) {
      long onNew = models.stream().filter(replica -> replica.weights().equals(NEW)).count();
      while (moved.size() < onNew) moved.add(now() - setAtMs);
      Fleet.pause(STEP_MS);
    }
    return moved;
  }

  private static void report(Ledger ledger, int status, List<Long> moved, long setAtMs) {
    List<Ledger.Call> calls =
        ledger.calls.values().stream().filter(call -> call.sentMs >= setAtMs).toList();
    long incomplete = calls.stream().filter(call -> !call.outcome.equals("complete")).count();
    long lastOnOld =
        ledger.runs.values().stream()
            .flatMap(List::stream)
            .filter(run -> run.weights.equals(OLD))
            .mapToLong(run -> run.atMs - setAtMs)
            .max()
            .orElse(0);
    List<Long> firstPieces =
        calls.stream()
            .filter(call -> call.firstPieceMs >= 0)
            .map(call -> call.firstPieceMs - call.sentMs)
            .toList();
    System.out.printf(
        Locale.ROOT,
        "change answered %d; replicas on new weights after ms %s; last request started on old weights "
            + "after %d ms; %d of %d requests not complete; p95 first piece %.0f ms%n",
        status,
        moved,
        lastOnOld,
        incomplete,
        calls.size(),
        Quantiles.at(firstPieces, 0.95));
  }
}
