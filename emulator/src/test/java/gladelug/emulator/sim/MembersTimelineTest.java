package gladelug.emulator.sim;

import gladelug.control.core.QuorumConfig;
import gladelug.control.core.QuorumConfig.AcknowledgementMode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests, as timelines, of cores of other sizes that grow and replace members without an operator.
 */
final class MembersTimelineTest {
  private static final QuorumConfig HEALING =
      QuorumConfig.builder()
          .acknowledgementMode(AcknowledgementMode.CONTACT)
          .subscriberContactMs(900)
          .acknowledgementTimeoutMs(1500)
          .targetMembers(5)
          .replaceDeadAfterMs(2500)
          .changeTimeoutMs(3000)
          .commandLeaseMs(1000)
          .commandHandoverGapMs(2500)
          .build();

  private static void play(int machines, int founding, QuorumConfig config, String text) {
    for (long seed = 1; seed <= 8; seed++) {
      Simulation world = new Simulation(seed, 2, machines, founding, config);
      Timeline.play(world, text);
      if (!world.violations.isEmpty())
        throw new AssertionError(
            "seed " + seed + " " + world.violations + "\n" + world.eventLogText());
    }
  }

  @Test
  void anyNumberFoundsAndServes() {
    QuorumConfig still = HEALING.with().targetMembers(1).build();
    String[] names = {"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"};
    for (int count = 1; count <= 9; count++)
      play(
          count,
          count,
          still,
          """
            t     | op
            4000  | members %s, generation 1, send c1
            5000  | last acknowledged, serve, read c%d
            5500  | reads 1, well"""
              .formatted(String.join(" ", List.of(names).subList(0, count)), count));
  }

  @Test
  void theCoreGrowsToItsVotersAndTheRestStandBy() {
    play(
        7,
        3,
        HEALING,
        """
            t     | op
            8000  | members c1 c2 c3 c4 c5, send c7
            8900  | last acknowledged, send c1
            9000  | last acknowledged, serve, read c4, read c6
            9500  | reads 2
            15000 | members c1 c2 c3 c4 c5, generation 2, serve, well""");
    play(
        3,
        1,
        HEALING,
        """
            t     | op
            8000  | members c1 c2 c3, send c3
            9000  | last acknowledged, serve, well""");
  }

  @Test
  void aDeadMembersPlaceGoesToAStandByAndItComesBackAsOne() {
    play(
        6,
        5,
        HEALING,
        """
            t     | c2    | c6    | op
            4000  | .     | .     | members c1 c2 c3 c4 c5, send c1
            4500  | .     | .     | last acknowledged
            5000  | power | .     | .
            10000 | .     | .     | members c1 c3 c4 c5 c6, serve, send c6
            11000 | up    | .     | last acknowledged
            14000 | .     | .     | retired c2, members c1 c3 c4 c5 c6
            15000 | .     | power | .
            20000 | .     | .     | members c1 c2 c3 c4 c5, generation 3, serve, send c2
            21000 | .     | .     | last acknowledged, serve, well""");
  }

  @Test
  void anEmptyMachineAtAnotherAddressTakesThePlaceOfOneThatLeft() {
    play(
        3,
        3,
        HEALING.with().targetMembers(3).build(),
        """
            t     | c3    | c4  | op
            4000  | .     | .   | send c1
            4500  | power | .   | last acknowledged
            9000  | .     | new | members c1 c2 c3, serve
            13500 | .     | .   | members c1 c2 c4, serve, send c4
            14500 | .     | .   | last acknowledged, well""");
  }

  @Test
  void aFounderThatLostItsDiskWhileOrAfterTheFleetWasFoundedIsLetInAgain() {
    for (String c : new String[] {"c1", "c2", "c3"})
      for (int ms : new int[] {100, 210, 215, 220, 230, 250, 300, 5000})
        play(
            3,
            3,
            QuorumConfig.DEFAULT,
            """
                t     | %s           | op
                %d    | emptyFounder | .
                12000 | .            | members c1 c2 c3, send %s
                15000 | .            | last acknowledged, serve, well"""
                .formatted(c, ms, c));
  }

  @Test
  void inContactModeNobodyWaitsForTheLeaseOfADeadRelay() {
    play(
        3,
        3,
        HEALING.with().targetMembers(3).leaseMs(3000).build(),
        """
            t     | r1   | op
            4000  | .    | send c1
            5000  | .    | last acknowledged, serve
            5100  | kill | .
            6200  | .    | send c1
            6400  | .    | last acknowledged, well""");
  }

  /**
   * Guards against a configuration that is acknowledged while a relay that stands still shares what
   * it forbids: its lease counts as fresh until about 6.9 s.
   */
  @Test
  void aConfigurationWaitsForTheFreshPartOfAStoppedRelaysLease() {
    QuorumConfig fresh = HEALING.with().targetMembers(3).leaseMs(4000).freshMs(2500).build();
    play(
        3,
        3,
        fresh,
        """
        t     | r1    | op
        4000  | .     | send c1
        5000  | .     | last acknowledged, serve
        5100  | pause | .
        5200  | .     | send c1
        6500  | .     | last none
        8000  | .     | last acknowledged, well""");
    // a new owner does not know which leases the former one granted
    play(
        3,
        3,
        fresh,
        """
        t     | c3   | op
        4000  | .    | owner c3, send c1
        5000  | .    | last acknowledged
        5100  | kill | .
        6900  | .    | send c1
        7600  | .    | last none
        10500 | .    | last acknowledged, well""");
  }

  @Test
  void aChangeWhoseOwnerDiesIsKnownWithinFourSeconds() {
    for (int ms : new int[] {1, 5, 10, 20})
      for (String c : new String[] {"c1", "c2"})
        play(
            3,
            3,
            HEALING,
            """
            t     | c3    | op
            4000  | .     | owner c3, send c1
            5000  | .     | last acknowledged, send %s
            %d    | power | .
            9000  | .     | answered, read %s, send %s
            9900  | .     | last acknowledged, reads 1, well"""
                .formatted(c, 5000 + ms, c, c));
  }
}
