package gladelug.emulator.sim;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of a core whose connections are as TCP's: silent for seconds after a cut that was long. */
final class SilentConnectionsTest {
  private static final String[] MEMBERS = {"c1", "c2", "c3"};

  /** A member is cut off for long; a moment after it is back another is. */
  private static long gapOfOneCutAfterAnother(
      long seed, boolean heartbeats, String first, long cut, String second) {
    Simulation world = Takeover.fleet(seed, heartbeats);
    world.cutOff(first);
    world.run(cut);
    world.heal(first);
    world.run(4000);
    world.cutOff(second);
    world.run(8000);
    Assertions.assertEquals(List.of(), world.violations);
    return Takeover.longestGap(world);
  }

  private static List<String> lapses(boolean heartbeats) {
    List<String> lapses = new ArrayList<>();
    long seed = 0;
    for (long cut = 17_000; cut <= 35_000; cut += 1500)
      for (String first : MEMBERS)
        for (String second : MEMBERS) {
          if (first.equals(second)) continue;
          long gap = gapOfOneCutAfterAnother(++seed, heartbeats, first, cut, second);
          if (gap > 30) lapses.add(first + " " + cut + " ms, " + second + ": " + gap + " ms");
        }
    return lapses;
  }

  @Test
  void noLeaseRunsOutWhereOneMemberIsCutOffSoonAfterAnotherWas() {
    Assertions.assertEquals(List.of(), lapses(true));
  }

  /** Else the test above would show nothing. */
  @Test
  void withoutHeartbeatsLeasesRunOutThen() {
    Assertions.assertNotEquals(List.of(), lapses(false));
  }
}
