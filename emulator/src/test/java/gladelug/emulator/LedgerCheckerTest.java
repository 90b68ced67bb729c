package gladelug.emulator;

import static gladelug.emulator.LedgerChecker.checkAll;

import gladelug.emulator.LedgerChecker.Finding;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of LedgerChecker. */
final class LedgerCheckerTest {
  private static Ledger.Call call(
      Ledger l, String tag, boolean repeatable, String outcome, int pieces) {
    Ledger.Call c = new Ledger.Call(tag, "k", "t", "r", repeatable, 0);
    c.outcome = outcome;
    c.status = outcome.equals("complete") ? 200 : 503;
    c.pieces = pieces;
    c.explicitEnd = c.bodyTerminated = outcome.equals("complete");
    l.calls.put(tag, c);
    return c;
  }

  private static void run(Ledger l, String tag, boolean ran, int pieces, boolean ended) {
    Ledger.Run r = new Ledger.Run(tag, "o", "s", "i", "w", "", 1, 0);
    r.ran = ran;
    r.pieces = pieces;
    r.ended = ended;
    l.addRun(r);
  }

  private static String verdicts(Ledger l) {
    StringBuilder builder = new StringBuilder();
    for (Finding f : checkAll(l)) if (!f.passed()) builder.append(f.rule()).append(' ');
    return builder.toString().trim();
  }

  @Test
  void aCorrectLedgerBreaksNoRule() {
    Ledger l = new Ledger();
    call(l, "a", false, "complete", 5);
    run(l, "a", false, 0, false);
    run(l, "a", true, 5, true);
    call(l, "b", false, "not-run", 0);
    Assertions.assertEquals("", verdicts(l));
  }

  @Test
  void eachViolationIsDetected() {
    Ledger l = new Ledger();
    call(l, "a", false, "complete", 5);
    run(l, "a", true, 1, false);
    run(l, "a", true, 5, true);
    Assertions.assertEquals("unrepeatable-ran-twice", verdicts(l));
    l = new Ledger();
    call(l, "a", false, "not-run", 0);
    run(l, "a", true, 0, false);
    Assertions.assertEquals("not-run-but-ran", verdicts(l));
    l = new Ledger();
    call(l, "a", false, "complete", 3);
    run(l, "a", true, 5, true);
    Assertions.assertEquals("cut-off-looks-complete", verdicts(l));
    l = new Ledger();
    Ledger.Call c = call(l, "a", false, "none", 2);
    c.status = 200;
    c.bodyTerminated = true;
    run(l, "a", true, 2, false);
    Assertions.assertEquals("cut-off-looks-complete", verdicts(l));
    l = new Ledger();
    call(l, "a", false, "cut-off", 2).misordered = 1;
    call(l, "b", false, "cut-off", 2).foreign = 1;
    l.forbiddenCalls.add("x");
    l.invalidReuses.add("x");
    l.commanderConflicts.add("x");
    Assertions.assertEquals(
        "stream-lost-repeated-spliced bytes-of-another service-never-allowed "
            + "cache-of-other-weights-or-wall two-commanders",
        verdicts(l));
    l = new Ledger();
    for (int i = 0; i < 100; i++) {
      call(l, "r" + i, true, "complete", 1);
      for (int j = 0; j < (i < 40 ? 2 : 1); j++) run(l, "r" + i, true, 1, true);
    }
    Assertions.assertEquals("second-tries-over-a-fifth", verdicts(l));
  }
}
