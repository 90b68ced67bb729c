package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.message.ChangeResult;
import gladelug.emulator.sim.Simulation.SentChange;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of changes that are sent again, unchanged, after a lost answer, to any member and at any
 * later time.
 */
final class ResentChangesTest {
  private static final String KEY = StateKeys.CONFIGURATION;
  private static final long START_MS = 3000, ANSWER_MS = 12_000, TAKEOVER_MS = 6000;

  private static Simulation started(long seed) {
    Simulation sim = new Simulation(seed, 2);
    sim.run(START_MS);
    return sim;
  }

  private static ChangeResult answered(Simulation sim, SentChange sent) {
    for (int ms = 0; ms < ANSWER_MS && sent.answer()[0] == null; ms++) sim.run(1);
    return sent.answer()[0];
  }

  /** Sends changes one after the other, each based on the number of the previous one. */
  private static SentChange[] acknowledgedChanges(Simulation sim, int count) {
    SentChange[] changes = new SentChange[count];
    for (int i = 0; i < count; i++) {
      changes[i] = sim.send("c1", KEY, i);
      assertTaken(sim, changes[i], i + 1, false);
    }
    return changes;
  }

  private static void assertTaken(Simulation sim, SentChange sent, long number, boolean repeated) {
    ChangeResult answer = answered(sim, sent);
    Assertions.assertTrue(
        answer instanceof ChangeResult.Acknowledged done
            && done.number() == number
            && done.repeated() == repeated,
        () -> "wanted " + number + ", got " + answer + "\n" + sim.eventLogText());
  }

  private static void assertSentAgainByAllIsTaken(Simulation sim, SentChange[] changes) {
    for (String member : sim.controlNames()) {
      if (!sim.controls.get(member).up) continue;
      for (int i = 0; i < changes.length; i++)
        assertTaken(sim, sim.sendAgain(member, changes[i]), i + 1, true);
    }
    Assertions.assertEquals(List.of(), sim.violations);
  }

  @Test
  void aTakenChangeIsAcknowledgedAgainAfterOthersFollowed() {
    Simulation sim = started(1);
    assertSentAgainByAllIsTaken(sim, acknowledgedChanges(sim, 4));
  }

  @Test
  void aTakenChangeIsAcknowledgedAgainByTheOwnerThatFollows() {
    Simulation sim = started(2);
    SentChange[] changes = acknowledgedChanges(sim, 4);
    sim.controls.get(sim.ownersOf(KEY)).kill();
    sim.run(TAKEOVER_MS);
    assertSentAgainByAllIsTaken(sim, changes);
  }

  @Test
  void aTakenChangeIsAcknowledgedAgainAfterAllLostPower() {
    Simulation sim = started(3);
    SentChange[] changes = acknowledgedChanges(sim, 4);
    for (SimControlMachine control : sim.controls.values()) control.cutPower();
    for (SimControlMachine control : sim.controls.values()) control.start();
    sim.run(TAKEOVER_MS);
    assertSentAgainByAllIsTaken(sim, changes);
  }

  @Test
  void aTakenChangeIsAcknowledgedAgainByMembersThatCameLater() {
    Simulation sim = started(4);
    SentChange[] changes = acknowledgedChanges(sim, 4);
    String[] former = sim.controlNames().toArray(String[]::new);
    for (int i = 0; i < former.length; i++) {
      sim.replaceMember(former[i], "new" + i);
      sim.run(TAKEOVER_MS);
      sim.controls.get(former[i]).kill();
    }
    sim.run(TAKEOVER_MS);
    assertSentAgainByAllIsTaken(sim, changes);
  }

  @Test
  void ofTwoOnOneNumberTheLoserIsRefusedAtAnyLaterTime() {
    Simulation sim = started(5);
    SentChange[] first = acknowledgedChanges(sim, 1);
    SentChange[] rivals = {sim.send("c2", KEY, 1), sim.send("c3", KEY, 1)};
    int winners = 0;
    for (SentChange rival : rivals)
      if (answered(sim, rival) instanceof ChangeResult.Acknowledged done) {
        winners++;
        Assertions.assertEquals(2, done.number());
      }
    Assertions.assertEquals(1, winners, sim::eventLogText);
    assertTaken(sim, sim.send("c1", KEY, 2), 3, false);
    for (String member : sim.controlNames())
      for (SentChange rival : rivals) {
        boolean won = rival.answer()[0] instanceof ChangeResult.Acknowledged;
        ChangeResult again = answered(sim, sim.sendAgain(member, rival));
        Assertions.assertTrue(
            won
                ? again instanceof ChangeResult.Acknowledged done
                    && done.number() == 2
                    && done.repeated()
                : again instanceof ChangeResult.Conflict,
            () -> again + "\n" + sim.eventLogText());
      }
    assertTaken(sim, sim.sendAgain("c3", first[0]), 1, true);
    Assertions.assertEquals(List.of(), sim.violations);
  }

  @Test
  void anOlderValueOnTheNewestNumberIsANewChange() {
    Simulation sim = started(6);
    SentChange[] changes = acknowledgedChanges(sim, 3);
    SentChange back = sim.sendAsNewChange("c2", changes[0], 3);
    assertTaken(sim, back, 4, false);
    assertTaken(sim, sim.sendAgain("c3", back), 4, true);
    assertTaken(sim, sim.sendAgain("c1", changes[0]), 1, true);
  }

  @Test
  void anOwnerThatIsCutOffNeitherRefusesNorAcknowledgesAgain() {
    Simulation sim = started(7);
    SentChange[] changes = acknowledgedChanges(sim, 2);
    String cutOff = sim.ownersOf(KEY);
    sim.cutOff(cutOff);
    SentChange stale = sim.send(cutOff, KEY, 0);
    SentChange newest = sim.sendAgain(cutOff, changes[1]);
    SentChange older = sim.sendAgain(cutOff, changes[0]);
    Assertions.assertTrue(sim.controls.get(cutOff).node.owns(KEY), "it doesn't know yet");
    for (SentChange sent : List.of(stale, newest, older))
      Assertions.assertEquals(new ChangeResult.NoOwner(), answered(sim, sent));
    sim.healAll();
    sim.run(TAKEOVER_MS);
    assertTaken(sim, sim.sendAgain(cutOff, changes[0]), 1, true);
    Assertions.assertEquals(List.of(), sim.violations);
  }
}
