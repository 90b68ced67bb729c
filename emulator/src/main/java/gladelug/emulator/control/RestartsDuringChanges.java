package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import gladelug.emulator.control.ChangeLedger.Outcome;
import java.util.List;

/**
 * Hundreds of changes, with one member after the other down for a while and started again; at the
 * end the owner is killed, so that a member that was away may lead.
 *
 * <p>Many changes with restarts of members.
 */
public final class RestartsDuringChanges implements ControlFaultRun.FaultScenario {
  private static final long CHANGE_TIMEOUT_MS = 20_000;
  private static final int RESTARTS = 6;

  /** How many changes between two restarts may end without a confirmation. */
  private static final int MAX_UNCONFIRMED = 5;

  private final int changes;

  /** Makes so many changes. */
  public RestartsDuringChanges(int changes) {
    this.changes = changes;
  }

  @Override
  public void play(ControlFaultRun day) throws Exception {
    day.keepReading();
    List<String> members = day.refreshMembers();
    StandInOperator operator = day.newOperator("many");
    int changesPerRestart = changes / RESTARTS;
    for (int restart = 0; restart < RESTARTS; restart++) {
      String stopped = members.get(restart % members.size());
      day.kill(stopped);
      change(operator, changesPerRestart);
      day.restart(stopped);
    }
    String owner = day.ownerOfConfiguration();
    day.kill(owner);
    day.awaitConfirmedChange("after the last owner was killed");
    for (String member : members) {
      if (!member.equals(owner)) day.print(member + " shows " + readAt(day, operator, member));
    }
    day.restart(owner);
    Fleet.pause(1000);
  }

  private static long readAt(ControlFaultRun day, StandInOperator operator, String member) {
    return operator.read(new StandInOperator.Member(member, day.fleet.operator.get(member)));
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
