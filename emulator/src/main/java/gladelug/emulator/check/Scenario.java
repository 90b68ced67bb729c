package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Where an exploration begins and what may happen in it.
 *
 * <p>prefix: the steps that lead to the first state explored.
 */
record Scenario(String name, Setup setup, List<Step> prefix, Menu menu) {
  /**
   * How often each kind of move may be made in one run. ticks: by how much a clock advances, ms;
   * crashes: with a restart, also in the middle of a message, whose writes are lost then; messages:
   * the types that may arrive.
   */
  record Menu(
      List<Integer> ticks,
      int mostTicks,
      int mostProposals,
      int mostReads,
      int mostCrashes,
      int mostWipes,
      Set<String> messages) {}

  private static final Set<String> OWNERSHIP =
      Set.of("PrepareRequest", "PrepareResponse", "AcceptRequest", "AcceptResponse");
  private static final Set<String> CHANGE_OF_MEMBERS =
      Set.of(
          "PrepareRequest",
          "PrepareResponse",
          "AcceptRequest",
          "AcceptResponse",
          "SealRequest",
          "SealResponse",
          "Activate");
  private static final String JOIN_REQUEST = "JoinRequest";
  private static final int LONGEST_PREFIX = 4000;

  /**
   * Three members; one owns a key and has had a value acknowledged, another tries for the key with
   * its promises in flight.
   */
  static Scenario twoOwners(Mutation mutation) {
    Setup setup = Setup.of(3, true, 0).withSpares(0).withKeys(List.of(StateKeys.CONFIGURATION));
    Menu menu = new Menu(List.of(), 0, 1, 0, 1, 0, OWNERSHIP);
    return from("two owners", setup, menu, Scenario::isContested).without(mutation);
  }

  private static boolean isContested(World world) {
    boolean told = world.rules.newestTold(StateKeys.CONFIGURATION) > 0;
    CheckedMachine owner = owner(world, StateKeys.CONFIGURATION);
    boolean takesChanges = owner != null && !owner.node.isUnavailable();
    return told && takesChanges && inFlight(world, "PrepareRequest") >= 2;
  }

  /**
   * Three members and a spare; the owner of the members' key has written the next set to none yet.
   */
  static Scenario changeOfMembers(Mutation mutation) {
    Setup setup = Setup.of(3, true, 0).withSpares(1);
    Menu menu = new Menu(List.of(160), 4, 0, 0, 1, 1, CHANGE_OF_MEMBERS);
    return from("change of members", setup, menu, Scenario::isProposed).without(mutation);
  }

  private static boolean isProposed(World world) {
    CheckedMachine owner = owner(world, StateKeys.CORE);
    boolean told = world.rules.newestTold(StateKeys.CONFIGURATION) > 0;
    return told
        && owner != null
        && inFlight(world, "AcceptRequest") >= 2
        && world.budget.proposed() > 0;
  }

  /** Three founders with empty disks; one of them may lose its disk and found again. */
  static Scenario founding(Mutation mutation) {
    QuorumConfig tunables = Setup.of(3, false, 0).tunables();
    Setup setup =
        new Setup(3, 0, false, 0, List.of(StateKeys.CONFIGURATION), tunables, Mutation.NONE);
    Menu menu = new Menu(List.of(300), 5, 0, 0, 1, 1, Set.of("BootstrapAnnouncement", "Activate"));
    return new Scenario("founding", setup, List.of(), menu).without(mutation);
  }

  /**
   * Three founders with empty disks; one of them may lose its disk and then only asks to be let in,
   * or founds again.
   */
  static Scenario lossAtTheFounding(Mutation mutation) {
    Menu menu =
        new Menu(
            List.of(300), 5, 0, 0, 0, 1, Set.of("BootstrapAnnouncement", JOIN_REQUEST, "Activate"));
    return new Scenario("loss at the founding", founding(mutation).setup(), List.of(), menu);
  }

  /** Whether a machine that lost its disk may ask to be let in. */
  boolean mayJoin() {
    return menu.messages().contains(JOIN_REQUEST);
  }

  private Scenario without(Mutation mutation) {
    return new Scenario(name, setup.with(mutation), prefix, menu);
  }

  static CheckedMachine owner(World world, String key) {
    for (CheckedMachine m : world.machines()) if (m.up() && m.node.owns(key)) return m;
    return null;
  }

  private static long inFlight(World world, String type) {
    return world.network.flights().stream().filter(flight -> flight.type().equals(type)).count();
  }

  /** Looks for a run that leads there by random walks, and takes out what it doesn't need. */
  private static Scenario from(String name, Setup setup, Menu menu, Predicate<World> there) {
    for (long seed = 0; ; seed++) {
      List<Step> steps = RandomWalk.until(setup, seed, LONGEST_PREFIX, there);
      if (steps == null) continue;
      List<Step> few = Replay.shrink(steps, s -> there.test(Replay.playOnly(setup, s)));
      List<Step> possible = new ArrayList<>();
      World world = World.toPlay(setup, false);
      for (Step step : few) if (Replay.apply(world, step)) possible.add(step);
      return new Scenario(name, setup, possible, menu);
    }
  }
}
