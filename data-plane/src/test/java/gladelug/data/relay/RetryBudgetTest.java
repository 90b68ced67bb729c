package gladelug.data.relay;

import static gladelug.data.relay.RetryBudget.DEFAULT_ALLOWANCE;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of RetryBudget. */
final class RetryBudgetTest {
  @Test
  void retriesNeverExceedAFifthOfFirstAttemptsPlusTheAllowance() {
    Random random = new Random(3);
    RetryBudget budget = new RetryBudget(() -> RelaySettings.DEFAULTS, () -> 1);
    int firstAttempts = 0, retries = 0;
    for (int i = 0; i < 10_000; i++) {
      if (random.nextInt(5) > 0) {
        budget.recordFirstAttempt("s");
        firstAttempts++;
      }
      for (int j = 0; j < 3; j++) if (budget.takeRetry("s")) retries++;
      Assertions.assertTrue(retries <= firstAttempts * 0.2 + DEFAULT_ALLOWANCE);
    }
    Assertions.assertTrue(retries > firstAttempts / 10);
  }

  @Test
  void allRelaysTogetherStayUnderTheFleetsBound() {
    RelaySettings fleet = RelaySettings.builder().retries(0.2, 62).build();
    int relayCount = 11, firstAttempts = 0, retries = 0;
    List<RetryBudget> all = new ArrayList<>();
    for (int i = 0; i < relayCount; i++) all.add(new RetryBudget(() -> fleet, () -> relayCount));
    Random random = new Random(5);
    for (int i = 0; i < 4000; i++) {
      RetryBudget budget = all.get(random.nextInt(relayCount));
      budget.recordFirstAttempt("s");
      firstAttempts++;
      for (int j = 0; j < 3; j++) if (budget.takeRetry("s")) retries++;
      Assertions.assertTrue(retries <= firstAttempts * 0.2 + 62, retries + " of " + firstAttempts);
    }
    Assertions.assertTrue(retries > firstAttempts / 10);
  }
}
