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
    RetryBudget b = new RetryBudget(() -> RelaySettings.DEFAULTS, () -> 1);
    int first = 0, second = 0;
    for (int i = 0; i < 10_000; i++) {
      if (random.nextInt(5) > 0) {
        b.recordFirstAttempt("s");
        first++;
      }
      for (int j = 0; j < 3; j++) if (b.takeRetry("s")) second++;
      Assertions.assertTrue(second <= first * 0.2 + DEFAULT_ALLOWANCE);
    }
    Assertions.assertTrue(second > first / 10);
  }

  @Test
  void allRelaysTogetherStayUnderTheFleetsBound() {
    RelaySettings fleet = RelaySettings.builder().retries(0.2, 62).build();
    int relays = 11, first = 0, second = 0;
    List<RetryBudget> all = new ArrayList<>();
    for (int i = 0; i < relays; i++) all.add(new RetryBudget(() -> fleet, () -> relays));
    Random random = new Random(5);
    for (int i = 0; i < 4000; i++) {
      RetryBudget b = all.get(random.nextInt(relays));
      b.recordFirstAttempt("s");
      first++;
      for (int j = 0; j < 3; j++) if (b.takeRetry("s")) second++;
      Assertions.assertTrue(second <= first * 0.2 + 62, second + " of " + first);
    }
    Assertions.assertTrue(second > first / 10);
  }
}
