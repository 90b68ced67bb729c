package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import gladelug.emulator.control.ChangeLedger.Outcome;
import java.util.List;

/**
 * Makes hundreds of changes while one member after the other is stopped for a while and restarted.
 * At the end the owner is killed, so that a member that missed changes may take over.
 */
public final class RestartsDuringChanges implements ControlFaultRun.FaultScenario {
  private static final long CHANGE_TIMEOUT_MS = 20_000;
  private static final int RESTARTS = 6;

  /** How many attempts between two restarts may end without a confirmation. */
  private static final int MAX_UNCONFIRMED = 5;

  private final int changes;

  /** Creates a scenario with the given number of changes. */
  public RestartsDuringChanges(int changes) {
    this.changes = changes;
  }

  @Override
  public void play(ControlFaultRun run) throws Exception {
    run.keepReading();
    List<String> members = run.refreshMembers();
    StandInOperator operator = run.newOperator("many");
    int changesPerRestart = changes / RESTARTS;
    for (int restart = 0; restart < RESTARTS; restart++) {
      String stopped = members.get(restart % members.size());
      run.kill(stopped);
      change(operator, changesPerRestart);
      run.restart(stopped);
    }
    String owner = run.ownerOfConfiguration();
    run.kill(owner);
    run.awaitConfirmedChange("after the last owner was killed");
    for (String member : members) {
      if (!member.equals(owner)) run.print(member + " shows " + readAt(run, operator, member));
    }
    run.restart(owner);
    Fleet.pause(1000);
  }

  private static long readAt(ControlFaultRun run, StandInOperator operator, String member) {
    return operator.read(
        new StandInOperator.Member(member, run.fleet.operatorAddresses.get(member)));
  }

  private static void change(StandInOperator operator, int count) {
    int unconfirmed = 0;
    for (int confirmed = 0; confirmed < count; ) {
      if (operator.change(CHANGE_TIMEOUT_MS).outcome() == Outcome.CONFIRMED) confirmed++;
      else if (++unconfirmed > MAX_UNCONFIRMED)
        throw new IllegalStateException("no change is confirmed");
    }
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}
