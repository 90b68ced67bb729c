package gladelug.emulator.soak;

import gladelug.common.Result;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of SoakPlan, PlanGenerator and PlanShrinker. */
final class SoakPlanTest {
  private static SoakPlan readValid(String text) {
    Result<SoakPlan> read = SoakPlan.read(text);
    Assertions.assertInstanceOf(Result.Good.class, read, read.toString());
    return ((Result.Good<SoakPlan>) read).value();
  }

  private static void assertFinding(String text, String what) {
    Result<SoakPlan> read = SoakPlan.read(text);
    Assertions.assertInstanceOf(Result.Bad.class, read);
    Assertions.assertTrue(read.toString().contains(what), read.toString());
  }

  @Test
  void aPlanIsReadAsItWasWritten() {
    for (long seed = 0; seed < 30; seed++) {
      SoakPlan plan = PlanGenerator.generate(seed, 120, 0, Set.of());
      Assertions.assertEquals(plan, readValid(plan.toJson()));
    }
  }

  @Test
  void aSeedAlwaysGivesTheSamePlanAndAnotherSeedADifferentOne() {
    SoakPlan plan = PlanGenerator.generate(5, 120, 0, Set.of());
    Assertions.assertEquals(plan, PlanGenerator.generate(5, 120, 0, Set.of()));
    Assertions.assertNotEquals(plan.events(), PlanGenerator.generate(6, 120, 0, Set.of()).events());
  }

  @Test
  void anInvalidPlanIsReportedWithThePlaceOfTheFault() {
    String head = "{\"seed\":1,\"seconds\":9,\"machines\":3,\"replicas\":2,\"events\":[";
    assertFinding("{", "line 1");
    assertFinding(head + "{\"atMs\":1,\"kind\":\"relay-sleep\"}]}", "must be one of relay-term");
    assertFinding(head + "{\"atMs\":1,\"kind\":\"relay-kill\",\"target\":4}]}", "from 1 to 3");
    assertFinding(head + "{\"atMs\":9001,\"kind\":\"routes\"}]}", "from 0 to 9000");
    assertFinding(head + "{\"atMs\":1,\"kind\":\"routes\",\"target\":1}]}", "not a known field");
    assertFinding(head.replace("\"machines\":3", "\"machines\":2") + "]}", "from 3 to 60");
  }

  @Test
  void onlyAllowedKindsOfEventsAreDrawn() {
    Set<EventKind> only = EnumSet.of(EventKind.SWAP, EventKind.RELAY_FREEZE);
    for (SoakEvent event : PlanGenerator.generate(3, 300, 4, only).events())
      Assertions.assertTrue(only.contains(event.kind()), event.toString());
  }

  /** At most one member at a time is disturbed, and it has time to catch up before the next one. */
  @Test
  void noPlanDisturbsTheCoreMoreThanItMustTolerate() {
    Set<EventKind> met = EnumSet.noneOf(EventKind.class);
    for (long seed = 0; seed < 200; seed++) {
      long freeFromMs = 0;
      for (SoakEvent event : PlanGenerator.generate(seed, 300, 0, Set.of()).events()) {
        met.add(event.kind());
        if (!event.kind().disturbsCore()) continue;
        Assertions.assertTrue(event.atMs() >= freeFromMs, "seed " + seed + ": " + event);
        freeFromMs = event.endMs() + 4000;
      }
    }
    Assertions.assertEquals(EnumSet.allOf(EventKind.class), met);
  }

  @Test
  void aPlanIsShrunkToTheEventsThatCauseTheFailure() {
    SoakPlan plan = PlanGenerator.generate(9, 300, 4, Set.of());
    List<SoakEvent> needed = List.of(plan.events().get(7), plan.events().get(20));
    List<Integer> sizes = new ArrayList<>();
    SoakPlan smallest =
        PlanShrinker.shrink(
            plan,
            200,
            smaller -> {
              sizes.add(smaller.events().size());
              return smaller.events().containsAll(needed);
            });
    Assertions.assertEquals(needed, smallest.events());
    Assertions.assertEquals(
        plan, PlanShrinker.shrink(plan, 0, smaller -> true), "without tries no event is removed");
    Assertions.assertTrue(sizes.size() <= 200, sizes.toString());
  }
}
