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
    long[] a = idsOf("w1", "", "aaaabbbbcccc"), b = idsOf("w1", "", "aaaabbbbXccc");
    Assertions.assertEquals(2, a.length);
    Assertions.assertArrayEquals(a, b);
    for (long[] o :
        new long[][] {idsOf("w2", "", "aaaabbbbcccc"), idsOf("w1", "t", "aaaabbbbcccc")})
      for (long x : o) for (long y : a) Assertions.assertNotEquals(x, y);
  }
}
