package gladelug.emulator.sim;

import org.junit.jupiter.api.Test;

/**
 * Scenarios of several operators whose changes are based on one version, and of changes sent again
 * after a lost answer: exactly one is confirmed, and what was acknowledged is never refused. The
 * owner of the configuration is c3.
 */
final class OperatorsScenariosTest {
  /**
   * The owner is paused at any time from before both changes to after them, and resumes three
   * seconds later.
   */
  @Test
  void ofTwoAtAnOwnerThatFreezesAndThawsOneIsConfirmed() {
    for (int momentMs = 4950; momentMs <= 5400; momentMs += 10)
      OperatorScenario.play(
          momentMs / 10,
          3,
          """
          t     | c3    | calls
          4000  | .     | A on 0 at c1
          4800  | .     | A acknowledged
          5000  | .     | B on 1 at c3
          5010  | .     | C on 1 at c2
          %d    | pause | .
          6200  | .     | B on 1 at c1, C on 1 at c3
          7400  | .     | B on 1 at c2, C on 1 at c1
          %d    | wake  | .
          12000 | .     | B on 1 at c1, C on 1 at c3
          13100 | .     | one of B C, read at c3"""
              .formatted(momentMs, momentMs + 3000));
  }

  /** The owner loses power from 0 to 400 ms after the change was sent; another change follows. */
  @Test
  void anAcknowledgedChangeIsAcknowledgedAgainByLaterOwners() {
    for (int delayMs = 0; delayMs <= 400; delayMs += 10)
      OperatorScenario.play(
          delayMs / 10,
          3,
          """
          t     | c1    | c3    | calls
          4000  | .     | .     | A on 0 at c1
          4800  | .     | .     | A acknowledged
          5000  | .     | .     | B on 1 at c3
          %d    | .     | power | .
          8500  | .     | .     | B on 1 at c1
          9600  | .     | .     | B acknowledged, C on 2 at c2
          10700 | .     | .     | C acknowledged, B on 1 at c2
          11800 | .     | .     | B acknowledged, A on 0 at c1
          12900 | .     | up    | A acknowledged
          17000 | power | .     | .
          20000 | .     | .     | B on 1 at c3, C on 2 at c2
          21100 | .     | .     | B acknowledged, C acknowledged, A on 0 at c3
          22200 | .     | .     | A acknowledged"""
              .formatted(5000 + delayMs));
  }

  /** Eight concurrent changes, each sent again to other members while the owner dies. */
  @Test
  void ofEightAtOnceOneIsConfirmedThoughTheOwnerDies() {
    for (int momentMs = 4980; momentMs <= 5200; momentMs += 5)
      OperatorScenario.play(
          momentMs / 5,
          3,
          """
          t     | c3   | calls
          4000  | .    | A on 0 at c1
          4800  | .    | A acknowledged
          5000  | .    | B on 1 at c1, C on 1 at c2, D on 1 at c3, E on 1 at c1
          5005  | .    | F on 1 at c2, G on 1 at c3, H on 1 at c1, I on 1 at c2
          %d    | kill | .
          6200  | .    | B on 1 at c2, C on 1 at c3, D on 1 at c1, E on 1 at c2
          6205  | .    | F on 1 at c3, G on 1 at c1, H on 1 at c2, I on 1 at c3
          8500  | .    | B on 1 at c1, C on 1 at c2, D on 1 at c2, E on 1 at c1
          8505  | .    | F on 1 at c2, G on 1 at c2, H on 1 at c1, I on 1 at c1
          9700  | .    | one of B C D E F G H I, read at c1
          10000 | up   | .
          14000 | .    | B on 1 at c3, C on 1 at c3, D on 1 at c3, E on 1 at c3
          14005 | .    | F on 1 at c3, G on 1 at c3, H on 1 at c3, I on 1 at c3
          15100 | .    | one of B C D E F G H I, read at c3"""
              .formatted(momentMs));
  }
}
