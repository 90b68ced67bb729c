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
 * A seeded day of a deployment: at the deployment's rates, everything that may fail, in an order
 * the seed gives, each mended after a while; weights named, keys revoked, configurations raced and
 * grown meanwhile; one last fault at the end. The promises with a time in them (configurations,
 * keys, weights, leaving replicas) are judged by Promises from what operators and the platform were
 * told and when replicas got what; nothing acknowledged lost and back within 12 s here; the rest by
 * Judge.
 *
 * <p>The play of a day.
 */
public final class Day {
  private static final long WARM_UP_MS = 2000;
  private static final long RECOVERY_MS = 1500;
  private static final long DRAIN_TIMEOUT_MS = 40_000;

  /** The part of a trouble, in thousandths, after which the configuration may change. */
  private static final long CHANGE_AFTER_PERMILLE = 400;

  private final Fleet fleet;
  private final Random random;
  private final StandInCallers callers;
  private final TimedGuarantees promises = new TimedGuarantees();
  private final DayOperator operator;
  private final DayFleet machines;
  private final OperatorEpisodes operatorEpisodes;
  private final LastFault lastFault;

  /** Plays on a fleet that was not started yet, at a multiple of the deployment's rates. */
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
    operator = new DayOperator(fleet, promises);
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
   * Plays the day; true if no rule was broken.
   *
   * @param secondsPerEpisode how long each trouble lasts
   * @param maxEpisodes how many of the day's troubles are played before the last fault
   */
  public boolean play(int secondsPerEpisode, int maxEpisodes) throws Exception {
    fleet.platform.stateListener =
        (instance, state) -> promises.record("replica " + instance, state, nowMs(), nowMs());
    fleet.start();
    promises.record("weights", operator.currentWeights(), 0, 0);
    operator.currentMeanings().forEach((key, meaning) -> promises.record(key, meaning, 0, 0));
    callers.start();
    Fleet.pause(WARM_UP_MS);
    List<Episode> episodes = episodes();
    for (Episode episode : episodes.subList(0, Math.min(maxEpisodes, episodes.size()))) {
      play(episode, secondsPerEpisode);
    }
    lastFault.play();
    callers.stop();
    Fleet.waitUntil("the last requests ended", DRAIN_TIMEOUT_MS, () -> callers.openRequests() == 0);
    return report();
  }

  /** All troubles, in the order that the seed gives. */
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
    Map<String, List<String>> rules = promises.check(fleet.ledger, TimedGuarantees.REQUIRED);
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
