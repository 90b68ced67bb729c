package gladelug.common.message;

import static gladelug.common.message.BinaryDelta.apply;
import static gladelug.common.message.BinaryDelta.between;

import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of BinaryDelta. */
final class BinaryDeltaTest {
  @Test
  void applyingADeltaYieldsTheUpdatedValue() {
    Random random = new Random(1);
    int small = 0;
    for (int i = 0; i < 2000; i++) {
      byte[] a = new byte[500 + random.nextInt(500)];
      for (int j = 0; j < a.length; j++) a[j] = (byte) random.nextInt(3);
      int from = random.nextInt(a.length),
          out = random.nextInt(Math.min(60, a.length - from) + 1),
          in = random.nextInt(60);
      byte[] bytes = new byte[a.length - out + in];
      System.arraycopy(a, 0, bytes, 0, from);
      for (int j = 0; j < in; j++) bytes[from + j] = (byte) random.nextInt(3);
      System.arraycopy(a, from + out, bytes, from + in, a.length - from - out);
      byte[] d = between(a, bytes);
      if (d == null) continue;
      small++;
      Assertions.assertArrayEquals(bytes, apply(a, d));
    }
    Assertions.assertTrue(small > 1500);
    Assertions.assertNull(apply(new byte[3], new byte[] {0, 0, 0, 9, 0, 0, 0, 0}));
    Assertions.assertNull(apply(new byte[3], new byte[2]));
  }
}
