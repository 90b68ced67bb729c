package gladelug.emulator.check;

import java.util.Set;
import java.util.function.Supplier;

/**
 * First starts that are cut in two at each moment: one founder and the machines it may have chosen
 * on one side, the other two founders and further machines on the other, so that the sides found
 * two fleets if the second forgets what the first may have agreed. Either a founder on the second
 * side loses its disk and bootstraps again, or the founders there have no disks. Returns the first
 * rule that is broken.
 */
final class LossAtFirstStartScenario implements Supplier<String> {
  private static final int ROUNDS_AFTERWARDS = 200;

  /** Up to how many messages arrive in the round in which the start is cut. */
  private static final int MAX_DELIVERIES = 80;

  /** The rounds in which founders that miss one of them make their first proposals. */
  private static final int FIRST_PROPOSAL_ROUND = 18, LAST_PROPOSAL_ROUND = 21;

  @Override
  public String get() {
    for (int deliveries = 0; deliveries <= MAX_DELIVERIES; deliveries++) {
      String broken = afterDiskLoss(deliveries);
      for (int round = FIRST_PROPOSAL_ROUND; round <= LAST_PROPOSAL_ROUND; round++)
        broken += withoutTheProposer(round, deliveries);
      if (!broken.isEmpty()) return "cut after " + deliveries + " messages: " + broken;
    }
    return "";
  }

  private static String afterDiskLoss(int deliveries) {
    FirstStartSchedule start = new FirstStartSchedule(Setup.of(3, false, 0).withSpares(0));
    start.runRound(Set.of("a", "b", "c"), deliveries);
    start.run(Set.of("a", "b"), ROUNDS_AFTERWARDS);
    start.wipe("b");
    start.run(Set.of("b", "c"), ROUNDS_AFTERWARDS);
    return broken(start);
  }

  private static String withoutTheProposer(int round, int deliveries) {
    FirstStartSchedule start = new FirstStartSchedule(Setup.withWitnesses(3, 1, 0).withSpares(4));
    Set<String> first = Set.of("a", "b", "d");
    start.run(first, round);
    start.runRound(first, deliveries);
    start.deliverTo("a");
    start.crash("b");
    start.restart("b");
    start.run(Set.of("b", "c", "e", "f", "g"), ROUNDS_AFTERWARDS);
    return broken(start);
  }

  private static String broken(FirstStartSchedule start) {
    Rules.Broken broken = start.world.rules.brokenRule();
    return broken == null ? "" : broken.toString();
  }
}
