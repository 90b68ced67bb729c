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
 * Measures how long keys have no working owner when a fault hits it, alone and right after the end
 * of another fault; leases must outlast that time. The tables are printed. The system property
 * takeover.seeds sets a higher number of seeds than the default of the build.
 */
final class TakeoverTest {
  private static final int SEEDS = Integer.getInteger("takeover.seeds", 2);
  private static final int SINGLE_FAULT_SEEDS = Math.max(SEEDS, 10);
  private static final long MAX_TAKEOVER_MS = 8000;

  /** The slowest round trip of the simulated links, and the interval of the observer. */
  private static final long MAX_ROUND_TRIP_MS = 120, OBSERVER_STEP_MS = 25;

  /** The longest time for which a leased key may be unconfirmed: see QuorumConfig. */
  private static final long MAX_UNCONFIRMED_MS =
      CoreTimes.PLATFORM.peerTimeoutMs()
          + CoreTimes.PLATFORM.confirmIntervalMs()
          + CoreTimes.PLATFORM.heartbeatMs()
          + CoreTimes.PLATFORM.electionTimeoutMs()
          + MAX_ROUND_TRIP_MS
          + OBSERVER_STEP_MS;

  /**
   * The same where another member has only just returned and its connections are still being
   * opened.
   */
  private static final long MAX_UNCONFIRMED_AFTER_OTHER_MS = MAX_UNCONFIRMED_MS + reconnectMs();

  private static long reconnectMs() {
    Liveness liveness =
        Liveness.forMembers(CoreTimes.PLATFORM.heartbeatMs(), CoreTimes.PLATFORM.peerTimeoutMs());
    return liveness.connectTimeoutMs() + liveness.reconnectDelayMs() + MAX_ROUND_TRIP_MS;
  }

  /** The times of many runs, as one row of a table. */
  private static final class Times {
    private final List<Long> takeoversMs = new ArrayList<>();
    private int keptCount;
    private long unconfirmedMs;
    private long gapMs;

    String tableRow(String label) {
      Collections.sort(takeoversMs);
      int count = takeoversMs.size();
      String median = count == 0 ? "-" : "" + takeoversMs.get(count / 2);
      String worst = count == 0 ? "-" : "" + takeoversMs.get(count - 1);
      return String.format(
          "| %s | %s | %s | %d | %d | %d |", label, median, worst, keptCount, unconfirmedMs, gapMs);
    }
  }

  private static final String TABLE_HEADER =
      """
      | trouble of a key's owner | takeover, median | worst | kept | unconfirmed, worst | relay's gap, worst |
      |---|---|---|---|---|---|""";

  private static List<String> ownedBy(TakeoverObserver takeover, SimControlMachine control) {
    return TakeoverObserver.keys().stream()
        .filter(k -> takeover.owner(k, null) == control)
        .toList();
  }

  private static void runFault(
      Times times, TakeoverObserver takeover, Simulation world, OwnerFault fault) {
    SimControlMachine control = takeover.owner(StateKeys.CONFIGURATION, null);
    if (control == null) control = world.controls.get("c1");
    List<String> keys = ownedBy(takeover, control);
    fault.inject(world, control);
    Map<String, Long> takeoverMs = takeover.takeoverTimesMs(keys, control, MAX_TAKEOVER_MS);
    times.takeoversMs.addAll(takeoverMs.values());
    times.keptCount += keys.size() - takeoverMs.size();
    times.unconfirmedMs = Math.max(times.unconfirmedMs, takeover.longestUnconfirmedMs);
    times.gapMs = Math.max(times.gapMs, TakeoverObserver.longestGapMs(world));
    Assertions.assertEquals(List.of(), world.violations);
  }

  private static Times runSingleFaults(OwnerFault fault) {
    Times times = new Times();
    for (long seed = 1; seed <= SINGLE_FAULT_SEEDS; seed++) {
      Simulation world = TakeoverObserver.startFleet(seed, true);
      TakeoverObserver takeover = new TakeoverObserver(world);
      takeover.run(new Random(seed).nextInt(400));
      runFault(times, takeover, world, fault);
    }
    return times;
  }

  private static Times runFaultPairs(OwnerFault first, OwnerFault second) {
    Times times = new Times();
    for (long seed = 1; seed <= SEEDS; seed++) {
      Simulation world = TakeoverObserver.startFleet(seed, true);
      TakeoverObserver takeover = new TakeoverObserver(world);
      SimControlMachine control = takeover.owner(StateKeys.CONFIGURATION, null);
      first.inject(world, control);
      takeover.run(3000 + new Random(seed).nextInt(17_000));
      first.repair(world, control);
      runFault(times, takeover, world, second);
    }
    return times;
  }

  private static void checkLimits(
      Times times, long maxUnconfirmedMs, String label, List<String> failures) {
    if (times.gapMs > 30) failures.add(label + ": a relay had no lease for " + times.gapMs);
    if (times.unconfirmedMs > maxUnconfirmedMs)
      failures.add(label + ": unconfirmed for " + times.unconfirmedMs + " of " + maxUnconfirmedMs);
  }

  @Test
  void aLeaseIsLongerThanAnyTakeoverAndTheTimeBetweenTwoAsks() {
    long needed =
        MAX_UNCONFIRMED_AFTER_OTHER_MS + CoreTimes.SUBSCRIPTION_INTERVAL_MS + MAX_ROUND_TRIP_MS;
    Assertions.assertTrue(needed < CoreTimes.PLATFORM.leaseMs(), needed + " ms");
  }

  @Test
  void leasesOutlastAnyTroubleOfAnOwner() {
    System.out.println(TABLE_HEADER);
    List<String> failures = new ArrayList<>();
    for (OwnerFault fault : OwnerFault.values()) {
      Times times = runSingleFaults(fault);
      System.out.println(times.tableRow(fault.description));
      checkLimits(times, MAX_UNCONFIRMED_MS, fault.description, failures);
    }
    Assertions.assertEquals(List.of(), failures);
  }

  @Test
  void leasesOutlastTroubleThatComesRightAfterOther() {
    System.out.println(TABLE_HEADER);
    List<String> failures = new ArrayList<>();
    for (OwnerFault first : OwnerFault.values())
      for (OwnerFault second : OwnerFault.values()) {
        String label = first.description + ", then " + second.description;
        Times times = runFaultPairs(first, second);
        System.out.println(times.tableRow(label));
        checkLimits(times, MAX_UNCONFIRMED_AFTER_OTHER_MS, label, failures);
      }
    Assertions.assertEquals(List.of(), failures);
  }
}
