package gladelug.emulator.sim;

import gladelug.emulator.Ledger;
import gladelug.emulator.sim.RequestSimulation.InjectedEvent;
import gladelug.emulator.sim.RequestSimulation.RequestPoint;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs seeded scenarios of the simulation with requests. Each holds a request at a point while an
 * event is injected, then injects random faults, then repairs everything and is checked. The
 * results of all runs are summed up here.
 */
public final class RequestScenarios {
  private static final int STEPS_PER_SCENARIO = 8;

  /** Requests that must complete within QUIET_MS after recovery, if all tenants have a key. */
  private static final int MIN_COMPLETE_WHEN_WELL = 40;

  private static final int QUIET_MS = 3000;
  private static final int MAX_SHOWN_VIOLATIONS = 5;
  private static final int MAX_SHOWN_LINES = 30;

  public final List<String> failures = Collections.synchronizedList(new ArrayList<>());
  final Map<String, Integer> heldCounts = new ConcurrentSkipListMap<>();
  final AtomicLong requestCount = new AtomicLong();
  final AtomicLong completeCount = new AtomicLong();
  final AtomicLong secondTryCount = new AtomicLong();
  final Map<ConnectionEvent, Integer> eventCounts = new ConcurrentSkipListMap<>();

  private RequestScenarios() {}

  /**
   * Runs scenarios for consecutive seeds on several threads; each scenario has a simulation of its
   * own.
   */
  public static RequestScenarios run(long firstSeed, int seedCount, int threadCount) {
    RequestScenarios all = new RequestScenarios();
    AtomicLong next = new AtomicLong(firstSeed);
    List<Thread> workers = new ArrayList<>();
    for (int i = 0; i < threadCount; i++) {
      Thread worker =
          new Thread(
              () -> {
                for (long seed; (seed = next.getAndIncrement()) < firstSeed + seedCount; )
                  all.runSeed(seed);
              },
              "stories-" + i);
      workers.add(worker);
      worker.start();
    }
    for (Thread worker : workers) {
      try {
        worker.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return all;
  }

  private void runSeed(long seed) {
    RequestSimulation world;
    try {
      world = runScenario(seed, STEPS_PER_SCENARIO);
    } catch (RuntimeException e) {
      failures.add("seed " + seed + " failed with " + e);
      return;
    }
    if (!world.violations.isEmpty()) failures.add(failureReport(seed, world));
    if (world.heldAtMs >= 0)
      heldCounts.merge(world.armedEvent + "@" + world.armedPoint, 1, Integer::sum);
    world.eventCounts.forEach((event, count) -> eventCounts.merge(event, count, Integer::sum));
    requestCount.addAndGet(world.ledger.calls.size());
    completeCount.addAndGet(world.completeCount());
    for (List<Ledger.Run> runs : world.ledger.runs.values())
      secondTryCount.addAndGet(runs.size() - 1);
  }

  /** Describes a failed run by its first violations and the last lines of its event log. */
  private static String failureReport(long seed, RequestSimulation world) {
    String[] lines =
        world
            .eventLogText()
            .lines()
            .filter(line -> !line.contains(" owner-"))
            .toArray(String[]::new);
    return "seed "
        + seed
        + ": "
        + world.violations.subList(0, Math.min(MAX_SHOWN_VIOLATIONS, world.violations.size()))
        + "\n"
        + String.join(
            "\n",
            Arrays.asList(lines)
                .subList(Math.max(0, lines.length - MAX_SHOWN_LINES), lines.length));
  }

  /** Runs one scenario: a held request with an injected event, random faults, and recovery. */
  static RequestSimulation runScenario(long seed, int steps) {
    RequestSimulation world = new RequestSimulation(seed);
    InjectedEvent[] events = InjectedEvent.values();
    RequestPoint[] points = RequestPoint.values();
    world.arm(
        events[(int) (seed % events.length)], points[(int) (seed / events.length % points.length)]);
    for (SimControlMachine control : world.controls.values())
      control.setClockRate(1 + (world.random.nextDouble() - 0.5) * 0.01);
    for (RequestRelay relay : world.requestRelays.values())
      relay.setClockRate(1 + (world.random.nextDouble() - 0.5) * 0.01);
    world.run(3500);
    world.repairAll();
    world.run(1500);
    for (int i = 0; i < steps; i++) {
      world.injectRandomFault();
      world.run(300 + world.random.nextInt(1500));
      if (world.random.nextInt(2) == 0) world.repairAll();
      world.run(world.random.nextInt(700));
    }
    world.repairAll();
    world.run(12_000);
    int completeBefore = world.completeCount();
    world.run(QUIET_MS);
    int required =
        MIN_COMPLETE_WHEN_WELL
            * world.operator.tenantsWithKeys()
            / RequestSimulation.TENANTS.length;
    if (world.completeCount() - completeBefore < required)
      world.violation(
          "only " + (world.completeCount() - completeBefore) + " requests complete after recovery");
    world.requestsPerSecond = 0.001;
    world.run(6000);
    world.checkRules();
    return world;
  }

  @Override
  public String toString() {
    return "requests "
        + requestCount
        + ", complete "
        + completeCount
        + ", second tries "
        + secondTryCount
        + ", events "
        + eventCounts
        + ", requests held "
        + heldCounts;
  }
}
