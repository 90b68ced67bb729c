package gladelug.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the guarantees with a deadline, from the changes that operators and the platform made and
 * the times at which replicas received requests.
 *
 * <p>A change has a key ("mapping ask", "tenant t", "wall t", "weights", "replica r", "allowed r")
 * and a new value. A run may act on the last value whose acknowledgement is older than the grace
 * period, and on any later value. The simulator checks without any grace.
 */
public final class TimedGuarantees {
  /**
   * A change of a key: its new value, when it was sent, and when it was acknowledged (-1 if not).
   */
  public record Change(String key, String meaning, long sentMs, long acknowledgedMs) {}

  /**
   * How long after its acknowledgement a change may remain without effect, and how far runs may be
   * reordered in transit.
   */
  public record GracePeriods(
      long configurationMs, long keyMs, long weightsMs, long replicaMs, long reorderMs) {}

  public static final GracePeriods REQUIRED = new GracePeriods(2000, 5000, 25_000, 3000, 1000);

  /** A change of unknown outcome may still be accepted this long after it was sent. */
  private static final long UNKNOWN_OUTCOME_MS = 15_000;

  private final Map<String, List<Change>> changesByKey = new HashMap<>();

  public synchronized void record(Change change) {
    changesByKey.computeIfAbsent(change.key, k -> new ArrayList<>()).add(change);
  }

  /** Records a change that was sent; its outcome is unknown until {@link #recordAnswer}. */
  public Change recordSent(String key, String meaning, long at) {
    Change change = new Change(key, meaning, at, -1);
    record(change);
    return change;
  }

  /** Records when a change was acknowledged, or, with a negative time, that it was rejected. */
  public synchronized void recordAnswer(Change change, long acked) {
    List<Change> l = changesByKey.get(change.key);
    int i = l.indexOf(change);
    if (acked < 0) l.remove(i);
    else l.set(i, new Change(change.key, change.meaning, change.sentMs, acked));
  }

  public void record(String key, String meaning, long sent, long acked) {
    record(new Change(key, meaning, sent, acked));
  }

  private synchronized List<Change> changesOf(String key) {
    return new ArrayList<>(changesByKey.getOrDefault(key, List.of()));
  }

  /**
   * Returns whether a run may act on a value at a time; any value is allowed for a key without
   * changes.
   */
  public boolean isAllowed(String key, String meaning, long atMs, long graceMs) {
    List<Change> l = changesOf(key);
    if (l.isEmpty()) return true;
    int from = -1;
    for (int i = 0; i < l.size(); i++)
      if (l.get(i).acknowledgedMs >= 0 && l.get(i).acknowledgedMs + graceMs < atMs) from = i;
    for (int i = 0; i < l.size(); i++) {
      Change change = l.get(i);
      boolean mayBeAcceptedLate =
          change.acknowledgedMs < 0
              && from >= 0
              && change.sentMs > l.get(from).sentMs - UNKNOWN_OUTCOME_MS;
      if ((i >= from || mayBeAcceptedLate)
          && change.meaning.equals(meaning)
          && change.sentMs <= atMs) return true;
    }
    return false;
  }

  public Map<String, List<String>> check(Ledger l, GracePeriods g) {
    Map<String, List<String>> out = new LinkedHashMap<>();
    for (String r :
        new String[] {
          "old-policy-after-2s",
          "revoked-key-after-5s",
          "old-weights-after-25s",
          "leaving-replica-after-3s",
          "slipped-back",
          "isolated-tenant-shared-a-prefix"
        }) out.put(r, new ArrayList<>());
    Map<String, List<Object[]>> byRelay = new HashMap<>();
    l.runs.forEach(
        (tag, runs) -> {
          Ledger.Call c = l.calls.get(tag);
          if (c == null) return;
          List<Ledger.Run> rs;
          synchronized (runs) {
            rs = new ArrayList<>(runs);
          }
          for (Ledger.Run r : rs) {
            String who = tag + " (" + r.order + ")";
            if (!isAllowed("mapping " + c.kind, r.service, r.atMs, g.configurationMs))
              out.get("old-policy-after-2s").add(who + " ran at " + r.service);
            if (!r.weights.isEmpty()
                && !isAllowed("wall " + c.tenant, meaning(r.wall), r.atMs, g.configurationMs))
              out.get("old-policy-after-2s").add(who + " behind the wall '" + r.wall + "'");
            if (!isAllowed("allowed " + r.instance, "yes", r.atMs, g.configurationMs))
              out.get("old-policy-after-2s")
                  .add(who + " at " + r.instance + ", which is no longer allowed");
            if (!isAllowed("tenant " + c.tenant, "good", r.atMs, g.keyMs))
              out.get("revoked-key-after-5s").add(who);
            if (!r.weights.isEmpty() && !isAllowed("weights", r.weights, r.atMs, g.weightsMs))
              out.get("old-weights-after-25s").add(who + " on " + r.weights);
            if (!isAllowed("replica " + r.instance, "ready", r.atMs, g.replicaMs))
              out.get("leaving-replica-after-3s").add(who + " at " + r.instance);
            byRelay
                .computeIfAbsent(c.relay + " mapping " + c.kind, k -> new ArrayList<>())
                .add(new Object[] {r.atMs, r.service, who, "mapping " + c.kind});
          }
        });
    byRelay
        .values()
        .forEach(rs -> out.get("slipped-back").addAll(findRegressions(rs, g.reorderMs)));
    for (Ledger.ForeignUse use : l.foreignUses)
      for (String tag : List.of(use.tag(), use.maker()))
        if (!isAllowed("wall " + l.calls.get(tag).tenant, "", use.at(), g.configurationMs))
          out.get("isolated-tenant-shared-a-prefix")
              .add(
                  use.tag()
                      + " at "
                      + use.instance()
                      + " used what "
                      + use.maker()
                      + " had made, though "
                      + l.calls.get(tag).tenant
                      + " is isolated");
    return out;
  }

  /**
   * Returns the tenant of an isolation domain, or an empty string for a shared one, whose name
   * begins with a slash.
   */
  private static String meaning(String wall) {
    return wall.startsWith("/") ? "" : wall;
  }

  /**
   * Returns the runs of one relay and route that acted on an older value than a clearly earlier
   * run.
   */
  private List<String> findRegressions(List<Object[]> runs, long slack) {
    List<String> out = new ArrayList<>();
    runs.sort(Comparator.comparingLong(r -> (Long) r[0]));
    List<Change> l = changesOf((String) runs.get(0)[3]);
    if (l.isEmpty()) return out;
    List<long[]> seen = new ArrayList<>();
    int next = 0, floor = 0;
    for (Object[] r : runs) {
      long at = (Long) r[0];
      for (; next < seen.size() && seen.get(next)[0] <= at - slack; next++)
        floor = Math.max(floor, (int) seen.get(next)[1]);
      int i = floor;
      while (i < l.size() && !(l.get(i).meaning.equals(r[1]) && l.get(i).sentMs <= at)) i++;
      if (i < l.size()) seen.add(new long[] {at, i});
      else out.add(r[2] + " at " + r[1] + ", after a later policy was acted on");
    }
    return out;
  }
}
