package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.message.CoreMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The first state of an exploration and the moves that may follow. prefix: the steps that lead to
 * the first state.
 */
record Scenario(String name, Setup setup, List<Step> prefix, Menu menu) {
  /**
   * How often each kind of move may occur in one run. tickDurationsMs: the possible clock advances;
   * maxCrashes: crashes, each with a restart, which may also interrupt the handling of a message
   * and lose its writes; messageTypes: the types of messages that may arrive.
   */
  record Menu(
      List<Integer> tickDurationsMs,
      int maxTicks,
      int maxProposals,
      int maxReads,
      int maxCrashes,
      int maxWipes,
      Set<String> messageTypes) {}

  private static final Set<String> OWNERSHIP =
      Set.of("PrepareRequest", "PrepareResponse", "AcceptRequest", "AcceptResponse");
  private static final Set<String> MEMBERSHIP_CHANGE =
      Set.of(
          "PrepareRequest",
          "PrepareResponse",
          "AcceptRequest",
          "AcceptResponse",
          "SealRequest",
          "SealResponse",
          "Activate");
  private static final String JOIN_REQUEST = "JoinRequest";
  private static final int MAX_PREFIX_STEPS = 4000;

  /** The first seed whose walk leads to a contest that a promise on no disk can decide wrongly. */
  private static final long TWO_OWNERS_SEED = 6;

  /**
   * Three members: one owns a key and has had a value acknowledged; another tries for the key and
   * its promise requests are in flight.
   */
  static Scenario twoOwners(Mutation mutation) {
    Setup setup = Setup.of(3, true, 0).withSpares(0).withKeys(List.of(StateKeys.CONFIGURATION));
    Menu menu = new Menu(List.of(), 0, 1, 0, 1, 0, OWNERSHIP);
    return search("two owners", setup, menu, TWO_OWNERS_SEED, Scenario::isContested)
        .withMutation(mutation);
  }

  private static boolean isContested(CheckedWorld world) {
    boolean isTold = world.rules.newestTold(StateKeys.CONFIGURATION) > 0;
    CheckedMachine owner = ownerOf(world, StateKeys.CONFIGURATION);
    boolean takesChanges = owner != null && !owner.node.isUnavailable();
    return isTold && takesChanges && countInFlight(world, "PrepareRequest") >= 2;
  }

  /**
   * Three members and a spare: the owner of the membership key has proposed the next member set,
   * and no other member has received it.
   */
  static Scenario membershipChange(Mutation mutation) {
    Setup setup = Setup.of(3, true, 0).withSpares(1);
    Menu menu = new Menu(List.of(160), 4, 0, 0, 1, 1, MEMBERSHIP_CHANGE);
    return search("change of members", setup, menu, 0, Scenario::isMembershipProposed)
        .withMutation(mutation);
  }

  private static boolean isMembershipProposed(CheckedWorld world) {
    CheckedMachine owner = ownerOf(world, StateKeys.CORE);
    boolean isTold = world.rules.newestTold(StateKeys.CONFIGURATION) > 0;
    return isTold
        && owner != null
        && countInFlight(world, "AcceptRequest") >= 2
        && world.faultBudget.proposedSetCount() > 0;
  }

  /**
   * Three founders with empty disks; one of them may lose its disk and take part in the founding
   * again.
   */
  static Scenario founding(Mutation mutation) {
    QuorumConfig tunables = Setup.of(3, false, 0).config();
    Setup setup =
        new Setup(3, 0, false, 0, List.of(StateKeys.CONFIGURATION), tunables, Mutation.NONE, 0);
    Menu menu = new Menu(List.of(300), 5, 0, 0, 1, 1, Set.of("BootstrapBallot", "Activate"));
    return new Scenario("founding", setup, List.of(), menu).withMutation(mutation);
  }

  /**
   * Three founders with empty disks; one of them may lose its disk and then either only asks to
   * join or takes part in the founding again.
   */
  static Scenario founderDiskLoss(Mutation mutation) {
    Menu menu =
        new Menu(List.of(300), 5, 0, 0, 0, 1, Set.of("BootstrapBallot", JOIN_REQUEST, "Activate"));
    return new Scenario("loss at the founding", founding(mutation).setup(), List.of(), menu);
  }

  /**
   * Three founders of which some have no disk, and as many other machines: one founder has accepted
   * a set, and no other has heard of it. A founder without a disk may end.
   */
  static Scenario foundingWithWitnesses(int witnessCount, Mutation mutation) {
    Setup setup =
        Setup.withWitnesses(3, witnessCount, 0).withKeys(List.of(StateKeys.CONFIGURATION));
    Menu menu =
        new Menu(
            List.of(300, 1200), 6, 0, 0, 1, 0, Set.of("BootstrapBallot", JOIN_REQUEST, "Activate"));
    String name = "founding with " + witnessCount + " witnesses";
    return search(name, setup, menu, 0, Scenario::isSetProposed).withMutation(mutation);
  }

  private static boolean isSetProposed(CheckedWorld world) {
    return world.network.inFlight().stream()
        .map(message -> message.envelope().message())
        .anyMatch(
            message ->
                message instanceof CoreMessage.BootstrapBallot ballot
                    && ballot.vote().acceptedBallot() > 0);
  }

  /** Returns whether a machine that lost its disk may ask to join. */
  boolean mayJoin() {
    return menu.messageTypes().contains(JOIN_REQUEST);
  }

  private Scenario withMutation(Mutation mutation) {
    return new Scenario(name, setup.with(mutation), prefix, menu);
  }

  static CheckedMachine ownerOf(CheckedWorld world, String key) {
    for (CheckedMachine machine : world.machines())
      if (machine.isRunning() && machine.node.owns(key)) return machine;
    return null;
  }

  private static long countInFlight(CheckedWorld world, String type) {
    return world.network.inFlight().stream().filter(message -> message.type().equals(type)).count();
  }

  /**
   * Finds a run that fulfils the condition by random walks, and removes the steps that it does not
   * need.
   */
  private static Scenario search(
      String name, Setup setup, Menu menu, long firstSeed, Predicate<CheckedWorld> condition) {
    for (long seed = firstSeed; ; seed++) {
      List<Step> steps = RandomWalk.stepsUntil(setup, seed, MAX_PREFIX_STEPS, condition);
      if (steps == null) continue;
      List<Step> shortened =
          Replay.shrink(
              steps, candidate -> condition.test(Replay.replayWithoutRecovery(setup, candidate)));
      List<Step> possible = new ArrayList<>();
      CheckedWorld world = CheckedWorld.forReplay(setup, false);
      for (Step step : shortened) if (Replay.apply(world, step)) possible.add(step);
      return new Scenario(name, setup, possible, menu);
    }
  }
}
