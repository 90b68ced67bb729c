package gladelug.emulator.control;

import gladelug.emulator.control.ChangeLedger.Attempt;
import gladelug.emulator.control.ChangeLedger.Outcome;
import java.util.concurrent.CompletableFuture;

/**
 * Two operators change the configuration on the same number at once, again and again; half of them
 * go away before the answer and send the same again until it is clear, at once or after the other
 * operator has changed the configuration once more.
 *
 * <p>Two operators who race and lose answers.
 */
public final class RacingOperators implements ControlFaultRun.FaultScenario {
  private static final long CHANGE_TIMEOUT_MS = 20_000;
  private final int rounds;

  /** Races so many times, and as often has one overtake the other. */
  public RacingOperators(int rounds) {
    this.rounds = rounds;
  }

  @Override
  public void play(ControlFaultRun day) {
    StandInOperator first = day.newOperator("first");
    StandInOperator second = day.newOperator("second");
    int unconfirmedRaces = 0;
    int refusedAgain = 0;
    for (int round = 0; round < rounds; round++) {
      if (!race(day, first, second)) unconfirmedRaces++;
      if (!overtake(first, second)) refusedAgain++;
    }
    day.print(rounds + " races, nobody confirmed in " + unconfirmedRaces);
    day.print(rounds + " changes overtaken and sent again, not confirmed " + refusedAgain);
  }

  /** Both at once on one number; whether either was confirmed. */
  private static boolean race(ControlFaultRun day, StandInOperator first, StandInOperator second) {
    long number = first.readAnywhere(CHANGE_TIMEOUT_MS);
    boolean loseFirst = day.random.nextBoolean();
    boolean loseSecond = day.random.nextBoolean();
    CompletableFuture<Attempt> other =
        CompletableFuture.supplyAsync(() -> second.changeOn(number, CHANGE_TIMEOUT_MS, loseSecond));
    Attempt mine = first.changeOn(number, CHANGE_TIMEOUT_MS, loseFirst);
    Attempt theirs = other.join();
    return mine.outcome() == Outcome.CONFIRMED || theirs.outcome() == Outcome.CONFIRMED;
  }

  /** One loses the answer, the other changes, the first sends again; whether that was confirmed. */
  private static boolean overtake(StandInOperator first, StandInOperator second) {
    Attempt lost = first.sendUnanswered(first.readAnywhere(CHANGE_TIMEOUT_MS));
    second.change(CHANGE_TIMEOUT_MS);
    return first.sendAgain(lost, CHANGE_TIMEOUT_MS).outcome() == Outcome.CONFIRMED;
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}
