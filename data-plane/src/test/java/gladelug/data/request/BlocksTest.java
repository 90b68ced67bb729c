package gladelug.data.request;

import static gladelug.data.request.PrefixBlocks.computeIds;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Blocks. */
final class BlocksTest {
  private static long[] of(String w, String wall, String p) {
    return computeIds("s", w, wall, p.getBytes(StandardCharsets.UTF_8), 4);
  }

  @Test
  void aPrefixIsSharedOnlyUnderTheSameWeightsAndWall() {
    long[] a = of("w1", "", "aaaabbbbcccc"), b = of("w1", "", "aaaabbbbXccc");
    Assertions.assertEquals(2, a.length);
    Assertions.assertArrayEquals(a, b);
    for (long[] o : new long[][] {of("w2", "", "aaaabbbbcccc"), of("w1", "t", "aaaabbbbcccc")})
      for (long x : o) for (long y : a) Assertions.assertNotEquals(x, y);
  }
}
