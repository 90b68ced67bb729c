package gladelug.emulator.control;

import gladelug.emulator.LedgerChecker.Finding;
import gladelug.emulator.control.ChangeLedger.Attempt;
import gladelug.emulator.control.ChangeLedger.Outcome;
import gladelug.emulator.control.ChangeLedger.Reading;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules of the control plane against what operators recorded: no confirmed change is
 * lost or confirmed under two numbers, no outdated state is shown or used to refuse a change, and a
 * change that was taken is not refused when it is sent again. Reports one finding per rule, with
 * the attempts and reads that broke it.
 */
public final class ControlJudge {
  /** A read showed an old state after a newer one had been confirmed. */
  public static final String OLD_STATE_SHOWN = "old-configuration-shown";

  /**
   * A change was refused as stale though it was based on the number named as current, or the
   * current number named was below one confirmed before the change was sent.
   */
  public static final String REFUSED_ON_OLD_STATE = "refused-on-old-state";

  /** Two contents were confirmed under one number. */
  public static final String TWO_UNDER_ONE_NUMBER = "two-confirmed-under-one-number";

  /** A content was confirmed under two numbers. */
  public static final String CONFIRMED_TWICE = "one-change-under-two-numbers";

  /** A change that had been taken was refused when it was sent again. */
  public static final String TAKEN_CHANGE_REFUSED = "taken-change-refused-when-sent-again";

  /**
   * A change that had been refused, and could not have been taken by an earlier attempt, was
   * confirmed or shown.
   */
  public static final String REFUSED_CHANGE_TAKEN = "refused-change-was-taken";

  /** A read showed another content under a number than the one confirmed under it. */
  public static final String CONFIRMED_LOST = "confirmed-change-lost";

  /** No change was confirmed for longer than allowed. */
  public static final String NO_CHANGE_FOR_TOO_LONG = "no-change-confirmed-for-long";

  private final List<Attempt> attempts;
  private final List<Reading> readings;

  private ControlJudge(ChangeLedger ledger) {
    attempts = ledger.attempts();
    readings = ledger.readings().stream().filter(reading -> reading.status() == 200).toList();
  }

  /**
   * Checks all rules.
   *
   * @param maxGapMs the longest time between two confirmed changes that is allowed
   */
  public static List<Finding> judge(ChangeLedger ledger, long maxGapMs) {
    ControlJudge judge = new ControlJudge(ledger);
    return List.of(
        new Finding(OLD_STATE_SHOWN, judge.findOldStatesShown()),
        new Finding(REFUSED_ON_OLD_STATE, judge.findRefusalsOnOldState()),
        new Finding(TWO_UNDER_ONE_NUMBER, judge.findTwoUnderOneNumber()),
        new Finding(CONFIRMED_TWICE, judge.findConfirmedTwice()),
        new Finding(TAKEN_CHANGE_REFUSED, judge.findTakenChangesRefused()),
        new Finding(REFUSED_CHANGE_TAKEN, judge.findRefusedChangesTaken()),
        new Finding(CONFIRMED_LOST, judge.findConfirmedLost()),
        new Finding(NO_CHANGE_FOR_TOO_LONG, judge.findLongGaps(maxGapMs)));
  }

  private List<Attempt> confirmedAttempts() {
    return attempts.stream().filter(attempt -> attempt.outcome() == Outcome.CONFIRMED).toList();
  }

  /** Returns the highest number that was confirmed to any operator before a time, or 0 for none. */
  private long newestConfirmedBefore(long timeMs) {
    return confirmedAttempts().stream()
        .filter(attempt -> attempt.answeredAtMs() < timeMs)
        .mapToLong(Attempt::number)
        .max()
        .orElse(0);
  }

  private List<String> findOldStatesShown() {
    List<String> offenders = new ArrayList<>();
    for (Reading reading : readings) {
      long newest = newestConfirmedBefore(reading.sentAtMs());
      if (reading.number() < newest) {
        offenders.add(
            reading.member()
                + " showed number "
                + reading.number()
                + " after "
                + newest
                + " was confirmed");
      }
    }
    return offenders;
  }

  private List<String> findRefusalsOnOldState() {
    List<String> offenders = new ArrayList<>();
    for (Attempt attempt : attempts) {
      if (attempt.outcome() != Outcome.REFUSED_AS_STALE) continue;
      long newest = newestConfirmedBefore(attempt.sentAtMs());
      if (attempt.number() < newest) {
        offenders.add(describe(attempt) + " though " + newest + " was confirmed");
      } else if (attempt.number() == attempt.basedOn()) {
        offenders.add(describe(attempt) + " though it was based on that number");
      }
    }
    return offenders;
  }

  private List<String> findTwoUnderOneNumber() {
    Map<Long, Attempt> first = new HashMap<>();
    List<String> offenders = new ArrayList<>();
    for (Attempt attempt : confirmedAttempts()) {
      Attempt other = first.putIfAbsent(attempt.number(), attempt);
      if (other != null && other.content() != attempt.content()) {
        offenders.add(describe(attempt) + ", and " + describe(other));
      }
    }
    return offenders;
  }

  private List<String> findConfirmedTwice() {
    Map<Integer, Attempt> first = new HashMap<>();
    List<String> offenders = new ArrayList<>();
    for (Attempt attempt : confirmedAttempts()) {
      Attempt other = first.putIfAbsent(attempt.content(), attempt);
      if (other != null && other.number() != attempt.number()) {
        offenders.add(describe(attempt) + ", and " + describe(other));
      }
    }
    return offenders;
  }

  /** Returns the contents that were certainly taken: those confirmed or shown by a read. */
  private Set<Integer> takenContents() {
    Set<Integer> contents = new HashSet<>();
    confirmedAttempts().forEach(attempt -> contents.add(attempt.content()));
    readings.forEach(reading -> contents.add(reading.content()));
    return contents;
  }

  private static boolean isRefused(Attempt attempt) {
    return attempt.outcome() == Outcome.REFUSED_AS_STALE || attempt.outcome() == Outcome.REFUSED;
  }

  /** Returns whether an earlier attempt with the same content was or may have been taken. */
  private boolean mayHaveBeenTakenEarlier(Attempt attempt) {
    return attempts.stream()
        .anyMatch(
            other ->
                other.content() == attempt.content()
                    && other.sentAtMs() < attempt.sentAtMs()
                    && (other.outcome() == Outcome.CONFIRMED
                        || other.outcome() == Outcome.UNKNOWN));
  }

  private List<String> findTakenChangesRefused() {
    Set<Integer> taken = takenContents();
    return attempts.stream()
        .filter(
            attempt ->
                isRefused(attempt)
                    && taken.contains(attempt.content())
                    && mayHaveBeenTakenEarlier(attempt))
        .map(ControlJudge::describe)
        .toList();
  }

  private List<String> findRefusedChangesTaken() {
    Set<Integer> taken = takenContents();
    return attempts.stream()
        .filter(
            attempt ->
                isRefused(attempt)
                    && taken.contains(attempt.content())
                    && !mayHaveBeenTakenEarlier(attempt))
        .map(ControlJudge::describe)
        .toList();
  }

  private List<String> findConfirmedLost() {
    Map<Long, Integer> contents = new HashMap<>();
    confirmedAttempts().forEach(attempt -> contents.put(attempt.number(), attempt.content()));
    List<String> offenders = new ArrayList<>();
    for (Reading reading : readings) {
      Integer content = contents.get(reading.number());
      if (content != null && content != reading.content()) {
        offenders.add(
            reading.member()
                + " showed content "
                + reading.content()
                + " under number "
                + reading.number()
                + ", which was confirmed for content "
                + content);
      }
    }
    return offenders;
  }

  private List<String> findLongGaps(long maxGapMs) {
    List<Attempt> inOrder =
        confirmedAttempts().stream()
            .sorted(Comparator.comparingLong(Attempt::answeredAtMs))
            .toList();
    if (inOrder.isEmpty()) return List.of("no change was confirmed at all");
    List<String> offenders = new ArrayList<>();
    long previousAtMs = inOrder.get(0).answeredAtMs();
    for (Attempt attempt : inOrder) {
      long gapMs = attempt.answeredAtMs() - previousAtMs;
      if (gapMs > maxGapMs)
        offenders.add(gapMs + " ms without a confirmed change before " + describe(attempt));
      previousAtMs = attempt.answeredAtMs();
    }
    return offenders;
  }

  private static String describe(Attempt attempt) {
    return attempt.operator()
        + " sent content "
        + attempt.content()
        + " based on "
        + attempt.basedOn()
        + " to "
        + attempt.member()
        + " at "
        + attempt.sentAtMs()
        + ": "
        + attempt.outcome()
        + " "
        + attempt.number();
  }
}
