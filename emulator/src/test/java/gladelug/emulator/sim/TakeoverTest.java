package gladelug.emulator.sim;

import gladelug.common.connection.Liveness;
import gladelug.common.message.StateKeys;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * How long keys are without a working owner when trouble comes to it, alone and right after the end
 * of other trouble; leases have to outlast that. The tables are printed; the system property
 * takeover.seeds plays more seeds than the few of each build.
 */
final class TakeoverTest {
  private static final int SEEDS = Integer.getInteger("takeover.seeds", 2);
  private static final int SEEDS_ALONE = Math.max(SEEDS, 10);
  private static final long WITHIN = 8000;

  /** The slowest round trip of the simulated links, and a step of the onlooker. */
  private static final long BOTH_WAYS = 120, STEP = 25;

  /** How long a leased key is without a confirmation at the most: see Tunables. */
  private static final long UNCONFIRMED =
      CoreTimes.PLATFORM.peerTimeoutMs()
          + CoreTimes.PLATFORM.confirmIntervalMs()
          + CoreTimes.PLATFORM.heartbeatMs()
          + CoreTimes.PLATFORM.electionTimeoutMs()
          + BOTH_WAYS
          + STEP;

  /** And where another member is only just back, whose connections are still to be made. */
  private static final long UNCONFIRMED_AFTER_OTHER = UNCONFIRMED + reconnect();

  private static long reconnect() {
    Liveness l =
        Liveness.forMembers(CoreTimes.PLATFORM.heartbeatMs(), CoreTimes.PLATFORM.peerTimeoutMs());
    return l.connectTimeoutMs() + l.reconnectDelayMs() + BOTH_WAYS;
  }

  /** The times of many runs, as a line of a table. */
  private static final class Times {
    private final List<Long> takeovers = new ArrayList<>();
    private int kept;
    private long unconfirmed;
    private long gap;

    String line(String what) {
      Collections.sort(takeovers);
      int n = takeovers.size();
      String median = n == 0 ? "-" : "" + takeovers.get(n / 2);
      String worst = n == 0 ? "-" : "" + takeovers.get(n - 1);
      return String.format(
          "| %s | %s | %s | %d | %d | %d |", what, median, worst, kept, unconfirmed, gap);
    }
  }

  private static final String HEAD =
      """
      | trouble of a key's owner | takeover, median | worst | kept | unconfirmed, worst | relay's gap, worst |
      |---|---|---|---|---|---|""";

  private static List<String> ownedBy(Takeover t, SimControlMachine control) {
    return Takeover.keys().stream().filter(k -> t.owner(k, null) == control).toList();
  }

  private static void add(Times times, Takeover t, Simulation world, OwnerTrouble trouble) {
    SimControlMachine control = t.owner(StateKeys.CONFIGURATION, null);
    if (control == null) control = world.controls.get("c1");
    List<String> keys = ownedBy(t, control);
    trouble.begin(world, control);
    Map<String, Long> after = t.untilOthersServe(keys, control, WITHIN);
    times.takeovers.addAll(after.values());
    times.kept += keys.size() - after.size();
    times.unconfirmed = Math.max(times.unconfirmed, t.longestUnconfirmed);
    times.gap = Math.max(times.gap, Takeover.longestGap(world));
    Assertions.assertEquals(List.of(), world.violations);
  }

  private static Times alone(OwnerTrouble trouble) {
    Times times = new Times();
    for (long seed = 1; seed <= SEEDS_ALONE; seed++) {
      Simulation world = Takeover.fleet(seed, true);
      Takeover t = new Takeover(world);
      t.run(new Random(seed).nextInt(400));
      add(times, t, world, trouble);
    }
    return times;
  }

  private static Times after(OwnerTrouble first, OwnerTrouble second) {
    Times times = new Times();
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation world = Takeover.fleet(seed, true);
      Takeover t = new Takeover(world);
      SimControlMachine control = t.owner(StateKeys.CONFIGURATION, null);
      first.begin(world, control);
      t.run(3000 + new Random(seed).nextInt(17_000));
      first.end(world, control);
      add(times, t, world, second);
    }
    return times;
  }

  private static void outlasted(Times times, long most, String what, List<String> failures) {
    if (times.gap > 30) failures.add(what + ": a relay had no lease for " + times.gap);
    if (times.unconfirmed > most)
      failures.add(what + ": unconfirmed for " + times.unconfirmed + " of " + most);
  }

  @Test
  void aLeaseIsLongerThanAnyTakeoverAndTheTimeBetweenTwoAsks() {
    long needed = UNCONFIRMED_AFTER_OTHER + CoreTimes.ASK + BOTH_WAYS;
    Assertions.assertTrue(needed < CoreTimes.PLATFORM.leaseMs(), needed + " ms");
  }

  @Test
  void leasesOutlastAnyTroubleOfAnOwner() {
    System.out.println(HEAD);
    List<String> failures = new ArrayList<>();
    for (OwnerTrouble t : OwnerTrouble.values()) {
      Times times = alone(t);
      System.out.println(times.line(t.words));
      outlasted(times, UNCONFIRMED, t.words, failures);
    }
    Assertions.assertEquals(List.of(), failures);
  }

  @Test
  void leasesOutlastTroubleThatComesRightAfterOther() {
    System.out.println(HEAD);
    List<String> failures = new ArrayList<>();
    for (OwnerTrouble first : OwnerTrouble.values())
      for (OwnerTrouble second : OwnerTrouble.values()) {
        String what = first.words + ", then " + second.words;
        Times times = after(first, second);
        System.out.println(times.line(what));
        outlasted(times, UNCONFIRMED_AFTER_OTHER, what, failures);
      }
    Assertions.assertEquals(List.of(), failures);
  }
}
