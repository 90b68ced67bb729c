package gladelug.emulator;

import static gladelug.emulator.TimedGuarantees.REQUIRED;

import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of TimedGuarantees. */
final class TimedGuaranteesTest {
  private static TimedGuarantees guarantees() {
    TimedGuarantees guarantees = new TimedGuarantees();
    guarantees.record("mapping ask", "a", 0, 0);
    guarantees.record("mapping ask", "b", 10_000, 10_500);
    guarantees.record("weights", "w1", 0, 0);
    guarantees.record("weights", "w2", 10_000, 10_100);
    guarantees.record("tenant t", "good", 0, 0);
    guarantees.record("tenant t", "revoked", 10_000, 10_200);
    guarantees.record("wall u", "", 0, 0);
    guarantees.record("wall u", "u", 10_000, 10_500);
    guarantees.record("replica y", "ready", 0, 0);
    guarantees.record("replica y", "leaving", 10_000, 10_000);
    guarantees.record("allowed z", "yes", 0, 0);
    guarantees.record("allowed z", "no", 10_000, 10_500);
    return guarantees;
  }

  private static String broken(TimedGuarantees guarantees, Object... runs) {
    Ledger l = new Ledger();
    for (int i = 0; i < runs.length; i += 7) {
      String tag = "t" + i;
      l.calls.put(tag, new Ledger.Call(tag, (String) runs[i], (String) runs[i + 1], "r", false, 0));
      l.addRun(
          new Ledger.Run(
              tag,
              "id",
              (String) runs[i + 2],
              (String) runs[i + 3],
              (String) runs[i + 4],
              (String) runs[i + 5],
              1,
              (Integer) runs[i + 6]));
    }
    StringBuilder builder = new StringBuilder();
    guarantees.check(l, REQUIRED).forEach((k, v) -> builder.append(v.isEmpty() ? "" : k + " "));
    return builder.toString().trim();
  }

  @Test
  void eachRuleDetectsItsViolationAndAllowsTheNearestValidRun() {
    Object[][] runs = {
      // kind, tenant, service, instance, weights, wall, at, the rule it breaks
      {"ask", "v", "a", "x", "", "", 12_400, ""},
      {"ask", "v", "a", "x", "", "", 12_600, "old-policy-after-2s"},
      {"ask", "v", "b", "x", "", "", 10_100, ""},
      {"ask", "v", "b", "x", "", "", 9_000, "old-policy-after-2s slipped-back"},
      {"k", "t", "m", "x", "w1", "", 15_100, ""},
      {"k", "t", "m", "x", "w1", "", 15_300, "revoked-key-after-5s"},
      {"k", "v", "m", "x", "w1", "", 35_000, ""},
      {"k", "v", "m", "x", "w1", "", 35_200, "old-weights-after-25s"},
      {"k", "u", "m", "x", "w1", "", 12_400, ""},
      {"k", "u", "m", "x", "w1", "", 12_600, "old-policy-after-2s"},
      {"k", "u", "m", "x", "w1", "u", 12_600, ""},
      {"k", "u", "m", "x", "w1", "u", 9_900, "old-policy-after-2s"},
      {"k", "v", "m", "z", "w2", "", 12_400, ""},
      {"k", "v", "m", "z", "w2", "", 12_600, "old-policy-after-2s"},
      {"k", "v", "m", "y", "w2", "", 12_900, ""},
      {"k", "v", "m", "y", "w2", "", 13_100, "leaving-replica-after-3s"}
    };
    for (Object[] o : runs)
      Assertions.assertEquals(
          o[7],
          broken(guarantees(), o[0], o[1], o[2], o[3], o[4], o[5], o[6]),
          List.of(o).toString());
  }

  @Test
  void aRelayThatRevertsToAnOlderValueIsDetectedWithinTheGracePeriod() {
    Assertions.assertEquals(
        "slipped-back",
        broken(
            guarantees(),
            "ask",
            "v",
            "b",
            "x",
            "",
            "",
            10_100,
            "ask",
            "v",
            "a",
            "x",
            "",
            "",
            11_200));
    Assertions.assertEquals(
        "",
        broken(
            guarantees(),
            "ask",
            "v",
            "b",
            "x",
            "",
            "",
            10_100,
            "ask",
            "v",
            "a",
            "x",
            "",
            "",
            10_900),
        "reordered in transit");
  }

  @Test
  void aChangeOfUnknownOutcomeMayTakeEffectAfterTheNextAcknowledgedOne() {
    TimedGuarantees guarantees = guarantees();
    guarantees.record("mapping ask", "c", 20_000, -1);
    guarantees.record("mapping ask", "b", 28_500, 28_600);
    Assertions.assertTrue(guarantees.isAllowed("mapping ask", "c", 32_000, 2000));
    guarantees.record("mapping ask", "b", 40_000, 40_100);
    Assertions.assertFalse(guarantees.isAllowed("mapping ask", "c", 43_000, 2000));
  }
}
