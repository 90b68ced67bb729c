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
 * Judges the control side from what operators saw: nothing confirmed is lost or confirmed twice
 * over, nothing old is shown or refused upon, and what was taken is not refused when it is sent
 * again.
 *
 * <p>One verdict a rule, with the attempts and readings that offend.
 */
public final class ControlJudge {
  /** An old state was shown after a newer one had been confirmed. */
  public static final String OLD_STATE_SHOWN = "old-configuration-shown";

  /** A change was refused for a number below one that had been confirmed before it was sent. */
  public static final String REFUSED_ON_OLD_STATE = "refused-on-old-state";

  /** Two contents were confirmed under one number. */
  public static final String TWO_UNDER_ONE_NUMBER = "two-confirmed-under-one-number";

  /** A content was confirmed under two numbers. */
  public static final String CONFIRMED_TWICE = "one-change-under-two-numbers";

  /** What had been taken was refused when it was sent again. */
  public static final String TAKEN_AND_REFUSED = "taken-change-refused-when-sent-again";

  /** What had been refused for certain, and never sent otherwise, was shown as the state. */
  public static final String REFUSED_AND_TAKEN = "refused-change-was-taken";

  /**
   * A number showed another content than the one confirmed under it, or confirmed changes are gone.
   */
  public static final String CONFIRMED_LOST = "confirmed-change-lost";

  /** No change was confirmed for longer than the bound. */
  public static final String NO_MAJORITY_FOR_LONG = "no-change-confirmed-for-long";

  private final List<Attempt> attempts;
  private final List<Reading> readings;

  private ControlJudge(ChangeLedger ledger) {
    attempts = ledger.attempts();
    readings = ledger.readings().stream().filter(r -> r.status() == 200).toList();
  }

  /**
   * Judges a day.
   *
   * @param longestGapMs the longest time between two confirmed changes that is borne
   */
  public static List<Finding> judge(ChangeLedger ledger, long longestGapMs) {
    ControlJudge judge = new ControlJudge(ledger);
    return List.of(
        new Finding(OLD_STATE_SHOWN, judge.oldStateShown()),
        new Finding(REFUSED_ON_OLD_STATE, judge.refusedOnOldState()),
        new Finding(TWO_UNDER_ONE_NUMBER, judge.twoUnderOneNumber()),
        new Finding(CONFIRMED_TWICE, judge.confirmedTwice()),
        new Finding(TAKEN_AND_REFUSED, judge.takenAndRefused()),
        new Finding(REFUSED_AND_TAKEN, judge.refusedAndTaken()),
        new Finding(CONFIRMED_LOST, judge.confirmedLost()),
        new Finding(NO_MAJORITY_FOR_LONG, judge.longGaps(longestGapMs)));
  }

  private List<Attempt> confirmed() {
    return attempts.stream().filter(a -> a.outcome() == Outcome.CONFIRMED).toList();
  }

  /** The highest number that was confirmed to anybody before a moment; 0 for none. */
  private long confirmedBefore(long moment) {
    return confirmed().stream()
        .filter(a -> a.answeredAt() < moment)
        .mapToLong(Attempt::number)
        .max()
        .orElse(0);
  }

  private List<String> oldStateShown() {
    List<String> offenders = new ArrayList<>();
    for (Reading reading : readings) {
      long newest = confirmedBefore(reading.askedAt());
      if (reading.number() < newest) {
        offenders.add(
            reading.member()
                + " showed "
                + reading.number()
                + " after "
                + newest
                + " was confirmed");
      }
    }
    return offenders;
  }

  private List<String> refusedOnOldState() {
    List<String> offenders = new ArrayList<>();
    for (Attempt attempt : attempts) {
      if (attempt.outcome() != Outcome.REFUSED_AS_STALE) continue;
      long newest = confirmedBefore(attempt.sentAt());
      if (attempt.number() < newest) {
        offenders.add(describe(attempt) + " though " + newest + " was confirmed");
      } else if (attempt.number() == attempt.basedOn()) {
        offenders.add(describe(attempt) + " though it was based on just that");
      }
    }
    return offenders;
  }

  private List<String> twoUnderOneNumber() {
    Map<Long, Attempt> first = new HashMap<>();
    List<String> offenders = new ArrayList<>();
    for (Attempt attempt : confirmed()) {
      Attempt other = first.putIfAbsent(attempt.number(), attempt);
      if (other != null && other.content() != attempt.content()) {
        offenders.add(describe(attempt) + ", and " + describe(other));
      }
    }
    return offenders;
  }

  private List<String> confirmedTwice() {
    Map<Integer, Attempt> first = new HashMap<>();
    List<String> offenders = new ArrayList<>();
    for (Attempt attempt : confirmed()) {
      Attempt other = first.putIfAbsent(attempt.content(), attempt);
      if (other != null && other.number() != attempt.number()) {
        offenders.add(describe(attempt) + ", and " + describe(other));
      }
    }
    return offenders;
  }

  /** The contents that were certainly taken: confirmed, or shown as the state. */
  private Set<Integer> taken() {
    Set<Integer> contents = new HashSet<>();
    confirmed().forEach(a -> contents.add(a.content()));
    readings.forEach(r -> contents.add(r.content()));
    return contents;
  }

  private static boolean refused(Attempt attempt) {
    return attempt.outcome() == Outcome.REFUSED_AS_STALE || attempt.outcome() == Outcome.REFUSED;
  }

  /** Whether an earlier sending of the same content may be the one that was taken. */
  private boolean sentBefore(Attempt attempt) {
    return attempts.stream()
        .anyMatch(
            a ->
                a.content() == attempt.content()
                    && a.sentAt() < attempt.sentAt()
                    && (a.outcome() == Outcome.CONFIRMED || a.outcome() == Outcome.UNKNOWN));
  }

  private List<String> takenAndRefused() {
    Set<Integer> taken = taken();
    return attempts.stream()
        .filter(a -> refused(a) && taken.contains(a.content()) && sentBefore(a))
        .map(ControlJudge::describe)
        .toList();
  }

  private List<String> refusedAndTaken() {
    Set<Integer> taken = taken();
    return attempts.stream()
        .filter(a -> refused(a) && taken.contains(a.content()) && !sentBefore(a))
        .map(ControlJudge::describe)
        .toList();
  }

  private List<String> confirmedLost() {
    Map<Long, Integer> contents = new HashMap<>();
    confirmed().forEach(a -> contents.put(a.number(), a.content()));
    List<String> offenders = new ArrayList<>();
    for (Reading reading : readings) {
      Integer content = contents.get(reading.number());
      if (content != null && content != reading.content()) {
        offenders.add(
            reading.member()
                + " showed content "
                + reading.content()
                + " under "
                + reading.number()
                + ", which was confirmed for content "
                + content);
      }
    }
    return offenders;
  }

  private List<String> longGaps(long longestGapMs) {
    List<Attempt> inOrder =
        confirmed().stream().sorted(Comparator.comparingLong(Attempt::answeredAt)).toList();
    if (inOrder.isEmpty()) return List.of("no change was confirmed at all");
    List<String> offenders = new ArrayList<>();
    long previous = inOrder.get(0).answeredAt();
    for (Attempt attempt : inOrder) {
      long gap = attempt.answeredAt() - previous;
      if (gap > longestGapMs) offenders.add(gap + " ms before " + describe(attempt));
      previous = attempt.answeredAt();
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
        + attempt.sentAt()
        + ": "
        + attempt.outcome()
        + " "
        + attempt.number();
  }
}
