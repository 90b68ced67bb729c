package gladelug.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks every safety rule against the ledger of the stand-ins and names the offending requests.
 */
public final class LedgerChecker {
  public record Finding(String rule, List<String> offenders) {
    public boolean passed() {
      return offenders.isEmpty();
    }
  }

  /**
   * Retries allowed regardless of the number of first attempts: what four relays may have saved,
   * and a few for relays that restart.
   */
  private static final int RETRY_ALLOWANCE = 16;

  private static final long WINDOW_SECONDS = 10;

  private LedgerChecker() {}

  public static List<Finding> checkAll(Ledger ledger) {
    Map<String, List<String>> m = new LinkedHashMap<>();
    for (String r :
        new String[] {
          "unrepeatable-ran-twice",
          "stream-lost-repeated-spliced",
          "cut-off-looks-complete",
          "bytes-of-another",
          "not-run-but-ran",
          "service-never-allowed",
          "cache-of-other-weights-or-wall",
          "two-commanders",
          "second-tries-over-a-fifth"
        }) m.put(r, new ArrayList<>());
    for (Ledger.Call c : ledger.calls.values()) {
      List<Ledger.Run> rs = ledger.runs.getOrDefault(c.tag, List.of());
      long ran = rs.stream().filter(r -> r.ran).count();
      if (!c.repeatable && ran > 1)
        m.get("unrepeatable-ran-twice").add(c.tag + " ran " + ran + " times");
      if (c.misordered > 0) m.get("stream-lost-repeated-spliced").add(c.tag + " (" + c.order + ")");
      if (c.foreign > 0) m.get("bytes-of-another").add(c.tag + " (" + c.order + ")");
      boolean whole = rs.stream().anyMatch(r -> r.ended && r.pieces == c.pieces);
      if (c.outcome.equals("complete") && !whole)
        m.get("cut-off-looks-complete").add(c.tag + " with " + c.pieces + " pieces");
      if (c.status == 200 && c.bodyTerminated && !c.explicitEnd)
        m.get("cut-off-looks-complete").add(c.tag + " ended its body without an end record");
      if (c.outcome.equals("not-run") && ran > 0)
        m.get("not-run-but-ran").add(c.tag + " (" + c.order + "): " + c.reason);
    }
    m.get("service-never-allowed").addAll(ledger.forbiddenCalls);
    m.get("cache-of-other-weights-or-wall").addAll(ledger.invalidReuses);
    m.get("two-commanders").addAll(ledger.commanderConflicts);
    m.get("second-tries-over-a-fifth").addAll(findRetryExcess(ledger, 0.2, RETRY_ALLOWANCE));
    List<Finding> out = new ArrayList<>();
    m.forEach((k, v) -> out.add(new Finding(k, v)));
    return out;
  }

  /**
   * Checks for each service, over the whole run and every window of ten seconds, that retries are
   * at most a fraction of first attempts plus an allowance. Returns a description of each excess.
   */
  public static List<String> findRetryExcess(Ledger ledger, double fraction, double allowance) {
    Map<String, TreeMap<Long, int[]>> by = new TreeMap<>();
    for (List<Ledger.Run> runs : ledger.runs.values()) {
      List<Ledger.Run> rs;
      synchronized (runs) {
        rs = new ArrayList<>(runs);
      }
      for (int i = 0; i < rs.size(); i++)
        by.computeIfAbsent(rs.get(i).service, text -> new TreeMap<>())
            .computeIfAbsent(rs.get(i).atMs / 1000, t -> new int[2])[i == 0 ? 0 : 1]++;
    }
    List<String> out = new ArrayList<>();
    by.forEach(
        (service, seconds) -> {
          check(out, service, "in all", seconds.values(), fraction, allowance);
          for (long t : seconds.keySet())
            check(
                out,
                service,
                "in the 10 s from " + t,
                seconds.subMap(t, t + WINDOW_SECONDS).values(),
                fraction,
                allowance);
        });
    return out;
  }

  private static void check(
      List<String> out,
      String service,
      String when,
      Collection<int[]> seconds,
      double fraction,
      double allowance) {
    int first = 0, second = 0;
    for (int[] n : seconds) {
      first += n[0];
      second += n[1];
    }
    if (second > first * fraction + allowance)
      out.add(service + " " + when + ": " + second + " retries of " + first + " requests");
  }
}
