package gladelug.emulator.sim;

import gladelug.emulator.Ledger;
import gladelug.emulator.sim.RequestSim.Happening;
import gladelug.emulator.sim.RequestSim.Point;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stories of the simulated world with requests: each holds a window open, then brings whatever its
 * seed says, then mends everything and is judged. What many of them came to is summed up here.
 */
public final class RequestStories {
  private static final int STEPS = 8;

  /** Requests that must complete within QUIET_MS once all is well, if all tenants have a key. */
  private static final int COMPLETE_WHEN_WELL = 40;

  private static final int QUIET_MS = 3000;
  private static final int SHOWN_VIOLATIONS = 5;
  private static final int SHOWN_LINES = 30;

  public final List<String> offenders = Collections.synchronizedList(new ArrayList<>());
  final Map<String, Integer> met = new ConcurrentSkipListMap<>();
  final AtomicLong requests = new AtomicLong();
  final AtomicLong complete = new AtomicLong();
  final AtomicLong second = new AtomicLong();
  final Map<Met, Integer> counts = new ConcurrentSkipListMap<>();

  private RequestStories() {}

  /** Plays so many stories from a seed on, on so many threads; each is a world of its own. */
  public static RequestStories play(long from, int seeds, int threads) {
    RequestStories all = new RequestStories();
    AtomicLong next = new AtomicLong(from);
    List<Thread> ts = new ArrayList<>();
    for (int i = 0; i < threads; i++) {
      Thread x =
          new Thread(
              () -> {
                for (long seed; (seed = next.getAndIncrement()) < from + seeds; ) all.add(seed);
              },
              "stories-" + i);
      ts.add(x);
      x.start();
    }
    for (Thread x : ts) {
      try {
        x.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return all;
  }

  private void add(long seed) {
    RequestSim world;
    try {
      world = story(seed, STEPS);
    } catch (RuntimeException e) {
      offenders.add("seed " + seed + " ended with " + e);
      return;
    }
    if (!world.violations.isEmpty()) offenders.add(told(seed, world));
    if (world.met >= 0) met.merge(world.happening + "@" + world.point, 1, Integer::sum);
    world.counts.forEach((what, n) -> counts.merge(what, n, Integer::sum));
    requests.addAndGet(world.ledger.calls.size());
    complete.addAndGet(world.complete());
    for (List<Ledger.Run> rs : world.ledger.runs.values()) second.addAndGet(rs.size() - 1);
  }

  /** What went wrong, and the last lines of the story. */
  private static String told(long seed, RequestSim world) {
    String[] l = world.story().lines().filter(x -> !x.contains(" owner-")).toArray(String[]::new);
    return "seed "
        + seed
        + ": "
        + world.violations.subList(0, Math.min(SHOWN_VIOLATIONS, world.violations.size()))
        + "\n"
        + String.join(
            "\n", Arrays.asList(l).subList(Math.max(0, l.length - SHOWN_LINES), l.length));
  }

  /** One story: a window held open, trouble as the seed brings it, then all is well. */
  static RequestSim story(long seed, int steps) {
    RequestSim world = new RequestSim(seed);
    Happening[] hs = Happening.values();
    Point[] ps = Point.values();
    world.arm(hs[(int) (seed % hs.length)], ps[(int) (seed / hs.length % ps.length)]);
    for (SimControl control : world.controls.values())
      control.rate(1 + (world.random.nextDouble() - 0.5) * 0.01);
    for (RequestRelay r : world.fronts.values())
      r.drift(1 + (world.random.nextDouble() - 0.5) * 0.01);
    world.run(3500);
    world.mend();
    world.run(1500);
    for (int i = 0; i < steps; i++) {
      world.step();
      world.run(300 + world.random.nextInt(1500));
      if (world.random.nextInt(2) == 0) world.mend();
      world.run(world.random.nextInt(700));
    }
    world.mend();
    world.run(12_000);
    int before = world.complete();
    world.run(QUIET_MS);
    int due = COMPLETE_WHEN_WELL * world.operator.tenantsWithKeys() / RequestSim.TENANTS.length;
    if (world.complete() - before < due)
      world.violation("only " + (world.complete() - before) + " orders complete when all is well");
    world.perSecond = 0.001;
    world.run(6000);
    world.judge();
    return world;
  }

  @Override
  public String toString() {
    return "orders "
        + requests
        + ", complete "
        + complete
        + ", second tries "
        + second
        + ", brought about "
        + counts
        + ", windows met "
        + met;
  }
}
