package gladelug.emulator.control;

import gladelug.emulator.control.ChangeLedger.Attempt;
import gladelug.emulator.control.ChangeLedger.Outcome;
import java.util.concurrent.CompletableFuture;

/**
 * Two operators repeatedly send changes based on the same number at once. In half of the cases an
 * operator closes the connection before the answer and sends the same change again until it gets a
 * conclusive answer. In a second test of each round, the other operator makes a change in between.
 */
public final class RacingOperators implements ControlFaultRun.FaultScenario {
  private static final long CHANGE_TIMEOUT_MS = 20_000;
  private final int rounds;

  /**
   * Creates a scenario with the given number of rounds, each with one race and one overtaken
   * change.
   */
  public RacingOperators(int rounds) {
    this.rounds = rounds;
  }

  @Override
  public void play(ControlFaultRun run) {
    StandInOperator first = run.newOperator("first");
    StandInOperator second = run.newOperator("second");
    int unconfirmedRaces = 0;
    int unconfirmedResends = 0;
    for (int round = 0; round < rounds; round++) {
      if (!race(run, first, second)) unconfirmedRaces++;
      if (!overtake(first, second)) unconfirmedResends++;
    }
    run.print(rounds + " races, without a confirmed change in " + unconfirmedRaces);
    run.print(rounds + " changes overtaken and sent again, not confirmed: " + unconfirmedResends);
  }

  /** Sends two changes based on one number at once; returns whether either was confirmed. */
  private static boolean race(ControlFaultRun run, StandInOperator first, StandInOperator second) {
    long number = first.readAnywhere(CHANGE_TIMEOUT_MS);
    boolean loseFirst = run.random.nextBoolean();
    boolean loseSecond = run.random.nextBoolean();
    CompletableFuture<Attempt> secondResult =
        CompletableFuture.supplyAsync(() -> second.changeOn(number, CHANGE_TIMEOUT_MS, loseSecond));
    Attempt firstAttempt = first.changeOn(number, CHANGE_TIMEOUT_MS, loseFirst);
    Attempt secondAttempt = secondResult.join();
    return firstAttempt.outcome() == Outcome.CONFIRMED
        || secondAttempt.outcome() == Outcome.CONFIRMED;
  }

  /**
   * The first operator loses an answer, the second makes a change, and the first sends its change
   * again; returns whether it was confirmed.
   */
  private static boolean overtake(StandInOperator first, StandInOperator second) {
    Attempt unansweredAttempt = first.sendUnanswered(first.readAnywhere(CHANGE_TIMEOUT_MS));
    second.change(CHANGE_TIMEOUT_MS);
    return first.sendAgain(unansweredAttempt, CHANGE_TIMEOUT_MS).outcome() == Outcome.CONFIRMED;
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}
