package gladelug.common;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of MemoryBudget. */
final class MemoryBudgetTest {
  @Test
  void nothingIsTakenThatIsNotThereAndWhatIsGivenBackMayBeTakenAgain() {
    MemoryBudget budget = new MemoryBudget(100);
    Assertions.assertTrue(budget.reserve(60));
    Assertions.assertFalse(budget.reserve(41));
    Assertions.assertTrue(budget.reserve(40));
    budget.release(60);
    Assertions.assertTrue(budget.reserve(60));
    Assertions.assertEquals(100, budget.reservedBytes());
    Assertions.assertEquals(100, budget.peakBytes());
    Assertions.assertEquals(1, budget.refusedCount());
  }

  @Test
  void theLargestValueFollowsFromTheHeapAndTenThousandRoutesAlwaysFit() {
    Assertions.assertEquals(2 << 20, MemoryBudget.maxValueBytes(16 << 20));
    Assertions.assertEquals((160 << 20) / 44, MemoryBudget.maxValueBytes(160 << 20));
    Assertions.assertEquals(6 << 20, MemoryBudget.maxValueBytes(4L << 30));
  }

  /** Guards against a process whose clients each hold as much as all of them may. */
  @Test
  void allClientsOfAProcessTakeTheirAnswersFromOneBudget() {
    MemoryBudget lists = MemoryBudget.forResponses();
    MemoryBudget reports = MemoryBudget.forResponses();
    long all = Runtime.getRuntime().maxMemory() / 8;
    Assertions.assertTrue(lists.reserve(all));
    Assertions.assertFalse(reports.reserve(1));
    lists.release(all);
    Assertions.assertTrue(reports.reserve(1));
    reports.release(1);
  }
}
