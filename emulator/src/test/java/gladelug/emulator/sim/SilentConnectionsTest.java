package gladelug.emulator.sim;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of a core on TCP-like connections, which stay silent for seconds after a long cut. */
final class SilentConnectionsTest {
  private static final String[] MEMBERS = {"c1", "c2", "c3"};

  /** Cuts one member off for long, then another one shortly after the first is back. */
  private static long gapAfterTwoCutsMs(
      long seed, boolean heartbeats, String first, long cutMs, String second) {
    Simulation world = TakeoverObserver.startFleet(seed, heartbeats);
    world.cutOff(first);
    world.run(cutMs);
    world.heal(first);
    world.run(4000);
    world.cutOff(second);
    world.run(8000);
    Assertions.assertEquals(List.of(), world.violations);
    return TakeoverObserver.longestGapMs(world);
  }

  private static List<String> lapsesOf(boolean heartbeats) {
    List<String> lapses = new ArrayList<>();
    long seed = 0;
    for (long cutMs = 17_000; cutMs <= 35_000; cutMs += 1500)
      for (String first : MEMBERS)
        for (String second : MEMBERS) {
          if (first.equals(second)) continue;
          long gapMs = gapAfterTwoCutsMs(++seed, heartbeats, first, cutMs, second);
          if (gapMs > 30) lapses.add(first + " " + cutMs + " ms, " + second + ": " + gapMs + " ms");
        }
    return lapses;
  }

  @Test
  void noLeaseRunsOutWhereOneMemberIsCutOffSoonAfterAnotherWas() {
    Assertions.assertEquals(List.of(), lapsesOf(true));
  }

  /** Control experiment: without heartbeats the fault of the test above must show. */
  @Test
  void withoutHeartbeatsLeasesRunOutAfterTwoCuts() {
    Assertions.assertNotEquals(List.of(), lapsesOf(false));
  }
}
