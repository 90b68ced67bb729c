package gladelug.emulator;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * The command "shares": compares the throughput of tenants on a saturated fleet with their fair
 * share, alternating between fleet-wide division and shares kept by each relay alone. Three tenants
 * have equal weight: a heavy one sends five times its share through two relays, a light one sends
 * through a third relay, and another light one through all relays.
 */
final class ShareComparison {
  private record Flow(String label, int tenant, double perSecond, int[] relays) {}

  private ShareComparison() {}

  static void measure(String base, int rounds, int seconds) throws Exception {
    Map<String, List<double[]>> got = new TreeMap<>();
    for (int round = 1; round <= rounds; round++)
      for (String division : new String[] {"fleet", "alone"}) {
        Deployment deployment = Deployment.mokaRidge();
        Path out =
            Path.of(base)
                .toAbsolutePath()
                .resolve("shares-" + division + "-" + System.currentTimeMillis());
        Files.createDirectories(out);
        try (Fleet fleet = new Fleet(deployment, out, round, "summary", division)) {
          fleet.start();
          for (StandInReplica r : fleet.replicas.values())
            if (r.kind == StandInReplica.Kind.MODEL) r.faults.extraPieceDelayMs = 60;
          StandInCallers.Kind k = deployment.kinds().get(2);
          StandInCallers callers =
              new StandInCallers(
                  fleet.vertx,
                  fleet.ledger,
                  fleet.callerAddresses,
                  deployment.tenants(),
                  deployment.kinds(),
                  round);
          Flow[] flows = {
            new Flow("heavy", 3, 120, new int[] {0, 1}),
            new Flow("light", 4, 20, new int[] {2}),
            new Flow("spread", 5, 20, new int[] {0, 1, 2, 3})
          };
          Random random = new Random(round);
          long begin = System.nanoTime(),
              end = begin + seconds * 1_000_000_000L,
              half = begin + seconds * 400_000_000L;
          double[] due = new double[flows.length];
          while (System.nanoTime() < end) {
            double t = (System.nanoTime() - begin) / 1e9;
            for (int i = 0; i < flows.length; i++)
              while (due[i] < t) {
                callers.send(
                    k,
                    deployment.tenants().get(flows[i].tenant),
                    fleet.callerAddresses.get(
                        flows[i].relays[random.nextInt(flows[i].relays.length)]));
                due[i] += 1 / flows[i].perSecond;
              }
            Fleet.pause(2);
          }
          long from = half / 1_000_000, to = end / 1_000_000;
          double[] v = new double[flows.length + 1];
          for (int i = 0; i < flows.length; i++) {
            String tenant = deployment.tenants().get(flows[i].tenant).name();
            v[i] = completedPerSecond(fleet.ledger, tenant, from, to);
            v[flows.length] += v[i];
          }
          got.computeIfAbsent(division, x -> new ArrayList<>()).add(v);
          double fair = dueOf(v[3], flows);
          System.out.printf(
              Locale.ROOT,
              "round %d %-6s completed a second: heavy %.1f, light %.1f of 20, spread %.1f of 20, all "
                  + "%.1f; light has %.0f%% and spread %.0f%% of its due%n",
              round,
              division,
              v[0],
              v[1],
              v[2],
              v[3],
              100 * v[1] / fair,
              100 * v[2] / fair);
          callers.stop();
        }
      }
    got.forEach(ShareComparison::printSummary);
  }

  /** Returns a tenant's completed requests per second between two times in ms. */
  private static double completedPerSecond(Ledger ledger, String tenant, long from, long to) {
    return ledger.calls.values().stream()
            .filter(
                call ->
                    call.tenant.equals(tenant)
                        && call.outcome.equals("complete")
                        && call.doneMs >= from
                        && call.doneMs < to)
            .count()
        * 1000.0
        / (to - from);
  }

  private static void printSummary(String division, List<double[]> rounds) {
    System.out.printf(
        Locale.ROOT,
        "%-6s light median %.1f (%.1f to %.1f) of 20 a second, spread median %.1f (%.1f to %.1f)%n",
        division,
        at(rounds, 1, 0.5),
        at(rounds, 1, 0),
        at(rounds, 1, 1),
        at(rounds, 2, 0.5),
        at(rounds, 2, 0),
        at(rounds, 2, 1));
  }

  /**
   * Returns the fair share at equal weights: a third of the fleet's throughput, or the demand if
   * that is less.
   */
  private static double dueOf(double all, Flow[] flows) {
    return Math.min(flows[1].perSecond, all / flows.length);
  }

  private static double at(List<double[]> l, int i, double q) {
    return Quantiles.at(l.stream().map(v -> v[i]).toList(), q);
  }
}
