package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import java.util.List;
import java.util.Map;

/**
 * Replaces machines of the core one after the other by machines with an empty disk. Right after
 * each replacement a random member is killed and restarted after at least three seconds.
 */
public final class RollingReplacement implements ControlFaultRun.FaultScenario {
  private static final int REPLACEMENTS = 3;
  private static final int FIRST_HOST = 200;
  private static final long DOWN_MS = 3000;

  @Override
  public void play(ControlFaultRun run) throws Exception {
    run.keepChanging(2);
    for (int i = 0; i < REPLACEMENTS; i++) {
      List<String> before = run.refreshMembers();
      String leaving = before.get(run.random.nextInt(before.size()));
      String next = "control-" + (FIRST_HOST + i);
      replace(run, leaving, next, FIRST_HOST + i);
      List<String> after = run.refreshMembers();
      String victim = after.get(run.random.nextInt(after.size()));
      run.kill(victim);
      Fleet.pause(DOWN_MS);
      run.awaitConfirmedChange("after the pause that followed the kill of " + victim);
      run.restart(victim);
    }
  }

  /** Replaces one member, which is killed as soon as the core no longer lists it. */
  private static void replace(ControlFaultRun run, String leaving, String next, int host)
      throws Exception {
    run.print("replace " + leaving + " by " + next);
    run.fleet.addControlMachine(next, host).start();
    String swap = "{\"out\":\"" + leaving + "\",\"in\":\"" + next + "\"}";
    Fleet.waitUntil(
        "the replacement of " + leaving + " is accepted",
        ControlFaultRun.RECOVERY_TIMEOUT_MS,
        () -> run.fleet.call("POST", "/v1/core/swap", swap, Map.of()).status() == 202);
    Fleet.waitUntil(
        next + " is a member",
        ControlFaultRun.RECOVERY_TIMEOUT_MS,
        () -> {
          List<String> names = run.refreshMembers();
          return names.contains(next) && !names.contains(leaving);
        });
    run.kill(leaving);
    run.fleet.children.remove(leaving);
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}
