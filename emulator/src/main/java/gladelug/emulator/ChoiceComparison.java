package gladelug.emulator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The command "compare": runs the three ways of choosing a replica in turn, for several rounds,
 * each round with the same seed.
 */
final class ChoiceComparison {
  /** The ways of choosing a replica; the others are compared to the first. */
  static final List<String> CHOICES = List.of("summary", "least-occupancy", "holder-always");

  /** The options of a comparison. */
  record Options(
      String deployment, int seconds, int rounds, double rate, double linkFactor, String out) {}

  /** The results of one round of one choice; shares in percent, times in milliseconds. */
  private record Figures(
      double computed, double fetched, double medianMs, double p95Ms, double complete) {}

  private interface Figure {
    double of(Figures figures);
  }

  private static final long DRAIN_TIMEOUT_MS = 30_000;
  private final Options options;
  private final Map<String, List<Figures>> figures = new TreeMap<>();

  private ChoiceComparison(Options options) {
    this.options = options;
  }

  /** Runs all rounds and prints figures and ratios. */
  static void measure(Options options) throws Exception {
    ChoiceComparison comparison = new ChoiceComparison(options);
    for (int round = 1; round <= options.rounds; round++) {
      for (String choice : CHOICES) comparison.play(round, choice);
    }
    comparison.printRatios("computed blocks", Figures::computed);
    comparison.printRatios("median first piece", Figures::medianMs);
    comparison.printRatios("p95 first piece", Figures::p95Ms);
  }

  private void play(int round, String choice) throws Exception {
    Deployment deployment = Deployment.byName(options.deployment);
    Path out =
        Path.of(options.out)
            .toAbsolutePath()
            .resolve(
                "compare-" + deployment.name() + "-" + choice + "-" + System.currentTimeMillis());
    try (Fleet fleet = new Fleet(deployment, out, round, choice)) {
      fleet.start();
      for (StandInReplica replica : fleet.replicas.values()) {
        replica.faults.linkFactor = options.linkFactor;
      }
      StandInCallers callers =
          new StandInCallers(
              fleet.vertx,
              fleet.ledger,
              fleet.callerAddresses,
              deployment.tenants(),
              deployment.kinds(),
              round);
      callers.rateFactor = options.rate;
      callers.start();
      Fleet.pause(options.seconds * 1000L);
      callers.stop();
      Fleet.waitUntil("the last requests end", DRAIN_TIMEOUT_MS, () -> callers.openRequests() == 0);
      Figures result = figuresOf(fleet.ledger);
      figures.computeIfAbsent(choice, c -> new ArrayList<>()).add(result);
      print(round, choice, result);
    }
  }

  private static Figures figuresOf(Ledger ledger) {
    PrefixBlocks blocks = new PrefixBlocks();
    ledger.runs.values().forEach(runs -> runs.forEach(blocks::add));
    List<Long> firstPieces =
        ledger.calls.values().stream()
            .filter(call -> call.firstPieceMs >= 0)
            .map(call -> call.firstPieceMs - call.sentMs)
            .toList();
    double complete =
        ledger.calls.values().stream().filter(call -> call.outcome.equals("complete")).count();
    return new Figures(
        blocks.percent(blocks.computed),
        blocks.percent(blocks.fetched),
        Quantiles.at(firstPieces, 0.5),
        Quantiles.at(firstPieces, 0.95),
        100 * complete / ledger.calls.size());
  }

  private static void print(int round, String choice, Figures of) {
    System.out.printf(
        Locale.ROOT,
        "round %d %-16s computed %.1f%% fetched %.1f%% of blocks, first piece median %.0f p95 "
            + "%.0f ms, complete %.2f%%%n",
        round,
        choice,
        of.computed,
        of.fetched,
        of.medianMs,
        of.p95Ms,
        of.complete);
  }

  private void printRatios(String what, Figure figure) {
    List<Figures> base = figures.get(CHOICES.get(0));
    for (String choice : CHOICES) {
      List<Double> ratios = new ArrayList<>();
      for (int i = 0; i < base.size(); i++) {
        ratios.add(figure.of(figures.get(choice).get(i)) / figure.of(base.get(i)));
      }
      System.out.printf(
          Locale.ROOT,
          "%-16s %s, ratio to summary: median %.2f, from %.2f to %.2f%n",
          choice,
          what,
          Quantiles.at(ratios, 0.5),
          Quantiles.at(ratios, 0),
          Quantiles.at(ratios, 1));
    }
  }
}
