package gladelug.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Generates a plan from a seed: overlapping series of events that the deployment must tolerate. At
 * any time at most one member of the core is down, frozen or without its disk, and it gets time to
 * catch up before the next event at the core. All members may be killed at once, since they keep
 * their disks. The number of concurrent events at relays, replicas, the store, the platform,
 * clients and configurations is not limited.
 */
final class PlanGenerator {
  /**
   * Leaves all processes time to start and to apply a first configuration; only a disk loss during
   * the first start comes earlier.
   */
  static final long FIRST_EVENT_MS = 9000;

  private static final int TERMINATION_GRACE_MS = 8000;

  /** Minimum time from the end of an event at a core member to the next one. */
  private static final int CORE_CATCH_UP_MS = 7000;

  /**
   * One in this many plans wipes the disk of a core member while the fleet starts for the first
   * time.
   */
  private static final int FIRST_START_LOSS_ONE_IN = 4;

  private static final int FIRST_START_LOSS_MAX_MS = 900;
  private static final int[] MACHINE_COUNTS = {3, 3, 4, 6, 12};
  private static final int MAX_SERIES_EVENTS = 4;

  /**
   * Mean pauses between two series: events overlap more in dense plans, and are easier to tell
   * apart in sparse ones.
   */
  private static final int[] MEAN_PAUSES_MS = {700, 1500, 4000};

  private final Random random;
  private final SoakPlan planWithoutEvents;
  private final Set<EventKind> allowedKinds;
  private final List<SoakEvent> events = new ArrayList<>();
  private long coreFreeFromMs = FIRST_EVENT_MS;

  private PlanGenerator(SoakPlan planWithoutEvents, Set<EventKind> allowedKinds, Random random) {
    this.planWithoutEvents = planWithoutEvents;
    this.allowedKinds = allowedKinds;
    this.random = random;
  }

  /**
   * Generates the plan of a seed.
   *
   * @param machines number of machines, or 0 to draw it from the seed
   * @param allowedKinds the kinds of events to draw from; empty for all
   */
  static SoakPlan generate(long seed, int seconds, int machines, Set<EventKind> allowedKinds) {
    Random random = new Random(seed * 0x9E3779B97F4A7C15L + 1);
    int drawnMachines = MACHINE_COUNTS[random.nextInt(MACHINE_COUNTS.length)];
    int replicas = 2 + random.nextInt(3);
    SoakPlan planWithoutEvents =
        new SoakPlan(seed, seconds, machines == 0 ? drawnMachines : machines, replicas, List.of());
    return new PlanGenerator(planWithoutEvents, allowedKinds, random).generatePlan();
  }

  private SoakPlan generatePlan() {
    if (isAllowed(EventKind.MEMBER_WIPE) && random.nextInt(FIRST_START_LOSS_ONE_IN) == 0)
      addEvent(random.nextInt(FIRST_START_LOSS_MAX_MS), EventKind.MEMBER_WIPE, 1000);
    List<EventKind> kinds = new ArrayList<>();
    for (EventKind kind : EventKind.values()) if (isAllowed(kind)) kinds.add(kind);
    long endMs = planWithoutEvents.seconds() * 1000L;
    long meanPauseMs = MEAN_PAUSES_MS[random.nextInt(MEAN_PAUSES_MS.length)];
    for (long atMs = FIRST_EVENT_MS; atMs < endMs; atMs += drawPauseMs(meanPauseMs))
      addSeries(atMs, kinds.get(random.nextInt(kinds.size())), endMs);
    return planWithoutEvents.withEvents(events);
  }

  private boolean isAllowed(EventKind kind) {
    return allowedKinds.isEmpty() || allowedKinds.contains(kind);
  }

  private long drawPauseMs(long meanMs) {
    return 100 + (long) (-Math.log(1 - random.nextDouble()) * meanMs);
  }

  /** Adds one or several events of a kind in a row. */
  private void addSeries(long fromMs, EventKind kind, long endMs) {
    int eventCount = random.nextInt(3) > 0 ? 1 : 1 + random.nextInt(MAX_SERIES_EVENTS);
    long atMs = fromMs;
    for (int i = 0; i < eventCount && atMs < endMs; i++, atMs += drawPauseMs(800))
      addEvent(atMs, kind, drawDurationMs(kind));
  }

  private int drawDurationMs(EventKind kind) {
    return switch (kind) {
      case RELAY_TERM, RELAY_TERMS, MEMBER_TERM, MACHINE_TERM -> TERMINATION_GRACE_MS;
      case RELAY_KILL, MEMBER_KILL, MEMBER_WIPE, CORE_KILL -> 300 + random.nextInt(1700);
      case RELAY_FREEZE, MEMBER_FREEZE -> 300 + random.nextInt(4000);
      case REPLICA_CRASH, STORE_DOWN -> 500 + random.nextInt(5000);
      case REPLICA_SLOW, REPLICA_RESET, PAGES_MALFORMED -> 1000 + random.nextInt(4000);
      case ANSWER_ENDLESS, ANSWER_CUT, ANSWER_SURPLUS, ANSWER_HUGE -> 500 + random.nextInt(2500);
      case PLATFORM_DOWN, PLATFORM_SLOW, PLATFORM_BUSY -> 1000 + random.nextInt(8000);
      default -> 0;
    };
  }

  private void addEvent(long earliestMs, EventKind kind, int durationMs) {
    long atMs = earliestMs;
    if (kind.disturbsCore()) {
      boolean firstStart = earliestMs < FIRST_EVENT_MS;
      if (!firstStart) atMs = Math.max(atMs, coreFreeFromMs + random.nextInt(1000));
      coreFreeFromMs = Math.max(coreFreeFromMs, atMs + durationMs + CORE_CATCH_UP_MS);
    }
    if (atMs > planWithoutEvents.seconds() * 1000L) return;
    int targets = planWithoutEvents.targetCount(kind.target);
    events.add(
        new SoakEvent(atMs, kind, targets == 0 ? 0 : 1 + random.nextInt(targets), durationMs));
  }
}
