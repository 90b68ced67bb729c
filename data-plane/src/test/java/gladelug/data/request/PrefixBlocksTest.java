package gladelug.data.request;

import static gladelug.data.request.PrefixBlocks.computeIds;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of PrefixBlocks. */
final class PrefixBlocksTest {
  private static long[] idsOf(String weights, String scope, String prompt) {
    return computeIds("s", weights, scope, prompt.getBytes(StandardCharsets.UTF_8), 4);
  }

  @Test
  void aPrefixIsSharedOnlyUnderTheSameWeightsAndCacheScope() {
    long[] first = idsOf("w1", "", "aaaabbbbcccc"), second = idsOf("w1", "", "aaaabbbbXccc");
    Assertions.assertEquals(2, first.length);
    Assertions.assertArrayEquals(first, second);
    for (long[] other :
        new long[][] {idsOf("w2", "", "aaaabbbbcccc"), idsOf("w1", "t", "aaaabbbbcccc")})
      for (long otherId : other) for (long id : first) Assertions.assertNotEquals(otherId, id);
  }
}
