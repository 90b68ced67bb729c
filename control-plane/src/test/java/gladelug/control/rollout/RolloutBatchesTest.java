package gladelug.control.rollout;

import static gladelug.control.rollout.RolloutBatches.mayStart;

import gladelug.common.configuration.RolloutPlan;
import gladelug.control.rollout.RolloutBatches.ReplicaProgress;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of RolloutBatches. */
final class RolloutBatchesTest {
  private static SortedMap<String, ReplicaProgress> progress(String states) {
    SortedMap<String, ReplicaProgress> progress = new TreeMap<>();
    for (int i = 0; i < states.length(); i++)
      progress.put(
          String.valueOf((char) ('a' + i)),
          states.charAt(i) == 'm'
              ? ReplicaProgress.UPDATED
              : states.charAt(i) == '-' ? ReplicaProgress.UNRESPONSIVE : ReplicaProgress.OUTDATED);
    return progress;
  }

  @Test
  void aThirdAtATimeAndNobodyHoldsTheRestForEver() {
    SortedMap<String, ReplicaProgress> none = progress("wwwwwww"),
        two = progress("mmwwwww"),
        three = progress("mmmwwww"),
        silent = progress("mm-wwww");
    Assertions.assertTrue(mayStart("a", none, 0, 15000) && mayStart("c", none, 0, 15000));
    Assertions.assertFalse(mayStart("d", two, 4999, 15000));
    Assertions.assertTrue(mayStart("d", three, 100, 15000));
    Assertions.assertTrue(
        mayStart("d", silent, 100, 15000), "one that doesn't answer holds nobody");
    Assertions.assertFalse(mayStart("g", three, 100, 15000));
    Assertions.assertTrue(mayStart("d", two, 5000, 15000));
    Assertions.assertTrue(mayStart("g", none, 10000, 15000));
    Assertions.assertFalse(mayStart("x", none, 10000, 15000));
  }

  @Test
  void aPunctualRollGoesByTimeAloneSoThatRelaysCanReckonWithIt() {
    RolloutPlan plan = new RolloutPlan(400, 4800, 4);
    SortedMap<String, ReplicaProgress> none = progress("wwwwwww"), all = progress("mmmmmmw");
    Assertions.assertFalse(mayStart("a", none, 399, plan, true));
    Assertions.assertTrue(
        mayStart("a", none, 400, plan, true) && mayStart("b", none, 400, plan, true));
    Assertions.assertFalse(mayStart("c", none, 1599, plan, true));
    Assertions.assertTrue(mayStart("c", none, 1600, plan, true));
    Assertions.assertFalse(
        mayStart("g", all, 3999, plan, true),
        "all before it have moved, but its time has not come");
    Assertions.assertTrue(mayStart("g", all, 4000, plan, true));
    for (String instance : none.keySet())
      Assertions.assertEquals(
          mayStart(instance, none, 2800, plan, true),
          2800 >= plan.dueMs(plan.partOf(instance, none.keySet())));
  }
}
