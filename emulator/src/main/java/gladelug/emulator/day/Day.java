package gladelug.emulator.day;

import gladelug.emulator.Fleet;
import gladelug.emulator.LedgerReport;
import gladelug.emulator.StandInCallers;
import gladelug.emulator.TimedGuarantees;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Plays a seeded sequence of fault episodes against a loaded fleet.
 *
 * <p>The seed decides the order of the episodes. Each fault is repaired after a while; meanwhile
 * weights are replaced, keys revoked, and configurations raced and grown. One final fault ends the
 * day. {@link TimedGuarantees} checks the guarantees with a deadline (configurations, keys,
 * weights, leaving replicas), this class checks that no acknowledged configuration is lost and that
 * every relay serves again within 12 s, and {@link gladelug.emulator.LedgerChecker} checks the
 * rest.
 */
public final class Day {
  private static final long WARM_UP_MS = 2000;
  private static final long RECOVERY_MS = 1500;
  private static final long DRAIN_TIMEOUT_MS = 40_000;

  /** The share of an episode, in thousandths, after which the configuration may change. */
  private static final long CHANGE_AFTER_PERMILLE = 400;

  private final Fleet fleet;
  private final Random random;
  private final StandInCallers callers;
  private final TimedGuarantees guarantees = new TimedGuarantees();
  private final DayOperator operator;
  private final DayFleet machines;
  private final OperatorEpisodes operatorEpisodes;
  private final LastFault lastFault;

  /**
   * Creates a day on a fleet that is not started yet; {@code rate} multiplies the deployment's
   * rates.
   */
  public Day(Fleet fleet, long seed, double rate) {
    this.fleet = fleet;
    this.random = new Random(seed);
    List<StandInCallers.Kind> kinds = new ArrayList<>(fleet.deployment.kinds());
    kinds.add(fleet.deployment.application());
    callers =
        new StandInCallers(
            fleet.vertx,
            fleet.ledger,
            fleet.callerAddresses,
            fleet.deployment.tenants(),
            kinds,
            seed);
    callers.rateFactor = rate;
    operator = new DayOperator(fleet, guarantees);
    machines = new DayFleet(fleet, random);
    operatorEpisodes = new OperatorEpisodes(machines, operator);
    lastFault = new LastFault(machines, operator);
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static void printLine(String what) {
    System.out.println("  " + what);
  }

  /**
   * Plays the day and returns true if no rule was broken.
   *
   * @param secondsPerEpisode how long each fault lasts
   * @param maxEpisodes how many episodes are played at most before the last fault
   */
  public boolean play(int secondsPerEpisode, int maxEpisodes) throws Exception {
    fleet.platform.stateListener =
        (instance, state) -> guarantees.record("replica " + instance, state, nowMs(), nowMs());
    fleet.start();
    guarantees.record("weights", operator.currentWeights(), 0, 0);
    operator.currentSettings().forEach((key, setting) -> guarantees.record(key, setting, 0, 0));
    callers.start();
    Fleet.pause(WARM_UP_MS);
    List<Episode> episodes = episodes();
    for (Episode episode : episodes.subList(0, Math.min(maxEpisodes, episodes.size()))) {
      play(episode, secondsPerEpisode);
    }
    lastFault.play();
    callers.stop();
    Fleet.waitUntil("the last requests end", DRAIN_TIMEOUT_MS, () -> callers.openRequests() == 0);
    return report();
  }

  /** Returns all episodes in the order drawn from the seed. */
  private List<Episode> episodes() {
    List<Episode> episodes = new ArrayList<>(new ProcessEpisodes(machines).episodes());
    episodes.addAll(new ReplicaEpisodes(machines).episodes());
    episodes.addAll(operatorEpisodes.episodes());
    episodes.addAll(new NetworkEpisodes(machines, operator).episodes());
    Collections.shuffle(episodes, random);
    return episodes;
  }

  private void play(Episode episode, int seconds) throws Exception {
    System.out.println("episode: " + episode.name());
    episode.begin().run();
    long end = nowMs() + seconds * 1000L;
    Fleet.pause(seconds * CHANGE_AFTER_PERMILLE);
    if (episode.changesMeanwhile() || random.nextBoolean()) operator.send();
    if (end > nowMs()) Fleet.pause(end - nowMs());
    episode.mend().run();
    Fleet.pause(RECOVERY_MS);
  }

  private boolean report() {
    boolean passed = LedgerReport.print(fleet);
    Map<String, List<String>> rules = guarantees.check(fleet.ledger, TimedGuarantees.REQUIRED);
    rules.put("acknowledged-configuration-lost", operator.findLostConfiguration());
    rules.put("back-later-than-12s", lastFault.slowReturns());
    rules.put("both-of-two-racing-taken", operatorEpisodes.racesWonTwice());
    for (Map.Entry<String, List<String>> rule : rules.entrySet()) {
      passed &= rule.getValue().isEmpty();
      LedgerReport.printRule(rule.getKey(), rule.getValue());
    }
    return passed;
  }
}
