package gladelug.emulator.history;

import gladelug.emulator.history.Call.ChangeCall;
import gladelug.emulator.history.Call.ReadCall;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * A small part of a history that no register can explain, reduced for display: two calls that
 * contradict each other if there are such, otherwise what remains when outcomes are dropped one by
 * one as long as the rest is still contradictory. Dropping an outcome only allows more, so what
 * remains is contradictory by itself.
 */
public record Counterexample(History history, Violation violation) {
  private static final int BAR_CHARS = 40;

  /** Returns the counterexample of a history, or empty if the history is linearizable. */
  public static Optional<Counterexample> of(History history) {
    if (LinearizabilityChecker.isLinearizable(history)) return Optional.empty();
    History prefix = shortestPrefix(history);
    Optional<Violation.Pair> pair = Violation.worstPair(prefix);
    if (pair.isPresent()) {
      Violation.Pair found = pair.get();
      return Optional.of(
          new Counterexample(
              keepOutcomesOf(prefix, Set.of(found.first(), found.second())), found.violation()));
    }
    History smallest = minimize(prefix);
    return Optional.of(new Counterexample(smallest, Violation.ofMinimizedHistory(smallest)));
  }

  /**
   * Returns the shortest contradictory prefix, by bisection: a history that is contradictory at one
   * time stays so at any later time.
   */
  private static History shortestPrefix(History history) {
    TreeSet<Long> ends = new TreeSet<>();
    for (Call call : history.calls()) if (call.mustBeExplained()) ends.add(call.endMs());
    List<Long> endTimesMs = new ArrayList<>(ends);
    int low = 0;
    int high = endTimesMs.size() - 1;
    while (low < high) {
      int middle = (low + high) / 2;
      if (LinearizabilityChecker.isLinearizable(history.until(endTimesMs.get(middle))))
        low = middle + 1;
      else high = middle;
    }
    return history.until(endTimesMs.get(low));
  }

  private static History minimize(History history) {
    Set<Call> kept = new LinkedHashSet<>();
    for (Call call : history.calls()) if (call.mustBeExplained()) kept.add(call);
    for (int size = Math.max(1, kept.size() / 2); size > 0; size /= 2) {
      List<Call> calls = new ArrayList<>(kept);
      for (int start = 0; start < calls.size(); start += size) {
        Set<Call> fewer = new LinkedHashSet<>(kept);
        calls.subList(start, Math.min(calls.size(), start + size)).forEach(fewer::remove);
        if (!LinearizabilityChecker.isLinearizable(keepOutcomesOf(history, fewer))) kept = fewer;
      }
    }
    return keepOutcomesOf(history, kept);
  }

  private static History keepOutcomesOf(History history, Set<Call> kept) {
    List<Call> weakened = new ArrayList<>();
    for (Call call : history.calls()) {
      Call seen = call.mustBeExplained() && !kept.contains(call) ? call.withoutOutcome() : call;
      if (seen != null) weakened.add(seen);
    }
    return new History(weakened);
  }

  /**
   * Formats one line for each call: its times, a bar on the common scale, operator and member, and
   * the outcome.
   */
  public String timeline() {
    List<Call> shown = new ArrayList<>();
    for (Call call : history.calls())
      if (call.mustBeExplained() || isRelated(call)) shown.add(call);
    long firstMs = shown.get(0).startMs();
    long lastMs = firstMs;
    for (Call call : shown)
      lastMs = Math.max(lastMs, call.endMs() == Call.NO_END ? call.startMs() : call.endMs());
    StringBuilder text = new StringBuilder(violation + "\n");
    for (Call call : shown) appendLine(text, call, firstMs, Math.max(1, lastMs - firstMs));
    int hidden = history.calls().size() - shown.size();
    if (hidden > 0) text.append("and ").append(hidden).append(" calls with no clear answer\n");
    return text.toString();
  }

  /**
   * Returns whether a call without an outcome concerns a version that a call with one refers to.
   */
  private boolean isRelated(Call call) {
    if (!(call instanceof ChangeCall changeCall)) return false;
    for (Call other : history.calls()) {
      if (!other.mustBeExplained()) continue;
      if (other instanceof ReadCall read && read.version() == changeCall.change().version())
        return true;
      if (other instanceof ChangeCall change
          && (change.change().baseVersion() == changeCall.change().baseVersion()
              || change.change().baseVersion() == changeCall.change().version())) return true;
    }
    return false;
  }

  private static void appendLine(StringBuilder text, Call call, long firstMs, long spanMs) {
    boolean open = call.endMs() == Call.NO_END;
    int start = (int) ((call.startMs() - firstMs) * (BAR_CHARS - 1) / spanMs);
    int end = open ? BAR_CHARS - 1 : (int) ((call.endMs() - firstMs) * (BAR_CHARS - 1) / spanMs);
    StringBuilder bar = new StringBuilder(" ".repeat(BAR_CHARS));
    for (int i = start; i <= end; i++) bar.setCharAt(i, '-');
    bar.setCharAt(start, '[');
    bar.setCharAt(end, open ? '>' : ']');
    text.append(
        String.format(
            "%8d %8s %s %-4s %-4s %s%n",
            call.startMs(),
            open ? "" : call.endMs(),
            bar,
            call.operator(),
            call.member(),
            describe(call)));
  }

  private static String describe(Call call) {
    if (call instanceof ReadCall read)
      return read.version() == 0
          ? "reads that nothing was written"
          : "reads " + read.version() + " " + read.id();
    ChangeCall changeCall = (ChangeCall) call;
    Change change = changeCall.change();
    String currentText =
        changeCall.currentVersion() == ChangeCall.UNKNOWN_VERSION
            ? ""
            : ", " + changeCall.currentVersion() + " reported as current";
    return "changes "
        + change.baseVersion()
        + " to "
        + change.version()
        + " "
        + change.id()
        + ": "
        + changeCall.outcome()
        + currentText;
  }
}
