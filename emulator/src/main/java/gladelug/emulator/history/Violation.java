package gladelug.emulator.history;

import gladelug.emulator.history.Call.ChangeCall;
import gladelug.emulator.history.Call.ReadCall;
import java.util.Optional;

/** The kinds of contradictions that a history can contain, the most direct first. */
public enum Violation {
  /** Two changes were acknowledged on top of the same version. */
  TWO_CHANGES_CONFIRMED_ON_ONE_VERSION,

  /** An acknowledged change is refused when it is sent again. */
  ACKNOWLEDGED_AND_REFUSED,

  /** A refused change is read. */
  REFUSED_AND_IN_FORCE,

  /** A read shows another value under the version of an acknowledged change. */
  ACKNOWLEDGED_CHANGE_MISSING,

  /** A read shows an older version than one that was known before the read began. */
  STALE_READ,

  /** No version that was current during the refused call explains the refusal. */
  REFUSED_WITHOUT_REASON,

  /** No two calls contradict each other on their own. */
  OTHER;

  /** Two calls that contradict each other whatever else was called. */
  record Pair(Violation violation, Call first, Call second) {}

  /** Returns the most direct contradiction between two calls, in the order of the constants. */
  static Optional<Pair> worstPair(History history) {
    Pair worst = null;
    for (Call one : history.calls())
      for (Call other : history.calls()) {
        Violation found = betweenCalls(one, other);
        if (found != OTHER && (worst == null || found.ordinal() < worst.violation.ordinal()))
          worst = new Pair(found, one, other);
      }
    return Optional.ofNullable(worst);
  }

  /** Classifies a minimal counterexample in which no two calls contradict each other. */
  static Violation ofMinimizedHistory(History counterexample) {
    for (Call call : counterexample.calls())
      if (call instanceof ChangeCall changeCall && changeCall.outcome() == Outcome.REFUSED)
        return REFUSED_WITHOUT_REASON;
    return OTHER;
  }

  private static Violation betweenCalls(Call one, Call other) {
    if (one instanceof ChangeCall changeCall && changeCall.outcome() == Outcome.ACKNOWLEDGED)
      return afterAcknowledged(changeCall, other);
    if (one instanceof ChangeCall changeCall
        && changeCall.outcome() == Outcome.REFUSED
        && other instanceof ReadCall read
        && read.id().equals(changeCall.change().id())) return REFUSED_AND_IN_FORCE;
    if (one instanceof ReadCall first
        && other instanceof ReadCall second
        && first.endMs() < second.startMs()
        && second.version() < first.version()) return STALE_READ;
    return OTHER;
  }

  private static Violation afterAcknowledged(ChangeCall changeCall, Call other) {
    Change change = changeCall.change();
    if (other instanceof ChangeCall again) {
      boolean same = again.change().id().equals(change.id());
      if (again.outcome() == Outcome.ACKNOWLEDGED
          && !same
          && again.change().baseVersion() == change.baseVersion())
        return TWO_CHANGES_CONFIRMED_ON_ONE_VERSION;
      if (again.outcome() == Outcome.REFUSED && same) return ACKNOWLEDGED_AND_REFUSED;
      return OTHER;
    }
    ReadCall read = (ReadCall) other;
    if (read.version() == change.version() && !read.id().equals(change.id()))
      return ACKNOWLEDGED_CHANGE_MISSING;
    return read.startMs() > changeCall.endMs() && read.version() < change.version()
        ? STALE_READ
        : OTHER;
  }
}
