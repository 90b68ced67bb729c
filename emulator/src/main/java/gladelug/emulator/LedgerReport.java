package gladelug.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Prints a summary of a ledger: outcomes, attempts, prefix blocks, and a verdict for each rule. */
public final class LedgerReport {
  private static final int MAX_OFFENDERS_SHOWN = 5;

  private LedgerReport() {}

  /** Prints the report of a fleet's ledger and returns true if no rule was broken. */
  public static boolean print(Fleet fleet) {
    return print(fleet, List.of());
  }

  /** Prints the report with additional lines before the verdicts. */
  static boolean print(Fleet fleet, List<String> further) {
    printOutcomes(fleet.ledger);
    printReplicas(fleet.ledger);
    further.forEach(System.out::println);
    printIndexes(fleet);
    boolean clean = true;
    for (LedgerChecker.Finding finding : LedgerChecker.checkAll(fleet.ledger)) {
      clean &= finding.passed();
      printRule(finding.rule(), finding.offenders());
    }
    return clean;
  }

  /** Prints the verdict of one rule. */
  public static void printRule(String rule, List<String> offenders) {
    int shown = Math.min(MAX_OFFENDERS_SHOWN, offenders.size());
    String verdict =
        offenders.isEmpty()
            ? "clean"
            : offenders.size() + " offenders " + offenders.subList(0, shown);
    System.out.println("must never: " + rule + ": " + verdict);
  }

  private static void printOutcomes(Ledger ledger) {
    Map<String, Map<String, Integer>> outcomes = new TreeMap<>();
    Map<String, List<Long>> firstPieces = new TreeMap<>();
    Map<String, Integer> reasons = new TreeMap<>();
    for (Ledger.Call call : ledger.calls.values()) {
      outcomes
          .computeIfAbsent(call.kind, kind -> new TreeMap<>())
          .merge(call.outcome, 1, Integer::sum);
      if (call.firstPieceMs >= 0) {
        firstPieces
            .computeIfAbsent(call.kind, kind -> new ArrayList<>())
            .add(call.firstPieceMs - call.sentMs);
      }
      if (!call.outcome.equals("complete")) {
        String reason = call.reason.replaceAll("replica-\\d+", "a replica");
        reasons.merge(call.outcome + ": " + reason, 1, Integer::sum);
      }
    }
    outcomes.forEach(
        (kind, counts) -> {
          List<Long> first = firstPieces.getOrDefault(kind, List.of());
          System.out.printf(
              Locale.ROOT,
              "outcomes %-18s %s first piece ms median %.0f p95 %.0f%n",
              kind,
              counts,
              Quantiles.at(first, 0.5),
              Quantiles.at(first, 0.95));
        });
    reasons.forEach((reason, count) -> System.out.println("  " + count + " x " + reason));
  }

  private static void printReplicas(Ledger ledger) {
    long requests = 0;
    long secondTries = 0;
    PrefixBlocks blocks = new PrefixBlocks();
    Map<String, Integer> byReplica = new TreeMap<>();
    for (List<Ledger.Run> runs : ledger.runs.values()) {
      requests++;
      secondTries += runs.size() - 1;
      for (Ledger.Run run : runs) {
        if (!run.ran) continue;
        blocks.add(run);
        if (run.blocks > 0) byReplica.merge(run.instance, 1, Integer::sum);
      }
    }
    System.out.printf(
        Locale.ROOT,
        "requests that reached a replica %d, second tries %d (%.2f%%)%n",
        requests,
        secondTries,
        100.0 * secondTries / Math.max(1, requests));
    System.out.printf(
        Locale.ROOT,
        "prefix blocks %d: reused %.1f%%, fetched %.1f%%, computed %.1f%%; wrong fetch hints %d%n",
        blocks.all,
        blocks.percent(blocks.reused),
        blocks.percent(blocks.fetched),
        blocks.percent(blocks.computed),
        blocks.wrongHints);
    System.out.println("requests per replica " + byReplica.values());
  }

  private static void printIndexes(Fleet fleet) {
    for (String name : fleet.operatorAddresses.keySet()) {
      if (!name.startsWith("index")) continue;
      var status =
          fleet
              .http(fleet.operatorAddresses.get(name), "GET", "/operator/status", null, Map.of())
              .body();
      System.out.println(
          name
              + ": warm "
              + status.get("warm")
              + " entries "
              + status.get("entries")
              + " occupancy "
              + status.get("occupancy")
              + " overflow "
              + status.get("overflow")
              + " strays "
              + status.get("overflowStrays")
              + " questions "
              + status.get("questions")
              + " hits "
              + status.get("hits"));
    }
  }
}
