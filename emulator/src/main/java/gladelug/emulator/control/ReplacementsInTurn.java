package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import java.util.List;
import java.util.Map;

/**
 * Every machine of the core is replaced by one with an empty disk, one after the other; right after
 * each replacement another member loses power and comes back three seconds later.
 *
 * <p>Replacements in turn with a kill between.
 */
public final class ReplacementsInTurn implements ControlDay.Trouble {
  private static final int REPLACEMENTS = 3;
  private static final int FIRST_HOST = 200;
  private static final long DOWN_MS = 3000;

  @Override
  public void play(ControlDay day) throws Exception {
    day.keepChanging(2);
    for (int i = 0; i < REPLACEMENTS; i++) {
      List<String> before = day.namesOfMembers();
      String leaving = before.get(day.random.nextInt(before.size()));
      String next = "control-" + (FIRST_HOST + i);
      replace(day, leaving, next, FIRST_HOST + i);
      List<String> after = day.namesOfMembers();
      String victim = after.get(day.random.nextInt(after.size()));
      day.kill(victim);
      Fleet.pause(DOWN_MS);
      day.changeConfirmed("after the wait that followed the kill of " + victim);
      day.restart(victim);
    }
  }

  /** One swap: the leaving member loses power as soon as the core no longer counts it. */
  private static void replace(ControlDay day, String leaving, String next, int host)
      throws Exception {
    day.say("replace " + leaving + " by " + next);
    day.fleet.addControlMachine(next, host).start();
    String swap = "{\"out\":\"" + leaving + "\",\"in\":\"" + next + "\"}";
    Fleet.waitUntil(
        "the swap of " + leaving + " is begun",
        ControlDay.RETURN_MS,
        () -> day.fleet.call("POST", "/v1/core/swap", swap, Map.of()).status() == 202);
    Fleet.waitUntil(
        next + " is a member",
        ControlDay.RETURN_MS,
        () -> {
          List<String> names = day.namesOfMembers();
          return names.contains(next) && !names.contains(leaving);
        });
    day.kill(leaving);
    day.fleet.children.remove(leaving);
  }

  @Override
  public long longestGapMs() {
    return 12_000;
  }
}
