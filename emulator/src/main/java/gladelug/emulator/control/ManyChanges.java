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
public final class ManyChanges implements ControlDay.Trouble {
  private static final long CHANGE_MS = 20_000;
  private static final int RESTARTS = 6;

  /** How many changes between two restarts may end without a confirmation. */
  private static final int MOST_MISSED = 5;

  private final int changes;

  /** Makes so many changes. */
  public ManyChanges(int changes) {
    this.changes = changes;
  }

  @Override
  public void play(ControlDay day) throws Exception {
    day.keepReading();
    List<String> members = day.namesOfMembers();
    StandInOperator operator = day.operator("many");
    int between = changes / RESTARTS;
    for (int restart = 0; restart < RESTARTS; restart++) {
      String away = members.get(restart % members.size());
      day.kill(away);
      change(operator, between);
      day.restart(away);
    }
    String owner = day.ownerOfConfiguration();
    day.kill(owner);
    day.changeConfirmed("after the last owner was killed");
    for (String member : members) {
      if (!member.equals(owner)) day.say(member + " shows " + readAt(day, operator, member));
    }
    day.restart(owner);
    Fleet.pause(1000);
  }

  private static long readAt(ControlDay day, StandInOperator operator, String member) {
    return operator.read(
        new StandInOperator.Member(member, day.fleet.operatorAddresses.get(member)));
  }

  private static void change(StandInOperator operator, int howMany) {
    int missed = 0;
    for (int confirmed = 0; confirmed < howMany; ) {
      if (operator.change(CHANGE_MS).outcome() == Outcome.CONFIRMED) confirmed++;
      else if (++missed > MOST_MISSED) throw new IllegalStateException("no change is confirmed");
    }
  }

  @Override
  public long longestGapMs() {
    return 12_000;
  }
}
