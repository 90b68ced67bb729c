package gladelug.emulator.sim;

import org.junit.jupiter.api.Test;

/**
 * Scenarios of members cut off from the others for about twenty seconds while operators still reach
 * them: they neither confirm, refuse nor return anything, and return the newest value once they are
 * back. Unless stated otherwise the owner of the configuration is c3.
 */
final class CutOffMemberScenariosTest {
  /**
   * Starts the cut at any time from before the change is sent to long after it was acknowledged.
   * The member is read again once it has had time to take its key back.
   */
  private static void cutAroundAChange(String cut) {
    for (int momentMs = 4900; momentMs <= 5400; momentMs += 25)
      OperatorScenario.play(
          momentMs / 25,
          3,
          """
          t     | c3   | calls
          4000  | .    | A on 0 at c1
          4800  | .    | A acknowledged
          %d    | %s   | .
          5000  | .    | B on 1 at c3
          9500  | .    | C on 1 at c1
          10600 | .    | D on 2 at c2
          11700 | .    | D acknowledged, read at c3, E on 3 at c3, F on 1 at c3
          12800 | .    | no read, E unclear, F unclear, read at c1
          13800 | .    | saw 3 D
          20000 | .    | read at c3, F on 1 at c3
          21100 | .    | no read, F unclear
          25000 | heal | .
          31000 | .    | read at c3
          32100 | .    | saw 3 D, E on 3 at c3
          33200 | .    | E acknowledged"""
              .formatted(momentMs, cut));
  }

  @Test
  void anOwnerCutOffAroundAChangeSaysNothingUntilItIsBack() {
    cutAroundAChange("cut");
  }

  @Test
  void anOwnerThatIsNotHeardSaysNothingUntilItIsBack() {
    cutAroundAChange("cut-out");
  }

  @Test
  void anOwnerThatDoesNotHearSaysNothingUntilItIsBack() {
    cutAroundAChange("cut-in");
  }

  /** Links of the owner flap for twenty seconds while changes and reads continue at all members. */
  @Test
  void anOwnerWhoseLinksFlapShowsNothingOld() {
    for (int periodMs = 150; periodMs <= 2000; periodMs += 50) {
      StringBuilder text =
          new StringBuilder(
              """
              t     | c3 | calls
              4000  | .  | A on 0 at c1
              4800  | .  | A acknowledged, series 40 at c1
              """);
      for (int atMs = 5000; atMs < 25_000; atMs += periodMs)
        text.append(
            "%d | %s | read at c%d%n"
                .formatted(
                    atMs,
                    (atMs - 5000) / periodMs % 2 == 0 ? "cut" : "heal",
                    1 + atMs / periodMs % 3));
      text.append("25001 | heal | .\n40000 | . | series over, read at c3\n");
      OperatorScenario.play(periodMs / 50, 3, text.toString());
    }
  }
}
